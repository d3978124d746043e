"""Lets the store come back from an older copy beneath sidecars, as real processes.

Guards against a policy that the store has confirmed and that is not in force, a policy
that reverts, and rows of nodes that stay lost.
"""

import argparse
import asyncio
import concurrent.futures
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

import store_return_departures
import store_return_faults
import store_return_requests
from soak import TABLES, Soak
from soak_standins import send_request
from store_return_standins import ReturningStore

# The users' bounds: a policy is in force (configMs) after its confirmation, at nodes
# that have been in touch with a stable store (stabilityWindowMs).
IN_FORCE_S = 2.0
STABLE_S = 3.0
# A node's row is in the store again.
REWRITTEN_S = 2.0
# Margin for scheduling delays on a busy machine.
MARGIN_S = 0.5
# Longer than a node takes to start and to read a change of the directory.
START_S = 4.0
PROBE_INTERVAL_S = 0.1
NODES = 3
# Forms that run at the same time, with their own processes.
PARALLEL = 4


class Trial:
    """Three nodes and a store for one form."""

    def __init__(self, program, name, era=1):
        self.name = name
        self.log_dir = tempfile.mkdtemp(prefix=f"store-return-{name}-")
        self.soak = Soak(program, 1, NODES, 0, self.log_dir, None)
        self.store = self.soak.store = ReturningStore(self.soak.store_address, era)
        self.nodes = self.soak.nodes
        for node in self.nodes:
            node.store_proxy.store = self.store
        # Nodes whose backend servers send no reports.
        self.silent = set()
        self.version = 0
        self.policies = {}
        self.findings = []
        self.seen = []
        self.first_copy = None
        self.returned_at = None
        self.probes = 0

    def expect(self, condition, text):
        if not condition:
            self.findings.append(text)

    async def start(self):
        await self.store.server.start()
        await self.publish()
        # Without the rows of the nodes.
        self.first_copy = self.store.copy()
        for node in self.nodes:
            await node.backend.server.start()
            await node.proxy.start()
            await node.store_proxy.start()
            node.start()
            self.soak.spawn(self.send_reports(node))
        end = time.monotonic() + START_S
        while self.logged("directory", f'"entries":{NODES},') < NODES and \
                time.monotonic() < end:
            await asyncio.sleep(0.05)
        for node in self.nodes:
            self.soak.spawn(self.watch_policy(node))

    async def send_reports(self, node):
        while True:
            if node not in self.silent:
                await node.backend.report()
            await asyncio.sleep(0.5)

    async def publish(self):
        """Stores the next version, which adds the route /vN/. Returns the time of its
        confirmation."""
        self.version += 1
        routes = [{"name": f"r-{n}", "host": "h", "kind": "safe",
                   "pathPrefix": f"/v{n}/", "timeoutMs": 1500,
                   "targetLatencyMs": 600, "priority": 0, "service": f"s{n % NODES}",
                   "maxAttempts": 2} for n in range(1, self.version + 1)]
        config = {"version": f"{self.version:08x}", "routes": routes,
                  "services": [{"name": f"s{n}"} for n in range(NODES)]}
        self.policies[self.version] = json.dumps(config).encode()
        await self.rewrite_policy()
        return time.monotonic()

    async def rewrite_policy(self):
        await self.store.put(TABLES[0], "config", self.policies[self.version])

    async def use_numbers(self, count, pause_s=0):
        """Writes rows that no node uses."""
        for number in range(count):
            await self.store.put("unused", str(number), b"x")
            await asyncio.sleep(pause_s)

    async def come_back(self, copy, **options):
        await self.store.come_back(copy, **options)
        self.returned_at = time.monotonic()

    async def status_of(self, node, version):
        """Sends a request for the route that `version` added. Returns the status, or
        None without a response."""
        self.probes += 1
        attempt = f"{node.name}-{self.probes}"
        self.soak.checker.sent[attempt] = {
            "line": f"GET /v{version}/x HTTP/1.1", "body": b"", "safe": True,
            "service": f"s{version % NODES}", "caller": node.service, "due": False}
        message = (f"GET /v{version}/x HTTP/1.1\r\nHost: h\r\n"
                   f"X-Attempt-Id: {attempt}\r\nX-Timeout-Ms: 1000\r\n\r\n")
        response, _ = await send_request(node.outbound, message.encode(), 1.5)
        return response[0] if response else None

    async def has_version(self, node, version):
        """Whether the node handles a request as `version` allows; None if it does not
        answer."""
        status = await self.status_of(node, version)
        return None if status in (None, 503) else status != 404

    async def watch_policy(self, node):
        """Records a node that handles a request as an older version allows than one
        before did, within one start of its process."""
        process, newest = node.process, 0
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if node.process is not process:
                process, newest = node.process, 0
            version = max(newest, 1)
            served = await self.has_version(node, version)
            # The port of a process that has ended may be in use by another one.
            if node.process is process and process.poll() is None:
                self.expect(served is not False,
                            f"{node.name} went back behind version {version}")
            if newest < self.version and \
                    await self.has_version(node, newest + 1):
                newest += 1

    async def check_in_force(self, confirmed, excused=None):
        """Checks that the newest version is in force at all nodes in time. `excused`
        maps nodes to the time from which they count."""
        late = {}

        async def wait_for(node):
            from_time = max(confirmed, (excused or {}).get(node, 0))
            deadline = max(from_time + IN_FORCE_S,
                           max(self.returned_at or 0,
                               (excused or {}).get(node, 0)) + STABLE_S) + MARGIN_S
            while not await self.has_version(node, self.version):
                if time.monotonic() > deadline:
                    late[node.name] = "never"
                    return
                await asyncio.sleep(PROBE_INTERVAL_S)
            late[node.name] = f"{time.monotonic() - confirmed:.1f} s"

        await asyncio.gather(*(wait_for(node) for node in self.nodes))
        missing = [name for name, value in late.items() if value == "never"]
        self.seen.append(f"version {self.version} in force: {late}")
        self.expect(not missing,
                    f"version {self.version} is not in force at {', '.join(missing)}")

    def stored_rows(self):
        return {key: json.loads(value) for (table, key), (value, _)
                in self.store.rows.items() if table == TABLES[1]}

    async def check_rows(self, nodes=None):
        """Checks that the rows of `nodes`, with the processes of their backend servers
        now, are in the store again in time."""
        await self.wait_for_rows(
            nodes or self.nodes, REWRITTEN_S,
            lambda node, row: row["instance"] == node.backend.instance)

    async def check_departed(self, nodes, limit_s):
        """Checks that the rows of `nodes` say departed within `limit_s` of the
        return."""
        await self.wait_for_rows(
            nodes, limit_s, lambda node, row: row["departed"] and
            row["instance"] == node.backend.instance)

    async def wait_for_rows(self, nodes, limit_s, is_right):
        def wrong():
            rows = self.stored_rows()
            return {node.name: rows.get(node.name) for node in nodes
                    if node.name not in rows or not is_right(node, rows[node.name])}

        deadline = self.returned_at + limit_s + MARGIN_S
        while wrong() and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        waited = time.monotonic() - self.returned_at
        missing = wrong()
        self.seen.append(f"rows after {waited:.1f} s: {len(nodes) - len(missing)} of "
                         f"{len(nodes)}")
        self.expect(not missing,
                    f"rows not written again after {waited:.1f} s: {missing}")

    def logged(self, event, text=""):
        """Number of lines with `event` and `text` in the logs of all nodes."""
        count = 0
        for node in self.nodes:
            path = os.path.join(self.log_dir, f"{node.name}.log")
            with open(path, encoding="utf-8") as log:
                count += sum(f'"event":"{event}"' in line and text in line
                             for line in log)
        return count


async def play(trial, pass_by, cut_polls=True):
    """A return from a copy without the nodes' rows and with the policy before the last
    one. `pass_by` uses up numbers of the store from then on."""
    copy = trial.first_copy
    await trial.publish()
    await asyncio.sleep(1.0)
    await trial.use_numbers(20)
    await trial.come_back(copy, cut_polls=cut_polls)
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    await asyncio.gather(pass_by(), trial.check_rows(),
                         trial.check_in_force(confirmed))
    confirmed = await trial.publish()
    await trial.check_in_force(confirmed)


async def slowly(trial):
    await play(trial, lambda: trial.use_numbers(20, 0.3))


async def at_once(trial):
    await play(trial, lambda: trial.use_numbers(80))


async def not_for_seconds(trial):
    await play(trial, lambda: asyncio.sleep(0))


async def hanging_polls(trial):
    await play(trial, lambda: trial.use_numbers(80), cut_polls=False)


async def two_returns(trial):
    copy = trial.first_copy
    await trial.publish()
    await trial.use_numbers(20)
    await trial.come_back(copy)
    await trial.rewrite_policy()
    await trial.publish()
    await asyncio.sleep(0.4)
    await trial.come_back(copy)
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    await asyncio.gather(trial.use_numbers(80), trial.check_rows(),
                         trial.check_in_force(confirmed))


async def paused_node(trial):
    node = trial.nodes[0]
    copy = trial.first_copy
    await trial.publish()
    await trial.use_numbers(20)
    await asyncio.sleep(0.5)
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    await trial.come_back(copy)
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    await trial.use_numbers(80)
    await asyncio.sleep(1.0)
    node.process.send_signal(signal.SIGCONT)
    await trial.check_in_force(confirmed, {node: time.monotonic()})
    trial.returned_at = time.monotonic()
    await trial.check_rows()


async def restarted_node(trial):
    node = trial.nodes[0]
    copy = trial.first_copy
    await trial.publish()
    await trial.use_numbers(20)
    await asyncio.sleep(0.5)
    node.process.kill()
    node.process.wait()
    await trial.come_back(copy)
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    node.start()
    await trial.use_numbers(80)
    await trial.check_in_force(confirmed, {node: time.monotonic()})
    await trial.check_rows(trial.nodes[1:])


# Name, era of the store (None: no header), form.
FORMS = (
    ("slowly", 1, slowly),
    ("at-once", 1, at_once),
    ("not-for-seconds", 1, not_for_seconds),
    ("hanging-polls", 1, hanging_polls),
    ("no-header-slowly", None, slowly),
    ("no-header-at-once", None, at_once),
    ("two-returns", 1, two_returns),
    ("paused-node", 1, paused_node),
    ("restarted-node", 1, restarted_node),
) + store_return_faults.FORMS + store_return_departures.FORMS \
    + store_return_requests.FORMS


async def play_form(trial, form):
    await trial.start()
    await form(trial)
    trial.findings += trial.soak.checker.violations
    await trial.soak.end()


def run_form(program, name, era, form):
    trial = Trial(program, name, era)
    try:
        asyncio.run(play_form(trial, form))
    finally:
        trial.soak.stop()
    print(f"{name}: {'; '.join(trial.seen)}")
    for line in trial.findings[:8]:
        print(f"{name}: FAILED: {line}")
    if trial.findings:
        print(f"{name}: logs in {trial.log_dir}")
    return 1 if trial.findings else 0


def run_all(script, names, arguments):
    """Runs each form of `script` as a process of its own, PARALLEL of them at a
    time."""
    def run(name):
        return subprocess.run([sys.executable, script, *arguments, "--form", name],
                              check=False).returncode
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        return max(list(pool.map(run, names)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--form", choices=[form[0] for form in FORMS])
    options = parser.parse_args()
    if not options.form:
        return run_all(__file__, [form[0] for form in FORMS], sys.argv[1:])
    name, era, form = next(form for form in FORMS if form[0] == options.form)
    return run_form(f"{options.bin_dir}/cassiakeel-sidecar", name, era, form)


if __name__ == "__main__":
    sys.exit(main())

"""Randomized soak test. Runs nodes as real processes, injects faults from
outside and checks the guarantees that callers and backend servers can observe.
A seed determines the schedule of faults but not the timing of the processes."""

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile

from processes import free_addresses
from running_time import RunningTimeLoop, loop_time
from soak_checker import SCHEDULING_MARGIN_S, InvariantChecker
from soak_returns import PLANTS as RETURN_PLANTS
from soak_returns import Returns
from soak_standins import (DRAIN_S, FakeBackend, FaultyProxy, FakeStore,
                           send_request)
from soak_tenants import CHANGES, StoreProxy, Tenants

TABLES = ("op", "cassiakeel-nodes")
GRACE_S = 6
FAULTS = ("kill", "pause", "term", "hup", "store", "forget", "backend", "drain",
          "proxy", "reset", "policy")
PLANTS = ("twice", "unasked", "refused")
TENANT_PLANTS = ("credential", "tenant", "revoked", "valid", "allotment")
TENANT_FAULTS = ("tenants",) * 3
# A connection that the kernel completes after a stopping node has accepted for
# the last time is reset when the listening socket is closed. Its request was
# read by no process; the users' rules allow this within this time (lossSlackMs).
CLOSE_RACE_S = 0.2
# A stall of this process is a fault for the nodes: the stand-ins were silent. The
# recovery is checked again after one.
RECOVERY_CHECKS = 3
# Cancelled tasks end within milliseconds. A task that remains longer ignores its
# cancellation; without a bound the run would wait for it forever.
END_S = 10


def describe(task):
    """Names a task and the lines at which its coroutine is suspended."""
    lines = ", ".join(f"{frame.f_code.co_name}:{frame.f_lineno}"
                      for frame in task.get_stack())
    return f"task {task.get_coro().__qualname__} at {lines}"


def run_to_end(soak):
    """Runs the soak and ends its nodes. In place of asyncio.run, which waits
    without a limit for tasks that ignore their cancellation."""
    loop = RunningTimeLoop()
    loop.on_stall = soak.interrupt_contact
    try:
        loop.run_until_complete(soak.run())
    finally:
        soak.stop()
        loop.close()
    return loop.summary()


class Node:
    def __init__(self, soak, number, service):
        self.soak = soak
        self.name = f"n{number}"
        self.service = service
        (self.outbound, self.inbound, self.ready, self.report, self.metrics,
         self.backend_address, self.proxy_address, self.store_proxy_address) = \
            free_addresses(8)
        self.backend = FakeBackend(self.name, service, self.backend_address,
                                   self.report, soak.checker)
        self.proxy = FaultyProxy(self.proxy_address, self.inbound)
        self.store_proxy = StoreProxy(self.store_proxy_address, soak.store_address,
                                      soak.store)
        self.process = None
        self.started_at = None
        self.excused_until = 0
        self.stopping = False

    def start(self, output=None):
        """Starts the process; `output` takes the place of its log file."""
        self.store_proxy.contact_since = None
        self.stopping = False
        self.started_at = loop_time()
        settings = {
            "node": self.name, "zone": "z", "service": self.service,
            "backend-address": self.backend_address,
            "outbound-address": self.outbound, "inbound-address": self.inbound,
            "advertised-address": self.proxy_address,
            "ready-address": self.ready, "report-address": self.report,
            "metrics-address": self.metrics,
            "store-address": self.store_proxy_address,
            "report-interval-ms": 500, "grace-s": GRACE_S, "retry-slack": 40}
        path = os.path.join(self.soak.log_dir, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{name} = {value}\n" for name, value in settings.items())
        with open(os.path.join(self.soak.log_dir, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(
                [self.soak.program], stdin=subprocess.DEVNULL,
                stdout=log if output is None else output, stderr=log,
                env={**os.environ, "CASSIAKEEL_NODE_FILE": path})

    def excuse_lost_responses(self, seconds):
        """Accepts missing responses of this node for `seconds`."""
        self.excused_until = max(self.excused_until, loop_time() + seconds)


class Soak:
    def __init__(self, program, seed, nodes, seconds, log_dir, injected_violation,
                 with_tenants=False):
        self.program = program
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.log_dir = log_dir
        self.injected_violation = injected_violation
        self.checker = InvariantChecker()
        self.store_address = free_addresses(1)[0]
        self.store = FakeStore(self.store_address)
        self.nodes = [Node(self, i, f"s{i % 3}") for i in range(nodes)]
        self.tenants = None
        self.faults = FAULTS
        if with_tenants:
            self.tenants = Tenants({node.name: node for node in self.nodes},
                                   self.checker.record_violation)
            self.checker.tenants = self.tenants
            # Other faults would interrupt the contact with the store that the
            # injected violations need.
            self.faults = ("policy",) if injected_violation in TENANT_PLANTS \
                else FAULTS + TENANT_FAULTS
        self.returns = Returns(self.store, self.nodes, TABLES, self.checker,
                               with_tenants)
        self.checker.returned_at = lambda: self.returns.returned_at
        # Of its own, so that it does not change the schedule of the other faults.
        self.rng_of_returns = random.Random(f"returns {seed}")
        if injected_violation in RETURN_PLANTS:
            self.faults = ("policy",)
        self.version = 0
        self.counter = 0
        self.tasks = set()

    def spawn(self, task):
        running_task = asyncio.create_task(task)
        self.tasks.add(running_task)
        running_task.add_done_callback(self.tasks.discard)

    async def publish(self):
        self.version += self.rng.randrange(1, 4)
        routes = [{"name": f"r-{s}-{kind}", "host": "h", "kind": kind,
                   "pathPrefix": f"/{s}/{kind}/", "timeoutMs": 1500,
                   "targetLatencyMs": 600, "priority": 0 if kind == "unsafe" else 2,
                   "service": s, "maxAttempts": 2}
                  for s in ("s0", "s1", "s2") for kind in ("safe", "unsafe")]
        config = {"version": f"{self.version:08x}", "routes": routes,
                  "services": [{"name": s} for s in ("s0", "s1", "s2")]}
        if self.tenants:
            config["tenants"] = self.tenants.policy()
            routes += [{**route, "name": f"{route['name']}-public", "public": True,
                        "pathPrefix": f"/public{route['pathPrefix']}"}
                       for route in routes]
        routes += self.returns.routes(self.version)
        policy = json.dumps(config).encode()
        await self.store.put(TABLES[0], "config", policy)
        self.returns.on_published(self.version, policy)

    async def send_reports(self, node):
        while True:
            await node.backend.report()
            await asyncio.sleep(0.5)

    async def send_requests(self, node):
        while True:
            await asyncio.sleep(self.rng.expovariate(8))
            self.spawn(self.request(node))

    async def request(self, node):
        self.counter += 1
        attempt = f"a{self.counter}"
        service = self.rng.choice(("s0", "s1", "s2"))
        safe = self.rng.random() < 0.5
        body = b"" if safe else f"body-{attempt}".encode()
        fields, properties = "", {"due": True}
        if self.tenants:
            fields, properties = self.tenants.credential(self.rng, node.name)
        if properties["due"]:
            self.checker.due.add(attempt)
        prefix = "/public" if self.tenants and not properties["key"] else ""
        line = (f"{'GET' if safe else 'POST'} {prefix}/{service}/"
                f"{'safe' if safe else 'unsafe'}/{attempt} HTTP/1.1")
        self.checker.sent[attempt] = {"line": line, "body": body, "safe": safe,
                                      "service": service, "caller": node.service,
                                      "node": node.name, "node_age_s":
                                      loop_time() - node.started_at, **properties}
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        message = (f"{line}\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n"
                   f"X-Timeout-Ms: 2000\r\n{fields}{length}\r\n").encode() + body
        started = loop_time()
        response, connected = await send_request(node.outbound, message, 4)
        ran = self.checker.runs.get(attempt, 0)
        if response:
            self.checker.on_client_response(attempt, *response)
        elif connected and node.stopping and not ran and \
                loop_time() - started < CLOSE_RACE_S:
            self.checker.crossed_close += 1
        elif connected and started > node.excused_until \
                and loop_time() > node.excused_until:
            waited = loop_time() - started
            self.checker.record_violation(
                "lost", f"{attempt} at {node.name} got no response after "
                f"{waited * 1000:.0f} ms, ran {ran} times")

    async def inject_fault(self, kind):
        node = self.rng.choice(self.nodes)
        duration_s = self.rng.uniform(0.5, 3)
        if kind in ("kill", "term"):
            await self.stop_node(node, kind)
        elif kind == "pause":
            node.excuse_lost_responses(duration_s + 3)
            node.store_proxy.contact_since = None
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            node.process.send_signal(signal.SIGCONT)
            node.store_proxy.contact_since = None
        elif kind == "hup":
            node.process.send_signal(signal.SIGHUP)
        elif kind == "store":
            await self.set_mode_for(self.store, ("down", "silent", "late"), duration_s)
        elif kind == "forget":
            self.store.drop_history()
        elif kind == "backend":
            await self.set_mode_for(node.backend, ("slow", "failing", "resetting"),
                                    duration_s)
        elif kind == "drain":
            await self.drain(node)
        elif kind == "proxy":
            proxy = self.rng.choice((node.proxy, node.store_proxy))
            await self.set_mode_for(
                proxy, ("delayed", "silent", "one_way", "refusing"), duration_s)
        elif kind == "reset":
            self.rng.choice((node.proxy, node.store_proxy)).reset_all()
        elif kind == "policy":
            for _ in range(self.rng.randrange(1, 5)):
                await self.publish()
        elif kind == "tenants":
            await self.tenants.change(self.rng.choice(CHANGES), self.rng, self.publish)

    def interrupt_contact(self):
        for node in self.nodes:
            node.store_proxy.contact_since = None

    async def set_mode_for(self, standin, modes, duration_s):
        for mode in (self.rng.choice(modes), "up"):
            standin.mode = mode
            if standin is self.store:
                self.interrupt_contact()
            if mode != "up":
                await asyncio.sleep(duration_s)

    async def stop_node(self, node, kind):
        process = node.process
        if kind == "kill":
            node.excuse_lost_responses(3)
            process.kill()
        else:
            node.stopping = True
            process.send_signal(signal.SIGTERM)
        end = loop_time() + GRACE_S + SCHEDULING_MARGIN_S
        while process.poll() is None:
            if loop_time() > end:
                if loop_time() > node.excused_until:
                    self.checker.record_violation(
                        "stop", f"{node.name} still runs after its grace period")
                node.excuse_lost_responses(3)
                process.kill()
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        # A concurrent fault may already have restarted the node.
        if node.process is process:
            node.start()

    async def drain(self, node):
        """Drains the backend server and then restarts it as a new instance."""
        backend = node.backend
        backend.state = "draining"
        end = loop_time() + 8
        while backend.confirmed_at is None and loop_time() < end:
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_S + 1)
        if backend.state == "draining":
            backend.restart()

    async def inject_faults(self):
        end = loop_time() + self.seconds
        if not self.injected_violation:
            self.spawn(self.returns.inject_returns(
                self.rng_of_returns, self.seconds, self.publish))
        while loop_time() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            # A fault does not wait for the previous one, so that faults overlap.
            self.spawn(self.inject_fault(self.rng.choice(self.faults)))

    def inject_violation(self):
        """Injects a violation to show that the soak test detects it."""
        checker = self.checker
        if self.injected_violation in RETURN_PLANTS:
            self.returns.inject_violation(self.injected_violation)
        elif self.tenants:
            self.tenants.inject_violation(checker, self.injected_violation)
        original = checker.on_run

        def on_run_with_violation(backend, attempt, line, headers, body):
            original(backend, attempt, line, headers, body)
            if self.injected_violation == "twice" and not checker.sent[attempt]["safe"]:
                original(backend, attempt, line, headers, body)
            if self.injected_violation == "unasked":
                original(backend, attempt + "x", line, headers, body)
            if self.injected_violation == "refused":
                checker.on_client_response(attempt, 503, {}, b"")

        checker.on_run = on_run_with_violation

    async def run(self):
        if self.injected_violation:
            self.inject_violation()
        await self.store.server.start()
        await self.publish()
        for node in self.nodes:
            await node.backend.server.start()
            await node.proxy.start()
            await node.store_proxy.start()
            node.start()
            self.spawn(self.send_reports(node))
        self.spawn(self.returns.keep_copies())
        self.spawn(self.returns.check_rows())
        await asyncio.sleep(3)
        for node in self.nodes:
            self.spawn(self.returns.watch_policy(node))
            self.spawn(self.send_requests(node))
        await self.inject_faults()
        if not self.injected_violation:
            await self.check_recovery()
        await self.end()

    async def end(self, limit_s=END_S):
        """Ends the nodes, the listeners and all other tasks, in this order, so that
        no connection arrives while tasks are cancelled. Tasks that remain after
        `limit_s` are recorded as a violation."""
        self.stop()
        for listener in [self.store.server] + [
                listener for node in self.nodes
                for listener in (node.backend.server, node.proxy, node.store_proxy)]:
            listener.close()
        # Requests in flight fail when they are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        end = loop_time() + limit_s
        cancelled = set()
        # A connection that was accepted before its listener closed may start a task
        # after the first cancellation.
        while others := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in others - cancelled:
                task.cancel()
            cancelled |= others
            remaining_s = end - loop_time()
            if remaining_s <= 0:
                for task in others:
                    self.checker.record_violation("end", f"{describe(task)} remains")
                return
            await asyncio.wait(others, timeout=min(remaining_s, 0.1))

    async def check_recovery(self):
        """Checks that requests are served again after the last fault."""
        faults_end_s = 4
        await asyncio.sleep(faults_end_s)
        if self.tenants:
            await self.tenants.change_last(self.rng, self.publish)
        loop = asyncio.get_running_loop()
        for _ in range(RECOVERY_CHECKS):
            stalls = loop.stalls
            await asyncio.sleep(GRACE_S + 6 - faults_end_s)
            served_before, sent_before = self.checker.due_served, len(self.checker.due)
            await asyncio.sleep(3)
            served = self.checker.due_served - served_before
            sent = len(self.checker.due) - sent_before
            if loop.stalls == stalls:
                break
        if served < sent * 0.9:
            self.checker.record_violation(
                "recover", f"{served} of {sent} served at the end")

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--tenants", action="store_true",
                        help="clients show keys of tenants with allotments")
    parser.add_argument("--plant", choices=PLANTS + TENANT_PLANTS + RETURN_PLANTS)
    options = parser.parse_args()
    if options.plant in TENANT_PLANTS and not options.tenants:
        parser.error(f"--plant {options.plant} needs --tenants")
    program = os.path.join(options.bin_dir, "cassiakeel-sidecar")
    failed = 0
    ended = True
    for seed in range(options.seed, options.seed + options.seeds):
        log_dir = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        soak = Soak(program, seed, options.nodes, options.seconds, log_dir,
                    options.plant, options.tenants)
        loop_summary = run_to_end(soak)
        violations_found = soak.checker.violations
        print(f"seed {seed}: {soak.counter} requests, {soak.checker.served} served, "
              f"{soak.checker.crossed_close} crossed a close, "
              f"{len(violations_found)} violations, logs in {log_dir}"
              f"{soak.returns.summary()}{loop_summary}"
              f"{soak.tenants.summary() if soak.tenants else ''}", flush=True)
        remaining = [line for line in violations_found if line.startswith("end:")]
        for line in violations_found[:10] + remaining:
            print(f"  {line}")
        ended &= not remaining
        if options.plant:
            violations_found = [line for line in violations_found
                                if line.startswith(f"{options.plant}:")]
        failed += 1 if violations_found else 0
    if options.plant:
        return 0 if failed == options.seeds and ended else 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

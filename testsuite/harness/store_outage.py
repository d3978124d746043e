"""Kills and starts a sidecar while the store is away, as real processes.

Guards against a backend server that is used again although its departure was
confirmed before, and against one that has not left and stays unused until the store is
back.
"""

import argparse
import asyncio
import json
import sys
import time

from soak_standins import DRAIN_S, post
from store_return import Trial, run_all, run_form
from store_return_standins import Arrivals

# Until the store fails, after a confirmation, and until the process is killed.
CONFIRMED_S = 0.1
KILL_S = 0.1
RESTART_S = 0.5
OUTAGE_S = 4.5
LONG_OUTAGE_S = 9.0
# The users' rules bind a machine this long after the start of its process
# (stabilityWindowMs), whatever the store does.
STABLE_S = 3.0
# For scheduling delays on a busy machine.
MARGIN_S = 0.5
# Changes of the directory are read in batches.
DIRECTORY_S = 2.5
REQUEST_INTERVAL_S = 0.05
# The store does not come back from a copy.
ERA = 1


class Outage:
    """The server of node 1 leaves before, or does not, and then the one of node 2, whose
    process is killed and started during the outage. Requests to both are sent at all
    nodes."""

    def __init__(self, trial, fault):
        self.trial = trial
        self.fault = fault
        _, self.other, self.own = trial.nodes
        self.arrivals = Arrivals(self.own)
        self.confirmed = None
        self.started_at = None

    async def prepare(self):
        # Adds the routes /v1/ and /v2/ to both services.
        await self.trial.publish()
        for node in self.trial.nodes:
            self.trial.soak.spawn(self.send_requests(node))
        await asyncio.sleep(1)

    async def send_requests(self, node):
        while True:
            for version in (1, 2):
                self.trial.soak.spawn(self.trial.has_version(node, version))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def depart(self, node, how):
        """The server of `node` leaves. Returns the time of the confirmation."""
        self.trial.silent.add(node)
        backend = node.backend
        if how == "draining":
            backend.state = "draining"
            await backend.report()
            confirmed = backend.confirmed_at is not None
            # The soak's check knows nothing of restarts.
            backend.confirmed_at = None
        else:
            confirmed = await post(
                node.report, f"/Instances.Deregister/{backend.instance}",
                json.dumps({"born": backend.started_at_ms}).encode()) == 200
        self.trial.expect(confirmed, f"{how} at {node.name} was not confirmed")
        return time.monotonic()

    def begin(self):
        """The store fails."""
        if self.fault == "refusing":
            self.trial.store.mode = "down"
        else:
            for node in self.trial.nodes:
                node.store_proxy.mode = self.fault

    async def end(self):
        self.trial.store.mode = "up"
        for node in self.trial.nodes:
            node.store_proxy.mode = "up"
            node.store_proxy.reset_all()

    async def restart(self):
        await asyncio.sleep(KILL_S)
        self.own.process.kill()
        self.own.process.wait()
        await asyncio.sleep(RESTART_S)
        self.own.start()
        self.started_at = time.monotonic()

    def check_unused(self):
        late = [arrived - self.confirmed for arrived, _ in self.arrivals.items
                if arrived > self.confirmed + DRAIN_S + MARGIN_S]
        before = sum(arrived < self.confirmed for arrived, _ in self.arrivals.items)
        self.trial.expect(before, "no request before the departure")
        self.trial.expect(not late, f"{len(late)} requests reached the server that had "
                          f"left, {late[:1]} to {late[-1:]} s after the confirmation")
        self.trial.seen.append(f"{before} requests before, {len(late)} late")

    async def check_used(self, what, since):
        """The server gets requests in time, while the store is away."""
        deadline = since + STABLE_S + MARGIN_S
        while not self.arrivals.items and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        waited = time.monotonic() - since
        self.trial.expect(self.arrivals.items, f"{what} is unused after {waited:.1f} s")
        self.trial.seen.append(f"{what} used after {waited:.2f} s")


async def departed(trial, fault, how, gap_s, outage_s=OUTAGE_S, late_report=False):
    outage = Outage(trial, fault)
    await outage.prepare()
    await outage.depart(outage.other, how)
    await asyncio.sleep(gap_s)
    outage.confirmed = await outage.depart(outage.own, how)
    await asyncio.sleep(CONFIRMED_S)
    outage.begin()
    began = time.monotonic()
    await outage.restart()
    if late_report:
        # One that was sent before the departure.
        await asyncio.sleep(0.3)
        backend = outage.own.backend
        await post(outage.own.report, f"/Instances.Heartbeat/{backend.instance}",
                   backend.report_body("ready", backend.sequence))
    await asyncio.sleep(began + outage_s - time.monotonic())
    await outage.end()
    await asyncio.sleep(STABLE_S)
    outage.check_unused()


async def stays(trial, fault):
    """The server of the killed process has not left."""
    outage = Outage(trial, fault)
    await outage.prepare()
    await outage.depart(outage.other, "deregistered")
    await asyncio.sleep(CONFIRMED_S)
    outage.begin()
    await outage.restart()
    outage.arrivals.items.clear()
    await outage.check_used("the server", outage.started_at)
    await outage.end()


async def replaced(trial, fault, known_s=CONFIRMED_S):
    """The server of the killed process leaves, `known_s` before the outage, and another
    one starts at its address."""
    outage = Outage(trial, fault)
    await outage.prepare()
    outage.confirmed = await outage.depart(outage.own, "deregistered")
    await asyncio.sleep(known_s)
    outage.begin()
    await outage.restart()
    await asyncio.sleep(STABLE_S)
    outage.check_unused()
    outage.own.backend.restart()
    outage.arrivals.items.clear()
    trial.silent.discard(outage.own)
    await outage.check_used("the next server", time.monotonic())
    await outage.end()


def form(name, play, *arguments, **options):
    return name, lambda trial: play(trial, *arguments, **options)


FORMS = dict((
    form("silent-deregistered", departed, "silent", "deregistered", 0.3),
    form("silent-draining", departed, "silent", "draining", 1.2),
    form("refusing-deregistered", departed, "refusing", "deregistered", 1.2),
    form("refusing-draining", departed, "refusing", "draining", 0.3),
    form("lost-deregistered", departed, "one_way", "deregistered", 0.3),
    form("lost-draining", departed, "one_way", "draining", 0.3),
    form("long-deregistered", departed, "silent", "deregistered", 0.3, LONG_OUTAGE_S),
    form("late-report", departed, "silent", "deregistered", 0.3, late_report=True),
    form("late-report-refusing", departed, "refusing", "draining", 0.3,
         late_report=True),
    form("stays-silent", stays, "silent"),
    form("stays-refusing", stays, "refusing"),
    form("stays-lost", stays, "one_way"),
    form("replaced-silent", replaced, "silent"),
    form("replaced-refusing", replaced, "refusing"),
    # All nodes have read the departure and call the node no more.
    form("replaced-known-silent", replaced, "silent", DIRECTORY_S),
    form("replaced-known-refusing", replaced, "refusing", DIRECTORY_S),
))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--form", choices=FORMS)
    options = parser.parse_args()
    if not options.form:
        return run_all(__file__, list(FORMS), sys.argv[1:])
    return run_form(f"{options.bin_dir}/cassiakeel-sidecar", options.form, ERA,
                    FORMS[options.form])


if __name__ == "__main__":
    sys.exit(main())

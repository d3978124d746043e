"""Randomized soak: nodes as real processes, faults from outside, promises
checked from what callers and backend servers see. One seed gives one schedule
of faults; the timing of the processes is their own."""

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

from processes import free_addresses
from soak_world import DRAIN_S, Backend, Proxy, Store, exchange

TABLES = ("op", "cassiakeel-nodes")
PROMISES_NOT_RUN = (408, 421, 429, 503)
GRACE_S = 6
FAULTS = ("kill", "pause", "term", "hup", "store", "forget", "backend", "drain",
          "proxy", "reset", "policy")
# Slack for the driver's own scheduling on a busy machine.
SLACK_S = 0.5


class Ledger:
    """What was asked, what ran and what was answered, with the violations."""

    def __init__(self):
        self.sent = {}
        self.runs = {}
        self.refused = set()
        self.violations = []
        self.served = 0

    def violate(self, promise, text):
        self.violations.append(f"{promise}: {text}")

    def on_run(self, backend, attempt, line, headers, body):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        asked = self.sent.get(attempt)
        if asked is None:
            self.violate("unasked", f"{attempt} ran and nobody sent it")
            return
        if asked["line"] != line or asked["body"] != body:
            self.violate("unasked", f"{attempt} changed on its way")
        if asked["caller"] != headers.get("x-caller-service"):
            self.violate("caller", f"{attempt} names {headers.get('x-caller-service')}")
        if asked["service"] != backend.service:
            self.violate("route", f"{attempt} ran at {backend.service}")
        if not asked["safe"] and self.runs[attempt] > 1:
            self.violate("twice", f"{attempt} ran {self.runs[attempt]} times")
        if attempt in self.refused:
            self.violate("refused", f"{attempt} ran after its refusal")
        if backend.confirmed_at and \
                time.monotonic() - backend.confirmed_at > DRAIN_S + SLACK_S:
            self.violate("drain", f"{attempt} reached {backend.instance} late")

    def on_client_answer(self, attempt, status, headers, body):
        safe = self.sent[attempt]["safe"]
        if status in PROMISES_NOT_RUN and not safe:
            self.refused.add(attempt)
            if self.runs.get(attempt):
                self.violate("refused", f"{attempt} got {status} and had run")
        if status == 200:
            self.served += 1
            proof = headers.get("x-response-signature")
            if not proof or body.decode() != f"{attempt}:{proof}":
                self.violate("mixed", f"{attempt} got {body[:60]!r}")
        if status in (400, 401, 403, 404):
            self.violate("denied", f"{attempt} got {status}")


class Node:
    def __init__(self, soak, number, service):
        self.soak = soak
        self.name = f"n{number}"
        self.service = service
        (self.outbound, self.inbound, self.ready, self.report, self.metrics,
         self.backend_address, self.proxy_address, self.store_proxy_address) = \
            free_addresses(8)
        self.backend = Backend(self.name, service, self.backend_address,
                               self.report, soak.ledger)
        self.proxy = Proxy(self.proxy_address, self.inbound)
        self.store_proxy = Proxy(self.store_proxy_address, soak.store_address)
        self.process = None
        self.disturbed_until = 0

    def start(self):
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
                [self.soak.program], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**os.environ, "CASSIAKEEL_NODE_FILE": path})

    def disturb(self, seconds):
        """Until then an answer that did not come is excused."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)


class Soak:
    def __init__(self, program, seed, nodes, seconds, log_dir, plant):
        self.program = program
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.log_dir = log_dir
        self.plant = plant
        self.ledger = Ledger()
        self.store_address = free_addresses(1)[0]
        self.store = Store(self.store_address)
        self.nodes = [Node(self, i, f"s{i % 3}") for i in range(nodes)]
        self.version = 0
        self.counter = 0
        self.tasks = set()

    def spawn(self, task):
        handle = asyncio.create_task(task)
        self.tasks.add(handle)
        handle.add_done_callback(self.tasks.discard)

    async def publish(self):
        self.version += self.rng.randrange(1, 4)
        routes = [{"name": f"r-{s}-{kind}", "host": "h", "kind": kind,
                   "pathPrefix": f"/{s}/{kind}/", "timeoutMs": 1500,
                   "targetLatencyMs": 600, "priority": 0 if kind == "unsafe" else 2,
                   "service": s, "maxAttempts": 2}
                  for s in ("s0", "s1", "s2") for kind in ("safe", "unsafe")]
        config = {"version": f"{self.version:08x}", "routes": routes,
                  "services": [{"name": s} for s in ("s0", "s1", "s2")]}
        await self.store.put(TABLES[0], "config", json.dumps(config).encode())

    async def reports(self, node):
        while True:
            await node.backend.report()
            await asyncio.sleep(0.5)

    async def caller(self, node):
        while True:
            await asyncio.sleep(self.rng.expovariate(8))
            self.spawn(self.request(node))

    async def request(self, node):
        self.counter += 1
        attempt = f"a{self.counter}"
        service = self.rng.choice(("s0", "s1", "s2"))
        safe = self.rng.random() < 0.5
        body = b"" if safe else f"body-{attempt}".encode()
        line = (f"{'GET' if safe else 'POST'} /{service}/"
                f"{'safe' if safe else 'unsafe'}/{attempt} HTTP/1.1")
        self.ledger.sent[attempt] = {"line": line, "body": body, "safe": safe,
                                     "service": service, "caller": node.service}
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        message = (f"{line}\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n"
                   f"X-Timeout-Ms: 2000\r\n{length}\r\n").encode() + body
        began = time.monotonic()
        answer, connected = await exchange(node.outbound, message, 4)
        if answer:
            self.ledger.on_client_answer(attempt, *answer)
        elif connected and began > node.disturbed_until \
                and time.monotonic() > node.disturbed_until:
            waited = time.monotonic() - began
            self.ledger.violate(
                "lost", f"{attempt} at {node.name} got no answer after "
                f"{waited * 1000:.0f} ms, ran {self.ledger.runs.get(attempt, 0)} times")

    async def fault(self, kind):
        node = self.rng.choice(self.nodes)
        for_s = self.rng.uniform(0.5, 3)
        if kind in ("kill", "term"):
            await self.end(node, kind)
        elif kind == "pause":
            node.disturb(for_s + 3)
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            node.process.send_signal(signal.SIGCONT)
        elif kind == "hup":
            node.process.send_signal(signal.SIGHUP)
        elif kind == "store":
            await self.misbehave(self.store, ("down", "silent", "late"), for_s)
        elif kind == "forget":
            self.store.forget_history()
        elif kind == "backend":
            await self.misbehave(node.backend, ("slow", "failing", "resetting"),
                                 for_s)
        elif kind == "drain":
            await self.drain(node)
        elif kind == "proxy":
            proxy = self.rng.choice((node.proxy, node.store_proxy))
            await self.misbehave(
                proxy, ("delayed", "silent", "one_way", "refusing"), for_s)
        elif kind == "reset":
            self.rng.choice((node.proxy, node.store_proxy)).reset_all()
        elif kind == "policy":
            for _ in range(self.rng.randrange(1, 5)):
                await self.publish()

    async def misbehave(self, stand_in, modes, for_s):
        stand_in.mode = self.rng.choice(modes)
        await asyncio.sleep(for_s)
        stand_in.mode = "up"

    async def end(self, node, kind):
        process = node.process
        if kind == "kill":
            node.disturb(3)
            process.kill()
        else:
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S + SLACK_S
        while process.poll() is None:
            if time.monotonic() > end:
                if time.monotonic() > node.disturbed_until:
                    self.ledger.violate("stop", f"{node.name} outlived its grace")
                node.disturb(3)
                process.kill()
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        # Another fault that waited for the same end may have started it again.
        if node.process is process:
            node.start()

    async def drain(self, node):
        """The backend server leaves and another start of it takes its place."""
        backend = node.backend
        backend.state = "draining"
        end = time.monotonic() + 8
        while backend.confirmed_at is None and time.monotonic() < end:
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_S + 1)
        if backend.state == "draining":
            backend.restart()

    async def faults(self):
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            # Series and overlaps come of themselves: a fault does not wait for
            # the one before.
            self.spawn(self.fault(self.rng.choice(FAULTS)))

    def plant_fault(self):
        """Breaks a promise on purpose, to show that the soak would see it."""
        ledger = self.ledger
        original = ledger.on_run

        def doubled(backend, attempt, line, headers, body):
            original(backend, attempt, line, headers, body)
            if self.plant == "twice" and not ledger.sent[attempt]["safe"]:
                original(backend, attempt, line, headers, body)
            if self.plant == "unasked":
                original(backend, attempt + "x", line, headers, body)
            if self.plant == "refused":
                ledger.on_client_answer(attempt, 503, {}, b"")

        ledger.on_run = doubled

    async def run(self):
        if self.plant:
            self.plant_fault()
        await self.store.server.start()
        await self.publish()
        for node in self.nodes:
            await node.backend.server.start()
            await node.proxy.start()
            await node.store_proxy.start()
            node.start()
            self.spawn(self.reports(node))
        await asyncio.sleep(3)
        for node in self.nodes:
            self.spawn(self.caller(node))
        await self.faults()
        if not self.plant:
            await self.recovered()
        await self.end_tasks()

    async def end_tasks(self):
        """Ends what still runs before the loop closes; how it ends says nothing."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def recovered(self):
        """After the last fault requests are served again."""
        await asyncio.sleep(GRACE_S + 6)
        before, sent = self.ledger.served, self.counter
        await asyncio.sleep(3)
        served, asked = self.ledger.served - before, self.counter - sent
        if served < asked * 0.9:
            self.ledger.violate("recover", f"{served} of {asked} served at the end")

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
    parser.add_argument("--plant", choices=("twice", "unasked", "refused"))
    options = parser.parse_args()
    program = os.path.join(options.bin_dir, "cassiakeel-sidecar")
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        log_dir = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        soak = Soak(program, seed, options.nodes, options.seconds, log_dir,
                    options.plant)
        try:
            asyncio.run(soak.run())
        finally:
            soak.stop()
        found = soak.ledger.violations
        print(f"seed {seed}: {soak.counter} requests, {soak.ledger.served} served, "
              f"{len(found)} violations, logs in {log_dir}", flush=True)
        for line in found[:10]:
            print(f"  {line}")
        failed += 1 if found else 0
    if options.plant:
        return 0 if failed == options.seeds else 1
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

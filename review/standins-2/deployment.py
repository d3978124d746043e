"""A small deployment of `cassiakeel-sidecar` on loopback addresses, for the cases of
the second review: the program is started as `deploy/system.toml` says, with its
template filled in, beside stand-ins for the store, the endpoints and the clients."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "harness"))

from processes import free_addresses  # noqa: E402
from soak_standins import (  # noqa: E402
    FakeStore, FaultyProxy, format_response, read_message)

TABLE = "cassiakeel-nodes"
# As in sites/tablero-pacifico.toml.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 47,
    "recoveryS": 15}
HEARTBEAT_S = 1.5
# The report of an endpoint counts as confirmed if the answer comes within this time.
CONFIRM_S = 1.0


def fill_in(template, fields):
    """Fills in a settings template as DEPLOY.md describes: values and sections."""
    def look_up(name):
        if name in fields:
            return fields[name]
        value = fields
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and int(part) < len(value):
                value = value[int(part)]
            else:
                return None
        return value

    def section(match):
        value = look_up(match.group(2))
        wanted = match.group(1) == "#"
        return match.group(3) if bool(value) == wanted else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template,
                  flags=re.DOTALL)
    def replace(match):
        value = look_up(match.group(1))
        return "" if value is None else str(value)
    return re.sub(r"\{\{([\w.]+)\}\}", replace, text)


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Endpoint:
    """An application endpoint as PROTOCOL.md describes it. `work_s(line, headers)`
    gives how long a request runs, `body_of(attempt)` the body of its answer."""

    def __init__(self, machine, instance, service, slots=72):
        self.machine = machine
        self.instance = instance
        self.service = service
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.server = None
        self.beats = None
        self.connections = set()
        self.arrivals = []
        self.runs = []
        self.confirmed_at = None
        self.work_s = lambda line, headers: 0.1
        self.body_of = lambda attempt: f"answer to {attempt}".encode()

    @property
    def record(self):
        return self.machine.deployment.record

    async def start(self, beat=True):
        host, port = self.machine.app.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.record.write(f"endpoint {self.instance} ({self.service}) starts on "
                          f"{self.machine.name}")
        if beat:
            self.beats = asyncio.create_task(self.beat())

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while message := await read_message(reader):
                response = await self.answer(*message)
                writer.write(response)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, line, headers, body):
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.instance)
        echo = {"X-Attempt-Id": attempt}
        if expected != self.instance:
            self.record.write(f"  {attempt} reaches {self.instance}, 421")
            return format_response(421, fields=echo)
        self.arrivals.append((self.record.now(), attempt))
        if not attempt or self.running >= self.slots:
            return format_response(503, fields={**echo, "X-Not-Executed": "1"})
        self.running += 1
        self.runs.append((self.record.now(), attempt, line, headers, body))
        self.record.write(f"  {attempt} runs at {self.instance}, X-Caller-Service "
                          f"{headers.get('x-caller-service')}")
        try:
            await asyncio.sleep(self.work_s(line, headers))
        finally:
            self.running -= 1
        return format_response(200, self.body_of(attempt), {
            **echo, "X-Response-Signature": f"{self.instance}.{attempt}"})

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.machine.app,
                "zone": self.machine.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}
        return await self.machine.tell(
            f"/Instances.Heartbeat/{self.instance}", json.dumps(body))

    async def leave_first(self):
        """Leaves without having reported `draining`: deregisters, then goes on to
        serve. Returns whether that was confirmed."""
        self.beats.cancel()
        status = await self.machine.tell(
            f"/Instances.Deregister/{self.instance}",
            json.dumps({"born": self.born}))
        if status and status // 100 == 2:
            self.confirmed_at = self.record.now()
        self.record.write(f"endpoint {self.instance} deregisters: {status}")
        return self.confirmed_at is not None

    def end(self):
        """The process exits: its connections end, whatever runs is lost."""
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.write(f"endpoint {self.instance} exits")


class Machine:
    """One machine: the sidecar's process and the addresses of its settings."""

    def __init__(self, deployment, number, service, zone):
        self.deployment = deployment
        self.name = f"sidecar-{zone}-{number}"
        self.service = service
        self.zone = zone
        (self.app, self.inbound, self.outbound, self.ready, self.control, self.own,
         store_address) = free_addresses(7)
        self.store_proxy = FaultyProxy(store_address, deployment.store_address)
        self.endpoint = None
        self.process = None
        self.bounds = dict(BOUNDS)

    @property
    def record(self):
        return self.deployment.record

    def fields(self):
        host, port = self.own.split(":")
        return {
            "nodeName": self.name, "zone": self.zone, "service": self.service,
            "app": self.app, "ip": host, "portRange": [int(port), int(port)],
            "listen": {"inbound": self.inbound, "outbound": self.outbound,
                       "ready": self.ready, "control": self.control},
            "platform": {"address": self.store_proxy_address()},
            "heartbeatIntervalMs": int(HEARTBEAT_S * 1000), "bounds": self.bounds}

    def store_proxy_address(self):
        return f"{self.store_proxy.host}:{self.store_proxy.port}"

    def settings_path(self):
        return os.path.join(self.deployment.folder, f"{self.name}.conf")

    def write_settings(self):
        with open(self.settings_path(), "w", encoding="utf-8") as file:
            file.write(fill_in(self.deployment.template, self.fields()))

    def start(self):
        self.write_settings()
        with open(os.path.join(self.deployment.folder, f"{self.name}.log"),
                  "ab") as log:
            self.process = subprocess.Popen(
                self.deployment.run.split(" "), cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "CASSIAKEEL_NODE_FILE": self.settings_path()})
        self.record.write(f"process of {self.name} starts")

    def send_signal(self, number):
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def wait_end(self, limit_s):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    async def tell(self, path, body):
        """A report to the control address; returns the status or None."""
        data = body.encode()
        request = (f"POST {path} HTTP/1.1\r\nHost: {self.control}\r\n"
                   "Content-Type: application/json\r\n"
                   f"Content-Length: {len(data)}\r\n\r\n").encode() + data
        try:
            async with asyncio.timeout(CONFIRM_S):
                reader, writer = await asyncio.open_connection(
                    *self.control.split(":"))
                writer.write(request)
                message = await read_message(reader)
                writer.close()
        except OSError:
            return None
        return int(message[0].split(" ")[1]) if message else None

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    *self.ready.split(":"))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except OSError:
            return False
        return message is not None and message[0].split(" ")[1] == "200"


class Client:
    """Sends requests to the outbound address of its machine, each on a connection of
    its own, and records the answers."""

    def __init__(self, machine, name, route, timeout_ms=5000):
        self.machine = machine
        self.name = name
        self.route = route
        self.timeout_ms = timeout_ms
        self.sent = 0
        self.answers = {}
        self.sent_at = {}

    @property
    def record(self):
        return self.machine.deployment.record

    async def send_at(self, per_s):
        tasks = set()
        try:
            while True:
                task = asyncio.create_task(self.send())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / per_s)
        finally:
            for task in list(tasks):
                task.cancel()

    def request(self, attempt):
        method = "GET" if self.route["kind"] == "safe" else "POST"
        body = b"" if method == "GET" else f"work of {attempt}".encode()
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        return (f"{method} {self.route['pathPrefix']}{attempt} HTTP/1.1\r\n"
                f"Host: {self.route['host']}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Timeout-Ms: {self.timeout_ms}\r\n{length}\r\n").encode() + body

    async def send(self):
        self.sent += 1
        attempt = f"{self.name}{self.sent}"
        self.sent_at[attempt] = self.record.now()
        self.record.write(f"{attempt} sent to {self.machine.name}")
        status, body = None, b""
        try:
            async with asyncio.timeout(self.timeout_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    *self.machine.outbound.split(":"))
                writer.write(self.request(attempt))
                message = await read_message(reader)
                writer.close()
            if message:
                status, body = int(message[0].split(" ")[1]), message[2]
        except OSError:
            pass
        self.answers[attempt] = (status, body)
        self.record.write(f"{attempt} gets {status if status else 'no answer'}")
        return status


class Deployment:
    """`services` names the service of each machine."""

    def __init__(self, case_folder, services):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="cassiakeel-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["sidecar"]
        self.run = role["run"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.store_address = free_addresses(1)[0]
        self.store = FakeStore(self.store_address)
        zones = ("za", "zb")
        self.machines = [
            Machine(self, number, service, zones[number % len(zones)])
            for number, service in enumerate(services)]
        self.version = 6

    async def publish(self, routes):
        self.version += 1
        names = sorted({route["service"] for route in routes} |
                       {machine.service for machine in self.machines})
        config = {
            "version": f"{self.version:08x}", "routes": routes,
            "services": [{"name": name, "healthPath": "/health",
                          "maxConnections": 532} for name in names],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        await self.store.put("op", "config", json.dumps(config).encode())
        self.record.write(f"configuration {self.version:08x} confirmed")

    async def start(self, routes):
        if not os.path.exists(os.path.join(ROOT, self.run.split(" ")[0])):
            raise FileNotFoundError(f"{self.run} is not built")
        await self.store.server.start()
        await self.publish(routes)
        for machine in self.machines:
            await machine.store_proxy.start()
            machine.start()
        for machine in self.machines:
            await self.wait_ready(machine)
        for number, machine in enumerate(self.machines):
            machine.endpoint = Endpoint(machine, f"i-{number}-1", machine.service)
            await machine.endpoint.start()
        # Changes of the directory reach all machines within two seconds.
        await asyncio.sleep(2.5)

    async def wait_ready(self, machine, limit_s=10):
        end = time.monotonic() + limit_s
        while not await machine.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f"{machine.name} is not ready")
            await asyncio.sleep(0.1)

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()


def route(name, service, kind, timeout_ms=3000):
    return {"name": name, "host": "board.example", "pathPrefix": f"/{name}/",
            "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 2000,
            "priority": 0 if kind == "unsafe" else 2, "service": service,
            "maxAttempts": 2}


def run_case(case_folder, services, play):
    """Plays a case: `play(deployment, trouble)` returns what broke the rule. The
    status is 1 if something did, 0 if nothing did, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(case_folder, services)

    async def limited():
        async with asyncio.timeout(110):
            return await play(deployment, trouble)

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        broken = loop.run_until_complete(limited())
    except Exception as error:  # Whatever it is, it says nothing about the rule.
        deployment.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        deployment.stop()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.1))
    for line in broken:
        deployment.record.write(f"BROKEN {line}")
        print(line)
    verdict = "the rule was broken" if broken else "the rule held"
    deployment.record.write(verdict)
    print(f"trouble {'on' if trouble else 'off'}: {verdict}")
    return 1 if broken else 0

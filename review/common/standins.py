"""Stand-ins for the review cases: the platform's metadata store, endpoints,
clients, and the platform's start and stop of `cassiakeel-sidecar`.

All of them follow PROTOCOL.md and DEPLOY.md. Endpoint behaviour that a case
needs beyond a sound endpoint is passed in by the case.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"

# Bounds of sites/tablero-pacifico.toml.
BOUNDS = {"graceS": 6, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 47}
HEARTBEAT_MS = 1500
STABILITY_S = 3.0
DRAIN_S = 2.0
MEMORY_MB = 260
IDLE_CLOSE_S = 10.0


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Events of one run, written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{time.monotonic() - self.start:8.3f} {what} {text}".rstrip()
        self.file.write(line + "\n")
        self.file.flush()


_taken_ports = set()


def free_address():
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _taken_ports:
            _taken_ports.add(port)
            return f"127.0.0.1:{port}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def read_head(reader):
    """Returns (first line, headers), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Returns (first line, headers, body), or None without a whole message."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return line, headers, body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_response(status, value):
    return response(status, json.dumps(value).encode(),
                    {"Content-Type": "application/json"})


class Listener:
    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()

    async def start(self):
        host, port = split(self.address)
        self.server = await asyncio.start_server(self._accept, host, port,
                                                 limit=1 << 20)

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Listener):
    """The platform's metadata store. `mode` is up or busy (every call gets
    503, nothing is done)."""

    def __init__(self):
        super().__init__(free_address())
        self.rows = {}
        self.version = 0
        self.mode = "up"
        self.started = time.monotonic()
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.rows[(table, key)] = (base64.b64encode(value).decode(),
                                       self.version)
            self.changed.notify_all()

    async def set_mode(self, mode):
        async with self.changed:
            self.mode = mode
            self.changed.notify_all()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def listing(self, table, after):
        rows = [{"table": table, "part": "", "key": key, "value": value,
                 "rowVersion": version}
                for (owner, key), (value, version) in sorted(self.rows.items())
                if owner == table and version > after]
        return {"rows": rows, "hasMore": False, "rowVersion": self.version,
                "nowMs": self.now_ms()}

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            line, _, body = message
            await asyncio.sleep(0.004)
            if self.mode == "busy":
                out = response(503)
            else:
                out = await self.answer(line, body)
            writer.write(out)
            await writer.drain()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-get":
            return json_response(200, self.listing(fields["table"], 0))
        if path == "/rows-feed":
            return await self.feed(fields)
        if path == "/rows-tx" and method == "POST":
            return await self.transaction(json.loads(body))
        return response(404)

    async def feed(self, fields):
        table, after = fields["table"], int(fields["after"])
        end = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            if self.mode != "up":
                return response(503)
            listing = self.listing(table, after)
            left = end - time.monotonic()
            if listing["rows"] or left <= 0:
                return json_response(200, listing)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, body):
        current = [(row, self.rows.get((row["table"], row["key"]), ("", 0)))
                   for row in body["precondition"]]
        if any(known[1] != row["rowVersion"] for row, known in current):
            rows = [{"table": row["table"], "part": "", "key": row["key"],
                     "value": known[0], "rowVersion": known[1]}
                    for row, known in current]
            return json_response(412, {"rows": rows, "rowVersion": self.version,
                                       "nowMs": self.now_ms()})
        async with self.changed:
            self.version += 1
            for row in body["writes"]:
                self.rows[(row["table"], row["key"])] = (row["value"],
                                                         self.version)
            for row in body["remove"]:
                self.rows.pop((row["table"], row["key"]), None)
            self.changed.notify_all()
        return json_response(200, {"rowVersion": self.version,
                                   "nowMs": self.now_ms()})


class Endpoint(Listener):
    """An application endpoint. It serves one request at a time on a connection,
    checks X-Expect-Instance, and records each request that it runs.

    `work(endpoint, request, writer)` may replace the sound answer; it returns
    True if the connection goes on."""

    def __init__(self, name, service, record, slots=72, work_s=0.02, work=None):
        super().__init__(free_address())
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.work = work
        self.id = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.in_progress = 0
        self.control = None
        self.report_task = None

    def report_body(self, **changes):
        body = {"service": self.service, "address": self.address, "zone": "z",
                "version": "v1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}
        body.update(changes)
        return {key: value for key, value in body.items() if value is not None}

    async def post(self, path, body):
        data = json.dumps(body).encode()
        head = (f"POST {path} HTTP/1.1\r\nHost: {self.control}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n").encode()
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*split(self.control)), 1)
        except (OSError, asyncio.TimeoutError):
            return 0
        try:
            writer.write(head + data)
            message = await asyncio.wait_for(read_message(reader), 1)
            return int(message[0].split(" ")[1]) if message else 0
        except (OSError, asyncio.TimeoutError):
            return 0
        finally:
            writer.close()

    async def heartbeat(self):
        self.sequence += 1
        return await self.post(f"/Instances.Heartbeat/{self.id}",
                               self.report_body())

    async def deregister(self):
        status = await self.post(f"/Instances.Deregister/{self.id}",
                                 {"born": self.born})
        self.record("deregister", endpoint=self.name, status=status)
        return status

    async def keep_reporting(self):
        while True:
            state = self.state
            status = await self.heartbeat()
            self.record("heartbeat", endpoint=self.name, state=state,
                        sequence=self.sequence, status=status)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def start_reporting(self):
        self.report_task = asyncio.create_task(self.keep_reporting())

    def stop_reporting(self):
        if self.report_task:
            self.report_task.cancel()
            self.report_task = None

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, headers = head
            attempt = headers.get("x-attempt-id")
            if attempt is None:
                writer.write(response(400, fields={"X-Not-Executed": "1"}))
                return
            if headers.get("x-expect-instance") != self.id:
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(response(421, fields={
                    "X-Instance-Id": self.id, "X-Attempt-Id": attempt}))
                continue
            if self.work and not await self.work(self, (line, headers, reader),
                                                 writer):
                return
            if self.work:
                continue
            body = await reader.readexactly(
                int(headers.get("content-length", 0)))
            await self.run(line, headers, body)
            answer = f"{attempt}:{self.id}".encode()
            writer.write(response(200, answer, {
                "X-Attempt-Id": attempt, "X-Response-Signature": "sig-" + attempt}))
            await writer.drain()

    async def run(self, line, headers, body):
        attempt = headers["x-attempt-id"]
        self.runs.append((time.monotonic(), attempt))
        self.record("run", endpoint=self.name, id=attempt,
                    line=line.split(" HTTP")[0], body_bytes=len(body))
        self.in_progress += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.in_progress -= 1


def route(name, prefix, kind, service, timeout_ms=3000, attempts=2, priority=1):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 1500,
            "priority": priority, "service": service, "maxAttempts": attempts}


def config(routes, services, version="00000007"):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/health",
                      "maxConnections": 532, "protocol": "h1", "tls": False}
                     for name in services],
        # As `fleetbench wire` shows them for the site.
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}).encode()


class Sidecar:
    """One machine's process, started as deploy/system.toml says, with the
    settings that the platform renders from deploy/node.conf."""

    def __init__(self, name, zone, endpoint, store, folder, record):
        self.name = name
        self.record = record
        self.folder = pathlib.Path(folder)
        self.process = None
        self.inbound = free_address()
        self.outbound = free_address()
        self.ready = free_address()
        self.control = free_address()
        metrics = free_address()
        endpoint.control = self.control
        fields = {"nodeName": name, "zone": zone, "service": endpoint.service,
                  "app": endpoint.address, "listen.outbound": self.outbound,
                  "listen.inbound": self.inbound, "listen.ready": self.ready,
                  "listen.control": self.control, "ip": "127.0.0.1",
                  "portRange.0": split(metrics)[1],
                  "platform.address": store.address,
                  "heartbeatIntervalMs": HEARTBEAT_MS}
        fields.update({f"bounds.{key}": value for key, value in BOUNDS.items()})
        deploy = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        self.command = re.search(r'run = "([^"]+)"', deploy).group(1).split()
        template = (ROOT / "deploy/node.conf").read_text(encoding="utf-8")
        rendered = re.sub(r"{{([^}]+)}}", lambda m: str(fields[m.group(1)]),
                          template)
        self.settings = self.folder / f"{name}.conf"
        self.settings.write_text(rendered, encoding="utf-8")
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the build of the deploy file has not been run")

    async def start(self, stdout=None):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["CASSIAKEEL_NODE_FILE"] = str(self.settings)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=env,
                stdin=asyncio.subprocess.DEVNULL, stdout=stdout or log,
                stderr=log)
        self.record("start", node=self.name, pid=self.process.pid)

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.record("kill", node=self.name)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def resident_mb(self):
        """Memory of the process in MB (10^6 bytes), or None if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) * 1024 / 1e6 if found else None

    async def stop(self):
        if self.running():
            # The process may end by itself at this moment.
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        answer = await request(self.ready, "GET", "/ready", None, timeout_s=1)
        return answer.status == 200

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record("ready", node=self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")


class Answer:
    def __init__(self, status=0, headers=None, body=b"", whole=False, cause=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole
        self.cause = cause

    def __str__(self):
        return f"{self.status}" if self.whole else f"none({self.cause})"


class Connection:
    """A client's connection, kept for many requests."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*split(self.address), limit=1 << 20), 1)

    def close(self):
        if self.writer:
            self.writer.transport.abort()

    async def send(self, method, target, attempt, timeout_ms, body=b""):
        fields = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        if attempt is not None:
            fields += [f"X-Attempt-Id: {attempt}", f"X-Timeout-Ms: {timeout_ms}"]
        if body or method == "POST":
            fields.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(fields) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def receive(self):
        head = await read_head(self.reader)
        if head is None:
            return Answer(cause="closed")
        line, headers = head
        status = int(line.split(" ")[1])
        try:
            body = await self.reader.readexactly(
                int(headers.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return Answer(status, headers, cause="cut")
        return Answer(status, headers, body, True)


async def request(address, method, target, attempt, timeout_s=5, body=b""):
    """One request on a new connection."""
    connection = Connection(address)
    try:
        await connection.open()
        await connection.send(method, target, attempt, int(timeout_s * 1000),
                              body)
        return await asyncio.wait_for(connection.receive(), timeout_s + 0.6)
    except asyncio.TimeoutError:
        return Answer(cause="timeout")
    except (ConnectionError, OSError) as error:
        return Answer(cause=type(error).__name__)
    finally:
        connection.close()


def run_case(folder, case):
    """Runs `case(record, temporary folder, trouble)`, which returns True if the
    rule held. Exits with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", trouble=int(trouble))

    async def limited(temporary):
        return await asyncio.wait_for(case(record, temporary, trouble), 110)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(limited(temporary))
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            record("cannot run", cause=repr(error))
            print("could not run:", repr(error))
            sys.exit(2)
    record("rule held" if held else "rule broken")
    print("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)

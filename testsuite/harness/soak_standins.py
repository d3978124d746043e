"""Stand-ins for the soak test: shared store, backend server, faulty proxy.

Timeouts use asyncio.timeout: asyncio.wait_for of Python 3.11 returns normally when
it is cancelled just as the awaited operation ends, so that a loop around it would
not end."""

import asyncio
import base64
import json
import time
import urllib.parse

from running_time import loop_time

DRAIN_S = 2.0


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return lines[0], headers, body


def format_response(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """Accepts connections at `address` and passes them to
    `serve(reader, writer)`."""

    def __init__(self, address):
        self.host, port = address.split(":")
        self.port = int(port)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def close(self):
        """Stops accepting connections."""
        if self.server:
            self.server.close()


class Server(Listener):
    """An HTTP server. `respond(line, headers, body)` returns the response bytes,
    or None to reset the connection."""

    def __init__(self, address, respond):
        super().__init__(address)
        self.respond = respond

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                response = await self.respond(*message)
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class FakeStore:
    """The part of the platform's store that the nodes use. `mode` is up, down,
    silent or late. Late writes take effect after two seconds without a
    response. It can come back from an older copy of its data; `era` counts that and
    is named in all responses, unless it is None."""

    def __init__(self, address, era=1):
        self.server = Server(address, self.respond)
        self.rows = {}
        self.version = 0
        self.mode = "up"
        self.era = era
        self.oldest_kept_version = 0
        self.rows_changed = asyncio.Condition()
        # Polls with a lower number are reset.
        self.first_poll = 0
        # Polls with a lower number began before the last return. They learn of it
        # only when their table changes behind the number that they wait for.
        self.first_poll_of_era = 0
        self.polls = 0

    async def put(self, table, key, value):
        async with self.rows_changed:
            self.version += 1
            self.rows[(table, key)] = (value, self.version)
            self.rows_changed.notify_all()

    def drop_history(self):
        self.oldest_kept_version = self.version

    def copy(self):
        """Returns the data for `come_back`."""
        return dict(self.rows), self.version

    async def come_back(self, copy, cut_polls=True):
        """Comes back from `copy` as a new era. Polls are reset, or go on hanging
        until there is something to tell them."""
        async with self.rows_changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.oldest_kept_version = min(self.oldest_kept_version, self.version)
            if self.era is not None:
                self.era += 1
            self.first_poll_of_era = self.polls
            if cut_polls:
                self.first_poll = self.polls
                self.rows_changed.notify_all()

    def era_field(self):
        """Value of the era field; None leaves it out."""
        return self.era

    def answer(self, status, body=b""):
        era = self.era_field()
        return format_response(status, body,
                               {} if era is None else {"Store-Era": era})

    def reply(self, table, after):
        rows = [{"table": table, "part": "", "key": key, "rowVersion": version,
                 "value": base64.b64encode(value).decode()}
                for (owner, key), (value, version) in sorted(self.rows.items())
                if owner == table and version > after]
        return {"rows": rows, "rowVersion": self.version, "nowMs": 0,
                "hasMore": False}

    async def respond(self, line, _, body):
        if self.mode == "down":
            return self.answer(503)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-tx" and method == "POST":
            return await self.write(json.loads(body))
        if path == "/rows-get":
            return self.answer(200, json.dumps(
                self.reply(fields["table"], -1)).encode())
        if path == "/rows-feed":
            return await self.feed(fields)
        return self.answer(404)

    async def feed(self, fields):
        table, after = fields["table"], int(fields["after"])
        end = loop_time() + int(fields["waitMs"]) / 1000
        poll = self.polls
        self.polls += 1
        while True:
            if poll >= self.first_poll_of_era and \
                    not self.oldest_kept_version <= after <= self.version:
                return self.answer(410)
            reply = self.reply(table, after)
            remaining_s = end - loop_time()
            if reply["rows"] or remaining_s <= 0:
                return self.answer(200, json.dumps(reply).encode())
            async with self.rows_changed:
                try:
                    async with asyncio.timeout(remaining_s):
                        await self.rows_changed.wait()
                except TimeoutError:
                    pass
            if self.mode != "up" or poll < self.first_poll:
                return None

    async def write(self, transaction):
        late = self.mode == "late"
        if late:
            await asyncio.sleep(2)
        current = [self.rows.get((row["table"], row["key"]), (b"", 0))
                   for row in transaction["precondition"]]
        precondition_holds = all(
            version == row["rowVersion"] for (_, version), row
            in zip(current, transaction["precondition"]))
        if precondition_holds:
            for row in transaction["writes"]:
                await self.put(row["table"], row["key"],
                               base64.b64decode(row["value"]))
            for row in transaction["remove"]:
                self.rows.pop((row["table"], row["key"]), None)
        if late:
            return None
        if precondition_holds:
            return self.answer(
                200, json.dumps({"rowVersion": self.version}).encode())
        rows = [{"part": "", "key": row["key"], "rowVersion": version,
                 "value": base64.b64encode(value).decode()}
                for (value, version), row in zip(current, transaction["precondition"])]
        return self.answer(412, json.dumps(
            {"rows": rows, "rowVersion": self.version}).encode())


class FakeBackend:
    """A backend server that reports its runs to `checker`. `mode` is up, slow,
    failing or resetting (runs the work and resets the connection)."""

    def __init__(self, name, service, address, report_address, checker):
        self.name = name
        self.service = service
        self.address = address
        self.report_address = report_address
        self.checker = checker
        self.server = Server(address, self.respond)
        self.mode = "up"
        self.starts = 0
        self.restart()

    def restart(self):
        self.starts += 1
        self.instance = f"i-{self.name}-{self.starts}"
        self.started_at_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.confirmed_at = None

    async def respond(self, line, headers, body):
        attempt = headers.get("x-attempt-id", "")
        self.checker.on_arrival(headers)
        if headers.get("x-expect-instance") != self.instance:
            return format_response(421, fields={"X-Instance-Id": self.instance})
        self.checker.on_run(self, attempt, line, headers, body)
        await asyncio.sleep(0.3 if self.mode == "slow" else 0.01)
        if self.mode == "resetting":
            return None
        fields = {"X-Attempt-Id": attempt, "X-Response-Signature": self.instance}
        status = 500 if self.mode == "failing" else 200
        return format_response(status, f"{attempt}:{self.instance}".encode(), fields)

    def report_body(self, state, sequence):
        return json.dumps({
            "service": self.service, "address": self.address, "zone": "z",
            "version": "v1", "slots": 4, "state": state,
            "coldRemainingMs": 0, "sequence": sequence,
            "born": self.started_at_ms}).encode()

    async def report(self):
        self.sequence += 1
        state, instance = self.state, self.instance
        status = await post(self.report_address, f"/Instances.Heartbeat/{instance}",
                            self.report_body(state, self.sequence))
        if status == 200 and state == "draining" and self.instance == instance \
                and self.confirmed_at is None:
            self.confirmed_at = loop_time()


async def send_request(address, request, timeout):
    """Returns (status, headers, body), or None without a complete response, and
    whether the connection could be opened."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return None, False
    try:
        writer.write(request)
        async with asyncio.timeout(timeout):
            message = await read_message(reader)
        if message is None:
            return None, True
        line, headers, body = message
        return (int(line.split(" ")[1]), headers, body), True
    except OSError:
        return None, True
    finally:
        writer.transport.abort()


async def post(address, path, body):
    request = (f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
               f"Content-Length: {len(body)}\r\n\r\n").encode() + body
    response, _ = await send_request(address, request, 1)
    return response[0] if response else 0


class FaultyProxy(Listener):
    """Forwards bytes to `target`. `mode` is up, delayed, silent (existing and new
    connections hang), one_way (responses are lost) or refusing."""

    def __init__(self, address, target):
        super().__init__(address)
        self.target = target
        self.mode = "up"
        self.writers = set()

    def on_bytes(self, data, towards_client):
        """Called with the bytes that are forwarded."""

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refusing":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, False),
                             self.forward(target_reader, writer, True))
        self.writers -= {writer, target_writer}

    async def forward(self, reader, writer, towards_client):
        try:
            while data := await reader.read(65536):
                if self.mode == "silent" or (self.mode == "one_way" and towards_client):
                    # The bytes are dropped, as by a middlebox that lost the connection
                    # state.
                    continue
                if self.mode == "delayed":
                    await asyncio.sleep(0.15)
                self.on_bytes(data, towards_client)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            # Propagates an abrupt end of the connection to the other side.
            writer.transport.abort() if reader.at_eof() is False else writer.close()

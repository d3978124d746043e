"""Lets a backend server answer sidecars, as real processes, with messages that
break the protocol, and with earlier refusals.

Guards against a broken message that reaches a client as an answer, and against a
refusal ("not run") of a request that has run.
"""

import argparse
import asyncio
import collections
import sys
import tempfile

from soak import Soak
from soak_standins import Listener, read_message, send_request

TIMEOUT_MS = 2000
# A request may be sent to this many servers, as `Soak.publish` sets it.
MAX_ATTEMPTS = 2
REPEATED_REFUSALS = 10
# Time in which a node reads a change of the directory.
DIRECTORY_DELAY_S = 3

FIELDS = b"X-Attempt-Id: ID\r\nX-Response-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + FIELDS
END = b"Content-Length: 6\r\n\r\nbroken"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# Responses in which ID stands for the attempt id. The server closes the connection
# behind them.
BROKEN_RESPONSES = {
    **{f"status {status}": b"HTTP/1.1 " + status.encode() + b" X\r\n" + FIELDS + END
       for status in ("000", "099", "101", "600", "999", "20", "2000", "2 0", "-20")},
    "version 2.0": OK.replace(b"1.1", b"2.0", 1) + END,
    "version 0.9": OK.replace(b"1.1", b"0.9", 1) + END,
    "empty line before": b"\r\n" + OK + END,
    "blank in a field name": OK + b"A B: c\r\n" + END,
    "blank before the colon": OK + b"A : b\r\n" + END,
    "blank before a field name": OK + b" A: b\r\n" + END,
    "tab in a field name": OK + b"A\tB: c\r\n" + END,
    "control byte in a field name": OK + b"A\x01: b\r\n" + END,
    "control byte in a field value": OK + b"A: \x01\r\n" + END,
    "field without a name": OK + b": b\r\n" + END,
    "field without a colon": OK + b"A\r\n" + END,
    "blank in the name of the length": OK + b"Content-Length : 6\r\n\r\nbroken",
    "lengths that differ": OK + b"Content-Length: 2\r\n" + END,
    "length beside chunks": OK + b"Transfer-Encoding: chunked\r\n" + END,
    "signature listed in Connection":
        OK + b"Connection: X-Response-Signature\r\n" + END,
    "unknown coding": OK + b"Transfer-Encoding: gzip\r\n\r\nbroken",
    "chunk longer than its size": CHUNKED + b"6\r\nbrokenXX0\r\n\r\n",
    "chunks without an end": CHUNKED + b"6\r\nbroken\r\n",
    "malformed trailer": CHUNKED + b"6\r\nbroken\r\n0\r\nA B: c\r\n\r\n",
    "chunks in HTTP/1.0":
        CHUNKED.replace(b"1.1", b"1.0", 1) + b"6\r\nbroken\r\n0\r\n\r\n",
    "bare line feeds": (OK + END).replace(b"\r\n", b"\n"),
    "content with status 204":
        b"HTTP/1.1 204 No Content\r\n" + FIELDS + END,
    "part of the status line": b"HTTP/1.1 200",
    "status line only": b"HTTP/1.1 200 OK\r\n",
    "part of a field": OK[:-9],
    "head without its end": OK,
    "head without its last byte": OK + b"\r",
    "short body": OK + b"Content-Length: 9\r\n\r\nbroken",
}
VALID_RESPONSES = {
    "HTTP/1.0": OK.replace(b"1.1", b"1.0", 1) + END,
    "no reason phrase": OK.replace(b" OK", b" ", 1) + END,
    "unusual blanks": OK + b"A:b\r\nB: \t c \t\r\nC:\r\n" + END,
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\n"
                         b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + OK + END,
    "chunks with extensions and trailers":
        CHUNKED + b"2;a=\"b\"\r\nbr\r\n04\r\noken\r\n0\r\nA: b\r\n\r\n",
    "no length": OK + b"\r\nbroken",
}
# Method, response of the server, and the length field that the client gets.
RESPONSES_WITHOUT_CONTENT = (
    ("HEAD", OK + b"Content-Length: 9\r\n\r\n", "9"),
    ("HEAD", OK + b"\r\n", None),
    ("GET", b"HTTP/1.1 204 No Content\r\n" + FIELDS + b"\r\n", None),
    ("GET", b"HTTP/1.1 304 Not Modified\r\n" + FIELDS + b"\r\n", None),
    ("GET", b"HTTP/1.1 304 X\r\n" + FIELDS + b"Content-Length: 9\r\n\r\n", "9"),
)
REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"


class BrokenBackend(Listener):
    """A backend server that answers with the bytes that `responses` has for the
    attempt. It refuses attempts named refused-N and repeats such a refusal, without
    an id, while it runs the next request on the connection."""

    def __init__(self, address):
        super().__init__(address)
        self.responses = {}
        self.runs = collections.Counter()
        self.repeated_refusals = 0

    async def serve(self, reader, writer):
        has_refused = False
        try:
            while message := await read_message(reader):
                attempt = message[1].get("x-attempt-id", "")
                if attempt.startswith("refused"):
                    has_refused = True
                    writer.write(REFUSAL + f"X-Attempt-Id: {attempt}\r\n\r\n".encode())
                    continue
                self.runs[attempt] += 1
                if attempt in self.responses:
                    writer.write(self.responses[attempt])
                    await writer.drain()
                    return
                if has_refused:
                    self.repeated_refusals += 1
                    writer.write(REFUSAL + b"\r\n")
                    await asyncio.sleep(0.02)
                writer.write((OK + END).replace(b"ID", attempt.encode()))
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Findings:
    """What was expected and did not happen."""

    def __init__(self):
        self.lines = []

    def expect(self, condition, text):
        if not condition:
            self.lines.append(text)


async def send(node, kind, attempt):
    method = "GET" if kind == "safe" else "POST"
    message = (f"{method} /s0/{kind}/{attempt} HTTP/1.1\r\nHost: h\r\n"
               f"X-Attempt-Id: {attempt}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n\r\n")
    response, _ = await send_request(node.outbound, message.encode(), 4)
    return response


def is_failure(answer):
    # No answer at all promises nothing either.
    return answer is None or answer[0] in (502, 504)


def is_success(answer):
    return answer and answer[0] == 200 and answer[2] == b"broken"


async def check_responses(node, backend, responses, is_right, findings):
    for number, (name, response) in enumerate(responses.items()):
        for kind in ("safe", "unsafe"):
            attempt = f"{node.name}-{kind}-{number}-{len(responses)}"
            backend.responses[attempt] = response.replace(b"ID", attempt.encode())
            answer = await send(node, kind, attempt)
            findings.expect(is_right(answer),
                            f"{name}, {kind}, at {node.name}: got {answer}")
            limit = MAX_ATTEMPTS if kind == "safe" else 1
            findings.expect(1 <= backend.runs[attempt] <= limit,
                            f"{name}, {kind}: ran {backend.runs[attempt]} times")


async def check_responses_without_content(node, backend, findings):
    """Sends the requests on one connection, which a wrong length would put out of
    step."""
    host, port = node.outbound.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number, (method, response, length) in enumerate(RESPONSES_WITHOUT_CONTENT):
        attempt = f"{node.name}-without-{number}"
        backend.responses[attempt] = response.replace(b"ID", attempt.encode())
        writer.write((f"{method} /s0/safe/{attempt} HTTP/1.1\r\nHost: h\r\n"
                      f"X-Attempt-Id: {attempt}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n"
                      "\r\n").encode())
        try:
            async with asyncio.timeout(4):
                head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            findings.expect(False, f"{method} {response}: got no answer")
            break
        status, *fields = head.decode("latin-1").split("\r\n")
        lengths = [field.split(": ")[1] for field in fields
                   if field.lower().startswith("content-length")]
        findings.expect(
            status.split(" ")[1] == response.split(b" ")[1].decode()
            and lengths == ([length] if length else []),
            f"{method} {response}: got {head}")
    writer.close()


async def check_repeated_refusals(node, backend, findings):
    before = backend.repeated_refusals
    for number in range(REPEATED_REFUSALS):
        refused = await send(node, "unsafe", f"refused-{node.name}-{number}")
        findings.expect(refused and refused[0] == 503,
                        f"a refused request got {refused}")
        attempt = f"run-{node.name}-{number}"
        answer = await send(node, "unsafe", attempt)
        findings.expect(backend.runs[attempt] == 1,
                        f"{attempt} ran {backend.runs[attempt]} times")
        findings.expect(answer and answer[0] in (200, 502),
                        f"{attempt} has run and got {answer and answer[0]}")
    repeated = backend.repeated_refusals - before
    findings.expect(repeated > 0, "no refusal was repeated")
    print(f"{node.name}: {repeated} of {REPEATED_REFUSALS} requests met a repeated "
          "refusal")


async def run(soak, findings):
    near, far = soak.nodes
    backend = BrokenBackend(near.backend_address)
    near.backend.server = backend
    await soak.store.server.start()
    await soak.publish()
    for node in soak.nodes:
        await node.backend.server.start()
        await node.proxy.start()
        await node.store_proxy.start()
        node.start()
        soak.spawn(soak.send_reports(node))
    await asyncio.sleep(DIRECTORY_DELAY_S)
    for node in (near, far):
        await check_responses(node, backend, BROKEN_RESPONSES, is_failure, findings)
        await check_responses(node, backend, VALID_RESPONSES, is_success, findings)
        await check_responses_without_content(node, backend, findings)
        await check_repeated_refusals(node, backend, findings)
        findings.expect(node.process.poll() is None, f"{node.name} has ended")
    await soak.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    log_dir = tempfile.mkdtemp(prefix="broken-answers-")
    soak = Soak(f"{options.bin_dir}/cassiakeel-sidecar", options.seed, 2, 0, log_dir,
                None)
    findings = Findings()
    try:
        asyncio.run(run(soak, findings))
    finally:
        soak.stop()
    for line in findings.lines:
        print(f"seed {options.seed}: {line}")
    if findings.lines:
        print(f"logs in {log_dir}")
    return 1 if findings.lines else 0


if __name__ == "__main__":
    sys.exit(main())

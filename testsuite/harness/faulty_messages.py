"""Sends a sidecar, as a real process, messages without an end and malformed ones.

Guards against a peer in trouble that exhausts the memory of the node, ends its
process, or keeps it from serving others.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time

from soak import Soak
from soak_standins import Listener, send_request

# Memory of the smallest instance of the users' platform.
MAX_MEMORY_MB = 160
ENDLESS_RESPONSES = 8
# Time limit of the requests for an endless response, as clients give it.
TIMEOUT_MS = 2000
# A sound server answers within 10 ms; the rest is for a busy machine.
MAX_RESPONSE_S = 1.0
GARBAGE_CONNECTIONS = 200


class EndlessBackend(Listener):
    """A backend server whose responses never end."""

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(b"x" * 65536)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Failure(Exception):
    pass


def expect(condition, text):
    if not condition:
        raise Failure(text)


def memory_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


async def get(node, service, attempt):
    message = (f"GET /{service}/safe/{attempt} HTTP/1.1\r\nHost: h\r\n"
               f"X-Attempt-Id: {attempt}\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n\r\n")
    response, _ = await send_request(node.outbound, message.encode(), 4)
    return response


async def expect_served(soak, node, attempt):
    """Calls the sound service and checks the answer and the time it takes."""
    soak.checker.sent[attempt] = {
        "line": f"GET /s1/safe/{attempt} HTTP/1.1", "body": b"", "safe": True,
        "service": "s1", "caller": node.service}
    started = time.monotonic()
    response = await get(node, "s1", attempt)
    taken = time.monotonic() - started
    expect(response and response[0] == 200, f"{attempt}: got {response}")
    expect(taken < MAX_RESPONSE_S, f"{attempt}: took {taken:.2f} s")


async def check_endless_responses(soak, node):
    requests = [asyncio.create_task(get(node, "s0", f"endless-{i}"))
                for i in range(ENDLESS_RESPONSES)]
    peak_mb = 0
    count = 0
    while not all(request.done() for request in requests):
        peak_mb = max(peak_mb, memory_mb(node.process))
        await expect_served(soak, node, f"beside-{count}")
        count += 1
        await asyncio.sleep(0.02)
    print(f"endless responses: at most {peak_mb:.0f} MB, {count} other requests served")
    expect(peak_mb < MAX_MEMORY_MB, f"{peak_mb:.0f} MB of {MAX_MEMORY_MB} in use")
    for request in requests:
        response = request.result()
        expect(response is None or response[0] >= 500,
               f"an endless response became {response and response[0]}")


async def check_report_with_invalid_id(node):
    body = json.dumps({
        "service": "s0", "address": node.backend_address, "zone": "z",
        "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0,
        "sequence": 1, "born": int(time.time() * 1000) + 5000}).encode()
    head = (b"POST /Instances.Heartbeat/i-\xff\xfe HTTP/1.1\r\nHost: h\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body))
    response, _ = await send_request(node.report, head + body, 2)
    expect(response and response[0] == 400,
           f"a report with an id that is not UTF-8 got {response}")


async def check_garbage(node, rng):
    """Sends altered requests to each address of the node."""
    request = (b"POST /s1/unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: g\r\n"
               b"X-Timeout-Ms: 50\r\nContent-Length: 4\r\n\r\nbody")
    addresses = (node.outbound, node.inbound, node.ready, node.report, node.metrics)
    for _ in range(GARBAGE_CONNECTIONS):
        message = bytearray(request)
        for _ in range(rng.randrange(1, 6)):
            message[rng.randrange(len(message))] = rng.randrange(256)
        host, port = rng.choice(addresses).split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(bytes(message[:rng.randrange(1, len(message) + 1)]))
        await asyncio.sleep(0.002)
        writer.transport.abort()


async def run(soak, rng):
    endless_node, sound_node = soak.nodes
    endless_node.backend.server = EndlessBackend(endless_node.backend_address)
    # Altered requests may run at the sound server; they have no check.
    soak.checker.on_run = lambda *_: None
    await soak.store.server.start()
    await soak.publish()
    for node in soak.nodes:
        await node.backend.server.start()
        await node.proxy.start()
        await node.store_proxy.start()
        node.start()
        soak.spawn(soak.send_reports(node))
    await asyncio.sleep(3)
    node = endless_node
    await expect_served(soak, node, "before")
    await check_endless_responses(soak, node)
    await check_report_with_invalid_id(node)
    await check_garbage(node, rng)
    await check_garbage(sound_node, rng)
    await expect_served(soak, node, "after")
    for each in soak.nodes:
        expect(each.process.poll() is None, f"{each.name} has ended")
    await soak.cancel_tasks()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    log_dir = tempfile.mkdtemp(prefix="faulty-messages-")
    soak = Soak(f"{options.bin_dir}/cassiakeel-sidecar", options.seed, 2, 0, log_dir,
                None)
    try:
        asyncio.run(run(soak, random.Random(options.seed)))
    except Failure as failure:
        print(f"seed {options.seed}: {failure}, logs in {log_dir}")
        return 1
    finally:
        soak.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())

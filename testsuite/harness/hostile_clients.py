"""Sends a sidecar, as a real process, crowds of clients that nobody controls.

Guards against clients that end the process by exhausting its memory or its
descriptors, or that keep it from serving others afterwards. Each crowd has its
own process, so that its peak memory is known.
"""

import argparse
import asyncio
import os
import socket
import sys
import tempfile
import time

from soak import Soak
from soak_standins import format_response, send_request

# Of the 160 MB of the smallest instance; the rest is for the system.
MAX_MEMORY_MB = 140
# Several times the descriptors of the largest crowd, whose connections lead to as
# many calls.
MAX_DESCRIPTORS = 600
# Time in which an ordinary request is answered after a crowd has left.
RECOVERY_S = 10
CROWD_S = 8
SAMPLE_S = 0.01
# Time for the policy, the directory and the first report.
START_S = 3

LARGE_ANSWER = b"x" * 2_000_000
UNREAD_CONNECTIONS = 100
REQUESTS_AHEAD = 200
LARGE_BODIES = 12
LARGE_BODY_BYTES = 16 << 20
ENDLESS_PER_ADDRESS = 8
BARE_CONNECTIONS = 100
# Small, so that the answers wait in the process and not in the kernel.
RECEIVE_BUFFER_BYTES = 4096

ENDLESS_FORMS = (
    (b"POST /s0/unsafe/e HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
     b"10000\r\n" + b"x" * 0x10000 + b"\r\n"),
    (b"POST /s0/unsafe/e HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n",
     b"x" * 65536),
    (b"GET /s0/safe/e HTTP/1.1\r\nHost: h\r\n", b"A: b\r\n" * 10000),
    (b"GET /s0/safe/", b"x" * 65536),
)


class Failure(Exception):
    pass


def status_mb(pid, name):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(name):
                return int(line.split()[1]) * 1024 / 1e6
    return 0


async def connect(address, receive_buffer=None):
    host, port = address.split(":")
    raw = socket.socket()
    if receive_buffer:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, (host, int(port)))
    return raw


async def hold(address, message, end):
    """Sends `message`, reads nothing and holds the connection until `end`."""
    raw = await connect(address, RECEIVE_BUFFER_BYTES)
    try:
        await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(raw, message),
                               max(0.1, end - time.monotonic()))
        await asyncio.sleep(max(0, end - time.monotonic()))
    except (ConnectionError, OSError, asyncio.TimeoutError):
        pass
    finally:
        raw.close()


async def send_endlessly(address, form, end):
    """Sends a request without an end, again on a new connection whenever the node
    closes it."""
    beginning, rest = form
    loop = asyncio.get_running_loop()
    while time.monotonic() < end:
        raw = await connect(address)
        try:
            await loop.sock_sendall(raw, beginning)
            while time.monotonic() < end:
                await asyncio.wait_for(loop.sock_sendall(raw, rest),
                                       max(0.1, end - time.monotonic()))
        except (ConnectionError, OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.005)
        finally:
            raw.close()


def unread_answers(node, end):
    message = b"".join(
        b"GET /s0/safe/u%d HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: u%d\r\n"
        b"X-Timeout-Ms: 20000\r\n\r\n" % (i, i) for i in range(REQUESTS_AHEAD))
    return [hold(node.outbound, message, end) for _ in range(UNREAD_CONNECTIONS)]


def unfinished_bodies(node, end):
    head = (b"POST /s0/unsafe/b HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b\r\n"
            b"X-Timeout-Ms: 20000\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES)
    message = head + b"x" * (LARGE_BODY_BYTES - 10)
    return [hold(node.outbound, message, end) for _ in range(LARGE_BODIES)]


def endless_requests(node, end):
    return [send_endlessly(address, ENDLESS_FORMS[i % len(ENDLESS_FORMS)], end)
            for address in (node.outbound, node.inbound, node.ready, node.report)
            for i in range(ENDLESS_PER_ADDRESS)]


def requests_without_fields(node, end):
    message = b"GET /s0/safe/bare HTTP/1.1\r\nHost: h\r\n\r\n" * REQUESTS_AHEAD
    return [hold(node.outbound, message, end) for _ in range(BARE_CONNECTIONS)]


CROWDS = (unread_answers, unfinished_bodies, endless_requests,
          requests_without_fields)


async def expect_answer(node):
    message = (b"GET /s1/safe/ordinary HTTP/1.1\r\nHost: h\r\n"
               b"X-Attempt-Id: ordinary\r\nX-Timeout-Ms: 1500\r\n\r\n")
    end = time.monotonic() + RECOVERY_S
    while time.monotonic() < end:
        response, _ = await send_request(node.outbound, message, 2)
        if response and response[0] == 200:
            return
        await asyncio.sleep(0.1)
    raise Failure(f"an ordinary request got {response}")


async def check_crowd(crowd, node):
    pid = node.process.pid
    end = time.monotonic() + CROWD_S
    tasks = [asyncio.create_task(each) for each in crowd(node, end)]
    descriptors = 0
    while not all(task.done() for task in tasks) and node.process.poll() is None:
        descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
        await asyncio.sleep(SAMPLE_S)
    # Ends the node's own crowd if the node has ended.
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if node.process.poll() is not None:
        raise Failure("the process has ended")
    peak_mb = status_mb(pid, "VmHWM")
    print(f"{crowd.__name__}: {peak_mb:.0f} MB and {descriptors} descriptors "
          "at most", flush=True)
    await expect_answer(node)
    if peak_mb >= MAX_MEMORY_MB:
        raise Failure(f"{peak_mb:.0f} MB in use, {MAX_MEMORY_MB} allowed")
    if descriptors >= MAX_DESCRIPTORS:
        raise Failure(f"{descriptors} descriptors, {MAX_DESCRIPTORS} allowed")


async def respond_large(line, headers, _):
    return format_response(200, LARGE_ANSWER, {
        "X-Attempt-Id": headers.get("x-attempt-id", ""),
        "X-Response-Signature": "large"})


async def run_crowd(crowd, program):
    """Starts a node whose server gives large answers, and a sound one."""
    log_dir = tempfile.mkdtemp(prefix="hostile-clients-")
    soak = Soak(program, 1, 2, 0, log_dir, None)
    # Requests of the crowds are not recorded.
    soak.checker.on_run = lambda *_: None
    soak.nodes[0].backend.server.respond = respond_large
    try:
        await soak.store.server.start()
        await soak.publish()
        for node in soak.nodes:
            await node.backend.server.start()
            await node.proxy.start()
            await node.store_proxy.start()
            node.start()
            soak.spawn(soak.send_reports(node))
        await asyncio.sleep(START_S)
        await check_crowd(crowd, soak.nodes[0])
    except Failure as failure:
        print(f"{crowd.__name__}: {failure}, logs in {log_dir}", flush=True)
        return False
    finally:
        soak.stop()
    return True


async def run_all(program):
    results = [await run_crowd(crowd, program) for crowd in CROWDS]
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return all(results)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin-dir", required=True)
    options = parser.parse_args()
    return 0 if asyncio.run(
        run_all(f"{options.bin_dir}/cassiakeel-sidecar")) else 1


if __name__ == "__main__":
    sys.exit(main())

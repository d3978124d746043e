"""Common parts of the end-to-end cases: arguments, logs on failure, calls."""

import argparse
import concurrent.futures
import glob
import json
import os
import secrets
import sys
import tempfile
import time

from cluster import Cluster, Service
from processes import HarnessError, Processes, http
from sheet import Kind

LOG_TAIL_LINES = 15


def relaxed_kinds():
    """Request kinds with long deadlines, so that the cases also pass on a busy
    machine: they check behaviour, not latency."""
    return [
        Kind("submit", "POST", "/submit/{id}", "critical", idempotent=False,
             deadline_ms=5000, retries=2, max_wait_ms=3000, slo_latency_ms=5000),
        Kind("status", "GET", "/status/{id}", "interactive", deadline_ms=5000,
             retries=2, max_wait_ms=3000, slo_latency_ms=5000),
    ]


def board_service(endpoints, **settings):
    values = {"slots": 16, "connections": 64, "kinds": relaxed_kinds(),
              "mean_ms": 10, "tail_share": 0, **settings}
    return Service("board", endpoints=endpoints, **values)


def start(processes, *services):
    return Cluster(processes, "cassiakeel", services).start()


def expect(condition, message):
    if not condition:
        raise HarnessError(message)


def uuid7():
    """A UUID version 7 with the current time, as an idempotency key."""
    milliseconds = time.time_ns() // 1_000_000
    tail = secrets.token_hex(9)
    text = f"{milliseconds:012x}7{tail[:3]}8{tail[3:18]}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:32]))


class Response:
    """A response with the fields that the cases check."""

    def __init__(self, status, headers, text, request):
        self.status = status
        self.text = text
        self.request = request
        self.outcome = headers.get("Cassiakeel-Outcome", "")
        self.reason = headers.get("Cassiakeel-Reason", "")

    def body(self):
        return json.loads(self.text)

    def is_complete_and_matches(self, path):
        return (self.status == 200 and self.body()["echo"] == path
                and self.body()["request"] == self.request)

    def __str__(self):
        return f"{self.status} {self.outcome} {self.reason} {self.text[:200]}"


def call(address, path, method="GET", key=None, timeout=10):
    request = secrets.token_hex(16)
    headers = {"traceparent": f"00-{request}-{secrets.token_hex(8)}-01"}
    if key:
        headers["Idempotency-Key"] = key
    body = b"{}" if method == "POST" else None
    return Response(*http(method, address, path, body, headers, timeout), request)


def call_until_ok(address, path, timeout_s=15, **settings):
    """Retries a call that is rejected as not run while nodes are starting."""
    end = time.monotonic() + timeout_s
    while True:
        response = call(address, path, **settings)
        if response.status == 200 or time.monotonic() > end:
            return response
        expect(response.outcome == "not-run", f"{path}: {response}")
        time.sleep(0.2)


def call_concurrently(calls):
    """Starts (address, path) calls concurrently and returns their futures."""
    executor = concurrent.futures.ThreadPoolExecutor(max_workers=len(calls))
    return [executor.submit(call, *arguments) for arguments in calls]


def print_logs(log_dir):
    for path in sorted(glob.glob(os.path.join(log_dir, "*.log"))):
        with open(path, encoding="utf-8", errors="replace") as log:
            lines = log.readlines()[-LOG_TAIL_LINES:]
        if lines:
            print(f"--- {os.path.basename(path)}")
            print("".join(line[:400].rstrip() + "\n" for line in lines), end="")


def main(case):
    parser = argparse.ArgumentParser(description=case.__doc__)
    parser.add_argument("--bin-dir", required=True)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as log_dir:
        try:
            with Processes(arguments.bin_dir, log_dir) as processes:
                case(processes)
        except HarnessError as error:
            print(f"FAILED: {error}")
            print_logs(log_dir)
            sys.exit(1)
    print("passed")

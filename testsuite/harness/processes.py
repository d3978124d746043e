"""Starts the processes of a test or benchmark and stops only those."""

import itertools
import json
import os
import random
import socket
import subprocess
import time
import urllib.error
import urllib.request

RUN_TIMEOUT_S = 20


class HarnessError(Exception):
    """A failure that ends the run; the message gives the reason."""


FIRST_PORT = 10000
PORT_BLOCKS = 220
PORTS_PER_BLOCK = 100
# Sockets that keep the blocks of this process reserved until it ends.
RESERVED_BLOCKS = []


def try_reserve(block):
    """Reserves a block of ports by binding an abstract socket, which fails while
    another run has it. The unit tests use the same blocks
    (src/testing/reserved_port.h)."""
    lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        lock.bind(f"\0cassiakeel-test-ports-{block}")
    except OSError:
        lock.close()
        return False
    RESERVED_BLOCKS.append(lock)
    return True


def port_candidates():
    """Yields ports that no concurrent run takes, below the range for outgoing
    connections, which could take a port between its selection and its use."""
    start = random.SystemRandom().randrange(PORT_BLOCKS)
    for offset in range(PORT_BLOCKS):
        block = (start + offset) % PORT_BLOCKS
        if try_reserve(block):
            first = FIRST_PORT + block * PORTS_PER_BLOCK
            yield from range(first, first + PORTS_PER_BLOCK)
    raise HarnessError("all blocks of test ports are reserved")


PORT_CANDIDATES = port_candidates()


def is_free(port):
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_addresses(count):
    """Returns loopback addresses whose ports are free for TCP and UDP. No port
    is returned twice."""
    ports = (port for port in PORT_CANDIDATES if is_free(port))
    return [f"127.0.0.1:{port}" for port in itertools.islice(ports, count)]


def http(method, address, path, body=None, headers=None, timeout=5):
    """Returns (status, headers, text); status 0 when there is no response."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()
    except (OSError, ValueError) as error:
        return 0, {}, str(error)


def boottime_ns():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def wait_until(condition, timeout_s, description):
    """Polls until `condition()` is true."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise HarnessError(f"timed out after {timeout_s} s: {description}")


class Processes:
    """Child processes of one run. Use as a context manager."""

    def __init__(self, bin_dir, log_dir):
        self.bin_dir = bin_dir
        self.log_dir = log_dir
        self.children = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def start(self, program, *arguments, name=None, stdout=None):
        path = os.path.join(self.bin_dir, program)
        if not os.path.exists(path):
            raise HarnessError(f"program {program} not found in {self.bin_dir}")
        log_path = os.path.join(self.log_dir, f"{name or program}.log")
        with open(log_path, "ab") as log:
            child = subprocess.Popen(
                [path, *[str(a) for a in arguments]], stdin=subprocess.DEVNULL,
                stdout=stdout or log, stderr=log)
        child.log_path = log_path
        self.children.append(child)
        return child

    def run(self, program, *arguments):
        """Runs a program until it exits and returns its standard output."""
        completed = subprocess.run(
            [os.path.join(self.bin_dir, program), *[str(a) for a in arguments]],
            stdin=subprocess.DEVNULL, capture_output=True, timeout=RUN_TIMEOUT_S,
            check=False)
        if completed.returncode != 0:
            raise HarnessError(
                f"{program} {arguments[0]}: exit {completed.returncode}: "
                f"{completed.stderr.decode()}{completed.stdout.decode()}")
        return completed.stdout.decode()

    def stop_all(self):
        """Kills the child processes. They keep no state, and a graceful stop would
        wait for the platform, which is stopped at the same time."""
        for child in self.children:
            if child.poll() is None:
                child.kill()
        for child in self.children:
            child.wait()
        self.children.clear()

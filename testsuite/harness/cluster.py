"""Backend servers behind either cassiakeel nodes or baseline proxies."""

import dataclasses
import hashlib
import json
import os
import signal

from processes import HarnessError, free_addresses, http, wait_until
from sheet import sheet_text

ZONES = 4
READY_TIMEOUT_S = 30


@dataclasses.dataclass
class Service:
    """A service of the cluster. `mean_ms`, `sigma`, `tail_*` and `long_*` are
    settings of backend_server_standin."""
    name: str
    slots: int
    connections: int
    kinds: list
    endpoints: int = 4
    mean_ms: float = 20
    sigma: float = 0.4
    tail_share: float = 0.02
    tail_factor: float = 5
    long_ms: float = 1000
    long_prefix: str = "/bundle"
    downstream: str = ""
    response_bytes: int = 0

    def effective_mean_ms(self):
        return self.mean_ms * (1 + self.tail_share * (self.tail_factor - 1))

    def capacity(self):
        """Short calls per second that the slots of all endpoints can serve."""
        return self.endpoints * self.slots * 1000 / self.effective_mean_ms()


@dataclasses.dataclass
class Endpoint:
    """One backend server with the node or proxy in front of it."""
    service: Service
    index: int
    traffic: str
    local: str
    gossip: str
    rpc: str
    backend: str
    node: object = None
    server: object = None

    @property
    def name(self):
        return f"{self.service.name}-{self.index}"


class Cluster:
    """Starts all processes of one variant ("cassiakeel" or "baseline")."""

    def __init__(self, processes, variant, services, seed=1,
                 baseline_timeout_ms=2000):
        self.processes = processes
        self.variant = variant
        self.services = services
        self.seed = seed
        self.baseline_timeout_ms = baseline_timeout_ms
        self.platform = None
        self.approver_key = None
        self.sheet_path = os.path.join(processes.log_dir, "sheet.csv")
        self.endpoints = []
        for service in services:
            for index in range(service.endpoints):
                self.endpoints.append(
                    Endpoint(service, index, *free_addresses(5)))

    def start(self):
        if self.variant == "cassiakeel":
            self.start_platform_with_policy()
        for endpoint in self.endpoints:
            self.start_node_or_proxy(endpoint)
            self.start_server(endpoint)
        self.wait_ready()
        return self

    def start_platform_with_policy(self):
        """Starts the platform, then proposes and approves a policy sheet with the
        command-line tool."""
        with open(self.sheet_path, "w", encoding="utf-8") as sheet_file:
            sheet_file.write(sheet_text(
                {s.name: (s.slots, s.kinds) for s in self.services}))
        self.platform = free_addresses(1)[0]
        self.processes.start("platform_standin", "--listen", self.platform)
        wait_until(lambda: http("GET", self.platform, "/control/stats")[0] == 200,
                   READY_TIMEOUT_S, "the platform accepts requests")
        key_file = os.path.join(self.processes.log_dir, "approver.pem")
        key = self.run_cli("key", "generate", "--name", "legal", "--key-file",
                           key_file)
        self.approver_key = "legal=" + key["public_key"]
        with open(self.sheet_path, "rb") as sheet_file:
            digest = hashlib.sha256(sheet_file.read()).hexdigest()
        self.run_cli("sheet", "propose", self.sheet_path, "--proposer", "planner",
                     "--platform", self.platform)
        self.run_cli("sheet", "approve", digest, "--approver", "legal", "--key-file",
                     key_file, "--platform", self.platform)

    def run_cli(self, *arguments):
        """Runs the command-line tool and returns its JSON output."""
        return json.loads(self.processes.run("cassiakeel", *arguments, "--json"))

    def start_node_or_proxy(self, endpoint):
        if self.variant == "cassiakeel":
            endpoint.node = self.start_node(endpoint)
        else:
            endpoint.node = self.start_proxy(endpoint)

    def start_node(self, endpoint):
        zone = endpoint.index % ZONES
        flags = ["--node-id", endpoint.name, "--listen", endpoint.traffic,
                 "--local", endpoint.local, "--gossip", endpoint.gossip,
                 "--rpc", endpoint.rpc, "--zone", f"zone-{zone}",
                 "--region", "region-1", "--platform", self.platform,
                 "--approver-key", self.approver_key]
        seeds = [e.gossip for e in self.endpoints if e is not endpoint][:3]
        for seed in seeds:
            flags += ["--seed-peer", seed]
        return self.processes.start("cassiakeeld", *flags,
                                    name=f"node-{endpoint.name}")

    def start_proxy(self, endpoint):
        flags = ["--listen", endpoint.traffic, "--timeout-ms",
                 self.baseline_timeout_ms]
        # Limits the connections of all proxies together to those of the server.
        callers = len(self.endpoints)
        connections = max(1, endpoint.service.connections // callers)
        flags += ["--connections", connections]
        for other in self.endpoints:
            flags += ["--endpoint", f"{other.service.name}={other.backend}"]
        return self.processes.start("baseline_proxy", *flags,
                                    name=f"proxy-{endpoint.name}")

    def start_server(self, endpoint):
        service = endpoint.service
        node = endpoint.local if self.variant == "cassiakeel" else endpoint.traffic
        flags = ["--listen", endpoint.backend, "--service", service.name,
                 "--node", node, "--slots", service.slots,
                 "--connections", service.connections,
                 "--mean-ms", service.mean_ms, "--sigma", service.sigma,
                 "--tail-share", service.tail_share,
                 "--tail-factor", service.tail_factor,
                 "--long-ms", service.long_ms,
                 "--long-path-prefix", service.long_prefix,
                 "--response-bytes", service.response_bytes,
                 "--enforce-deadline", "--seed", self.seed * 1000 + endpoint.index]
        if service.downstream:
            flags += ["--downstream", service.downstream]
        endpoint.server = self.processes.start(
            "backend_server_standin", *flags, name=f"server-{endpoint.name}")

    def wait_ready(self):
        """Waits until every node or proxy reaches every service."""
        def reaches(endpoint, service):
            kind = next(k for k in service.kinds if k.method == "GET")
            path = f"/{service.name}{kind.path.replace('{id}', 'ready')}"
            status, _, _ = http("GET", endpoint.traffic, path, timeout=2)
            return status in (200, 500, 502)
        for service in self.services:
            for endpoint in self.endpoints:
                if endpoint.node.poll() is not None:
                    raise HarnessError(
                        f"process of {endpoint.name} exited, "
                        f"see {endpoint.node.log_path}")
                wait_until(lambda e=endpoint, s=service: reaches(e, s),
                           READY_TIMEOUT_S,
                           f"{endpoint.name} reaches {service.name}")

    def endpoints_of(self, service_name):
        return [e for e in self.endpoints if e.service.name == service_name]

    def targets(self, service_name):
        return [e.traffic for e in self.endpoints_of(service_name)]

    def control(self, endpoint, **switches):
        status, _, text = http("POST", endpoint.backend, "/control", switches)
        if status != 200 and not switches.get("crash"):
            raise HarnessError(f"control request to {endpoint.name} failed: {text}")

    def control_platform(self, **switches):
        if self.platform:
            http("POST", self.platform, "/control", switches)

    def runs(self, endpoint):
        status, _, text = http("GET", endpoint.backend, "/runs", timeout=20)
        return json.loads(text) if status == 200 else []

    def kill(self, process):
        process.send_signal(signal.SIGKILL)
        process.wait()

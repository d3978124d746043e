"""Returns of the store from an older copy in the soak test, and the checks of what has
to hold over them."""

import asyncio
import json

from running_time import loop_time
from soak_standins import send_request
from soak_tenants import CONTACT_S, MARGIN_S

# A confirmed policy is in force (configMs), and a node's row is written again, this
# long after the later of the change and the return.
IN_FORCE_S = 2.0
REWRITTEN_S = 2.0
POLL_S = 0.1
PROBE_INTERVAL_S = 0.3
PLANTS = ("older-policy", "late-policy", "row-lost")


class Returns:
    """`tables` are those of the policy and of the nodes."""

    def __init__(self, store, nodes, tables, checker, with_tenants=False,
                 clock=loop_time):
        self.store = store
        self.nodes = nodes
        self.policy_table, self.node_table = tables
        self.checker = checker
        self.with_tenants = with_tenants
        self.clock = clock
        self.injected_violation = None
        # Versions of the policy with the times of their confirmations, newest last.
        self.confirmed = []
        self.policy = None
        self.copies = []
        self.returned_at = float("-inf")
        self.returns = self.probes = self.row_checks = self.policy_checks = 0
        # Newest version seen at each process.
        self.newest = {}
        # When the row of a node began to be wrong.
        self.wrong_since = {}

    def in_touch(self, node, now):
        return node.process.poll() is None and not node.stopping and \
            node.store_proxy.in_contact(now)

    def routes(self, version):
        """Routes that show whether a version at least as new as theirs is in force."""
        known = [one for one, _ in self.confirmed] + [version]
        if self.injected_violation == "older-policy":
            known = known[-2:]
        public = {"public": True} if self.with_tenants else {}
        return [{"name": f"r-version-{one}", "host": "h", "kind": "safe",
                 "pathPrefix": f"/version/{one}/", "timeoutMs": 1500,
                 "targetLatencyMs": 600, "priority": 2, "service": "s0",
                 "maxAttempts": 2, **public} for one in known]

    def on_published(self, version, policy):
        self.policy = policy
        self.confirmed.append((version, self.clock()))
        if self.injected_violation == "late-policy":
            self.confirmed[-1] = (version + 1, self.clock())

    async def keep_copies(self):
        """Keeps copies of the last five seconds."""
        while True:
            self.copies = self.copies[-50:] + [self.store.copy()]
            await asyncio.sleep(POLL_S)

    async def inject_returns(self, rng, seconds, publish):
        end = self.clock() + seconds
        while self.clock() < end:
            await asyncio.sleep(rng.uniform(1, 6))
            await self.come_back(rng, publish)

    async def come_back(self, rng, publish):
        """Comes back once or twice, from a copy of up to five seconds ago, with numbers
        that pass the known one at once, slowly or not. The operator and the backend
        servers write again what they wrote."""
        header = rng.choice((True, True, False))
        if not header:
            self.store.era_field = lambda: None
        for _ in range(rng.choice((1, 1, 2))):
            copy = self.copies[-min(len(self.copies), rng.randrange(1, 51))]
            if rng.random() < 0.5:
                # What the copy lacks: numbers that are given out again, and a row.
                await self.use_numbers(30)
                rng.choice(self.nodes).backend.restart()
                await asyncio.sleep(rng.uniform(0.3, 0.8))
            await self.store.come_back(copy, cut_polls=rng.random() < 0.7)
            self.returned_at = self.clock()
            self.returns += 1
            await self.store.put(self.policy_table, "config", self.policy)
            if rng.random() < 0.5:
                await publish()
            await asyncio.sleep(rng.uniform(0.1, 0.8))
        pass_by = rng.choice(("no", "at once", "slowly"))
        if pass_by != "no":
            await self.use_numbers(60, 0.05 if pass_by == "slowly" else 0)
        if not header:
            await asyncio.sleep(rng.uniform(0, 3))
            del self.store.era_field

    async def use_numbers(self, count, pause_s=0):
        """Writes rows that no node uses."""
        for number in range(count):
            await self.store.put("unused", str(number), b"x")
            await asyncio.sleep(pause_s)

    def required_version(self, node, now):
        """The version that has to be in force at `node`, or None."""
        due = now - IN_FORCE_S - MARGIN_S
        versions = [version for version, since in self.confirmed if since <= due]
        return versions[-1] if versions and self.in_touch(node, now) and \
            now - self.returned_at > CONTACT_S + MARGIN_S else None

    async def has_version(self, node, version):
        """Whether `version` or a newer one is in force; None if that is unknown."""
        self.probes += 1
        attempt = f"version-{self.probes}"
        line = f"GET /version/{version}/x HTTP/1.1"
        self.checker.sent[attempt] = {
            "line": line, "body": b"", "safe": True, "service": "s0",
            "caller": node.service, "node": node.name,
            "node_age_s": self.clock() - node.started_at, "due": False, "key": None,
            "tenant": None, "forbidden": False}
        message = (f"{line}\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n"
                   "X-Timeout-Ms: 1000\r\n\r\n")
        response, _ = await send_request(node.outbound, message.encode(), 1.5)
        return {200: True, 404: False}.get(response[0]) if response else None

    async def probe(self, node):
        """Checks the version in force at `node`."""
        process, required = node.process, self.required_version(node, self.clock())
        newest = self.newest.get(process, 0)
        if required is not None:
            self.policy_checks += 1
            if await self.has_version(node, required) is False:
                self.checker.record_violation(
                    "late-policy", f"{node.name} does not have version {required}")
        if newest and await self.has_version(node, newest) is False and \
                node.process is process:
            self.checker.record_violation(
                "older-policy", f"{node.name} went back behind version {newest}")
        for version, _ in reversed(self.confirmed[-3:]):
            if version > newest and await self.has_version(node, version):
                if node.process is process:
                    self.newest[process] = version
                return

    async def watch_policy(self, node):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self.probe(node)

    def check_row(self, node):
        """The row of a node in touch names the process of its backend server, and its
        departure once that is confirmed."""
        now = self.clock()
        value, _ = self.store.rows.get((self.node_table, node.name), (None, 0))
        row = json.loads(value) if value else None
        backend = node.backend
        right = row and row["instance"] == backend.instance and \
            (row["departed"] or not backend.confirmed_at)
        if right or not self.in_touch(node, now):
            self.wrong_since.pop(node.name, None)
            self.row_checks += bool(right)
            return
        since = self.wrong_since.setdefault(node.name, now)
        if now - max(since, self.returned_at) > REWRITTEN_S + MARGIN_S:
            self.checker.record_violation(
                "row-lost", f"{node.name} has not written its row: {row}")
            self.wrong_since[node.name] = now

    async def check_rows(self):
        while True:
            await asyncio.sleep(POLL_S)
            for node in self.nodes:
                self.check_row(node)

    def summary(self):
        return (f", {self.returns} returns, {self.policy_checks} policies and "
                f"{self.row_checks} rows checked")

    def inject_violation(self, kind):
        """Injects a violation of the invariant `kind`."""
        self.injected_violation = kind
        if kind == "row-lost":
            write = self.store.write

            async def write_without_first(transaction):
                # Acknowledges writes of the first node's row, which are lost.
                lost = self.nodes[0].name
                transaction["writes"] = [row for row in transaction["writes"]
                                         if row["key"] != lost]
                return await write(transaction)

            self.store.write = write_without_first

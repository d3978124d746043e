"""Tenants of the soak test: their part of the policy, the credentials of its
clients, and the checks of keys and allotments."""

import collections
import dataclasses
import re
import time

from running_time import loop_time
from soak_standins import FaultyProxy

# Withdrawn keys and lowered allotments are in force this long after their version
# was stored, at nodes in contact with the store.
REVOCATION_S = 2.5
CONTACT_S = 3
# quotaWindowS, quotaExcess and quotaSlack of the users' rules.
WINDOW_S = 5
EXCESS = 0.1
SLACK = 20
# Margin for scheduling delays on a busy machine.
MARGIN_S = 0.5
# Priority, rate per second and burst. The clients stay below the allotment of t0,
# reach that of t1 once it is lowered, and exceed that of t2.
TENANTS = {"t0": (0, 200, 200), "t1": (1, 20, 20), "t2": (None, 2, 2)}
LOWERED = (2, 2)
POLICY_QUERY = re.compile(rb"^GET /rows-(feed|get)\?table=op[& ]", re.MULTILINE)
CHANGES = ("withdraw", "add", "allotment")


@dataclasses.dataclass
class Allotment:
    rate: float
    burst: float
    # Nodes that may not yet know the next allotment; None while there is none.
    unaware: set = None
    replaced_at: float = None
    ended_at: float = None

    def bound(self):
        return (self.rate * WINDOW_S + self.burst) * (1 + EXCESS) + SLACK


class StoreProxy(FaultyProxy):
    """Also records since when its node is in contact with the store: from the first
    request for the policy that passes after the last fault."""

    def __init__(self, address, target, store):
        self.store = store
        self.contact_since = None
        super().__init__(address, target)

    @property
    def mode(self):
        return self.current_mode

    @mode.setter
    def mode(self, mode):
        self.current_mode = mode
        self.contact_since = None

    def reset_all(self):
        self.contact_since = None
        super().reset_all()

    def on_bytes(self, data, towards_client):
        if not towards_client and self.contact_since is None and \
                "up" == self.mode == self.store.mode and POLICY_QUERY.search(data):
            self.contact_since = loop_time()

    def in_contact(self, now):
        return self.contact_since is not None and \
            now - self.contact_since > CONTACT_S + MARGIN_S


class Tenants:
    """`nodes` maps names to nodes; `record_violation(invariant, text)`. Allotments are
    granted for the time of `window_clock`, which passes while the test stalls."""

    def __init__(self, nodes, record_violation, clock=loop_time,
                 window_clock=time.monotonic):
        self.nodes = nodes
        self.record_violation = record_violation
        self.clock = clock
        self.window_clock = window_clock
        # The first key of a tenant is in every version of the policy.
        self.keys = {f"key-{name}-{i}": name for name in TENANTS for i in range(3)}
        self.permanent = {key for key in self.keys if key.endswith("-0")}
        self.withdrawn_at = {"key-unknown": float("-inf")}
        self.allotments = {name: [Allotment(rate, burst)]
                           for name, (_, rate, burst) in TENANTS.items()}
        self.runs = {name: collections.deque() for name in TENANTS}
        self.forbidden = 0

    def policy(self):
        tenants = []
        for name, (priority, _, _) in TENANTS.items():
            allotment = self.allotments[name][-1]
            tenants.append({
                "name": name, "ratePerS": allotment.rate, "burst": allotment.burst,
                "apiKeys": [key for key, owner in self.keys.items()
                            if owner == name and key not in self.withdrawn_at]})
            if priority is not None:
                tenants[-1]["priority"] = priority
        return tenants

    async def change(self, kind, rng, publish):
        """Withdraws a key, adds one, or changes the allotment of t1."""
        withdrawable = sorted(
            set(self.keys) - self.permanent - set(self.withdrawn_at))
        if kind == "withdraw" and withdrawable:
            key = rng.choice(withdrawable)
            self.withdrawn_at[key] = float("inf")
            await publish()
            self.withdrawn_at[key] = self.clock()
        elif kind == "allotment":
            await self.replace_allotment(publish, *(
                TENANTS["t1"][1:] if self.is_lowered() else LOWERED))
        else:
            name = rng.choice(sorted(TENANTS))
            self.keys[f"key-{name}-{len(self.keys)}"] = name
            await publish()

    async def change_last(self, rng, publish):
        """Withdraws a key and lowers the allotment of t1 after the last fault, so
        that every run has both to check."""
        await self.change("add", rng, publish)
        await self.change("withdraw", rng, publish)
        await self.replace_allotment(publish, *LOWERED)

    def is_lowered(self):
        return self.allotments["t1"][-1].rate == LOWERED[0]

    async def replace_allotment(self, publish, rate, burst):
        last = self.allotments["t1"][-1]
        self.allotments["t1"].append(Allotment(rate, burst))
        await publish()
        last.unaware, last.replaced_at = set(self.nodes), self.clock()

    def credential(self, rng, node):
        """Returns what a request of `node` shows and what follows from it. A request
        without a key takes a public route, as the calls of a backend server."""
        draw = rng.random()
        key = None
        if draw < 0.7:
            key = rng.choice(sorted(self.permanent if draw < 0.5 else self.keys))
        elif draw < 0.73:
            key = "key-unknown"
        now = self.clock()
        withdrawn_at = self.withdrawn_at.get(key, float("inf"))
        forbidden = now - withdrawn_at > REVOCATION_S + MARGIN_S and \
            self.nodes[node].store_proxy.in_contact(now)
        self.forbidden += forbidden and key in self.keys
        fields = f"Authorization: Bearer {key}\r\n" if key else ""
        if rng.random() < 0.2:
            fields += "X-Tenant: t0\r\n"
        return fields, {
            "key": key, "tenant": self.keys.get(key),
            "forbidden": forbidden, "due": key in (None, "key-t0-0")}

    def on_arrival(self, headers):
        if "authorization" in headers:
            self.record_violation("credential", "a backend server received a key")

    def on_run(self, attempt, sent, headers, first_run):
        tenant = sent["tenant"]
        if headers.get("x-tenant") != tenant:
            self.record_violation(
                "tenant", f"{attempt} of {tenant} names {headers.get('x-tenant')}")
        if sent["forbidden"]:
            self.record_violation(
                "revoked", f"{attempt} ran with the withdrawn {sent['key']}")
        if tenant and first_run:
            self.check_allotment(tenant)

    def check_allotment(self, tenant):
        self.update_allotments(tenant, self.clock())
        now = self.window_clock()
        runs = self.runs[tenant]
        runs.append(now)
        while runs[0] <= now - WINDOW_S:
            runs.popleft()
        bound = max(allotment.bound() for allotment in self.allotments[tenant]
                    if allotment.ended_at is None
                    or now - allotment.ended_at <= WINDOW_S)
        if len(runs) > bound:
            self.record_violation(
                "allotment", f"{len(runs)} runs of {tenant}, allowed {bound:.1f}")

    def update_allotments(self, tenant, now):
        """A replaced allotment ends when every node has been in contact with the
        store after the change for long enough to know of it."""
        for allotment in self.allotments[tenant]:
            if allotment.unaware and \
                    now - allotment.replaced_at > REVOCATION_S + MARGIN_S:
                allotment.unaware -= {
                    name for name in allotment.unaware
                    if self.nodes[name].store_proxy.in_contact(now)}
                if not allotment.unaware:
                    allotment.ended_at = self.window_clock()

    def on_client_response(self, attempt, sent, status):
        if status == 401 and (sent["key"] is None or sent["key"] in self.permanent):
            self.record_violation("valid", f"{attempt} with {sent['key']} got 401")

    def summary(self):
        """Says how often the checks of withdrawn keys and lowered allotments had
        something to check."""
        lowered = sum(allotment.ended_at is not None
                      for allotments in self.allotments.values()
                      for allotment in allotments)
        return f", {self.forbidden} with withdrawn keys, {lowered} allotments replaced"

    def inject_violation(self, checker, kind):
        """Injects a violation of the invariant `kind`."""
        on_arrival, on_run = self.on_arrival, self.on_run
        if kind == "credential":
            self.on_arrival = lambda headers: on_arrival(
                {**headers, "authorization": "x"})
        elif kind == "tenant":
            self.on_run = lambda attempt, sent, headers, first: on_run(
                attempt, sent, {**headers, "x-tenant": "other"}, first)
        elif kind == "revoked":
            # The policy keeps the key, but the checks take it for withdrawn.
            self.withdrawn_at["key-t0-0"] = float("-inf")
            policy = self.policy()
            policy[0]["apiKeys"].append("key-t0-0")
            self.policy = lambda: policy
        elif kind == "valid":
            checker.on_run = lambda backend, attempt, *_: checker.on_client_response(
                attempt, 401, {}, b"")
        elif kind == "allotment":
            # The policy allows more than the checks do.
            policy = self.policy()
            self.policy = lambda: policy
            self.allotments["t0"][0] = Allotment(-SLACK / 5, 0)

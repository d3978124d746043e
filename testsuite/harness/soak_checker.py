"""Checks of the soak test on requests, runs and responses."""

from running_time import loop_time
from soak_standins import DRAIN_S

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Margin for scheduling delays of this process on a busy machine.
SCHEDULING_MARGIN_S = 0.5
# A machine is in touch when its processes have run for this long (stabilityWindowMs).
STABLE_S = 3.0


class InvariantChecker:
    """Records requests, runs and responses, and the violations they show."""

    def __init__(self):
        self.sent = {}
        self.runs = {}
        self.refused = set()
        self.violations = []
        self.served = 0
        self.crossed_close = 0
        # Requests that are served unless a fault prevents it.
        self.due = set()
        self.due_served = 0
        self.tenants = None
        # When the store came back last.
        self.returned_at = lambda: float("-inf")

    def record_violation(self, invariant, text):
        self.violations.append(f"{invariant}: {text}")

    def on_arrival(self, headers):
        if self.tenants:
            self.tenants.on_arrival(headers)

    def on_run(self, backend, attempt, line, headers, body):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        sent_request = self.sent.get(attempt)
        if sent_request is None:
            self.record_violation("unasked", f"{attempt} ran but was never sent")
            return
        if sent_request["line"] != line or sent_request["body"] != body:
            self.record_violation(
                "unasked", f"{attempt} arrived with another request line or body")
        if sent_request["caller"] != headers.get("x-caller-service"):
            self.record_violation(
                "caller", f"{attempt} names caller {headers.get('x-caller-service')}")
        if sent_request["service"] != backend.service:
            self.record_violation(
                "route", f"{attempt} ran at service {backend.service}")
        if not sent_request["safe"] and self.runs[attempt] > 1:
            self.record_violation("twice", f"{attempt} ran {self.runs[attempt]} times")
        if attempt in self.refused:
            self.record_violation("refused", f"{attempt} ran after it was refused")
        if backend.confirmed_at:
            self.check_drain(backend, attempt, sent_request)
        if self.tenants:
            self.tenants.on_run(attempt, sent_request, headers,
                                self.runs[attempt] == 1)

    def check_drain(self, backend, attempt, sent_request):
        """A node that was started less than STABLE_S before is not in touch. It has
        nothing but the store, whose copy may lack the departure after a return."""
        late_s = loop_time() - backend.confirmed_at
        age_s = sent_request.get("node_age_s", float("inf"))
        if late_s <= DRAIN_S + SCHEDULING_MARGIN_S or \
                age_s < STABLE_S and self.returned_at() >= backend.confirmed_at:
            return
        self.record_violation(
            "drain", f"{attempt} reached draining {backend.instance} after "
            f"{late_s:.1f} s, taken by {sent_request.get('node')} {age_s:.1f} s after "
            "its start")

    def on_client_response(self, attempt, status, headers, body):
        safe = self.sent[attempt]["safe"]
        if status in NOT_RUN_STATUSES and not safe:
            self.refused.add(attempt)
            if self.runs.get(attempt):
                self.record_violation(
                    "refused", f"{attempt} got status {status} but had run")
        if status == 200:
            self.served += 1
            self.due_served += attempt in self.due
            signature = headers.get("x-response-signature")
            if not signature or body.decode() != f"{attempt}:{signature}":
                self.record_violation("mixed", f"{attempt} got body {body[:60]!r}")
        if status == 401 and self.tenants:
            self.tenants.on_client_response(attempt, self.sent[attempt], status)
        elif status in (400, 401, 403, 404):
            self.record_violation("denied", f"{attempt} got status {status}")

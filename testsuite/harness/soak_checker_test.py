"""Tests the soak test's check of departures. It must accept what the users' rules allow
and report what they forbid."""

import types
import unittest

import soak_checker
from running_time import loop_time

LINE = "GET /s0/safe/a HTTP/1.1"


class DrainTest(unittest.IsolatedAsyncioTestCase):

    def run_late(self, node_age_s=None, returned_s=float("-inf")):
        """Violations of a request that reaches a server 3 s after the confirmation of
        its departure. `node_age_s` is the age of the node that took it, `returned_s`
        the time of the store's return after the confirmation."""
        checker = soak_checker.InvariantChecker()
        confirmed_at = loop_time() - 3
        checker.returned_at = lambda: confirmed_at + returned_s
        checker.sent["a"] = {"line": LINE, "body": b"", "safe": True, "service": "s0",
                             "caller": "s0"}
        if node_age_s is not None:
            checker.sent["a"].update(node="n0", node_age_s=node_age_s)
        backend = types.SimpleNamespace(service="s0", instance="i",
                                        confirmed_at=confirmed_at)
        checker.on_run(backend, "a", LINE, {"x-caller-service": "s0"}, b"")
        return len(checker.violations)

    async def test_request_at_node_in_touch_is_reported(self):
        self.assertEqual(self.run_late(node_age_s=60), 1)
        self.assertEqual(self.run_late(node_age_s=60, returned_s=1), 1)
        self.assertEqual(
            self.run_late(node_age_s=soak_checker.STABLE_S, returned_s=1), 1)
        self.assertEqual(self.run_late(returned_s=1), 1)

    async def test_node_that_restarts_over_return_is_not_bound(self):
        """Guards against reports of a departure that the store's copy lacks."""
        self.assertEqual(self.run_late(node_age_s=0.1, returned_s=1), 0)

    async def test_node_that_restarts_otherwise_is_bound(self):
        """Guards against a departure that a restarted node forgets."""
        self.assertEqual(self.run_late(node_age_s=0.1), 1)
        self.assertEqual(self.run_late(node_age_s=0.1, returned_s=-1), 1)


if __name__ == "__main__":
    unittest.main()

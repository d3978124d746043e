"""Tests the soak test's checks over returns of the store with a clock that the tests
set. Each check must accept what the users' rules allow and report what they forbid."""

import json
import types
import unittest

import soak_returns

TABLES = ("op", "nodes")


class RunningProcess:
    def poll(self):
        return None


class ReturnsTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.now = 100.0
        self.violations = []
        self.contact = True
        self.node = types.SimpleNamespace(
            name="n0", service="s0", stopping=False,
            process=RunningProcess(),
            store_proxy=types.SimpleNamespace(in_contact=lambda _: self.contact),
            backend=types.SimpleNamespace(instance="i-1", confirmed_at=None))
        self.store = types.SimpleNamespace(rows={})
        checker = types.SimpleNamespace(
            record_violation=lambda invariant, _: self.violations.append(invariant))
        self.returns = soak_returns.Returns(
            self.store, [self.node], TABLES, checker, clock=lambda: self.now)
        self.in_force = 0

        async def has_version(_, version):
            return version <= self.in_force

        self.returns.has_version = has_version

    def store_row(self, instance="i-1", departed=False):
        self.store.rows[("nodes", "n0")] = (
            json.dumps({"instance": instance, "departed": departed}).encode(), 1)

    async def test_policy_is_due_after_its_bound_at_nodes_in_touch(self):
        self.returns.on_published(1, b"")
        self.now += soak_returns.IN_FORCE_S
        await self.returns.probe(self.node)
        self.now += 1
        self.contact = False
        await self.returns.probe(self.node)
        self.contact = True
        self.node.stopping = True
        await self.returns.probe(self.node)
        self.node.stopping = False
        self.returns.returned_at = self.now - soak_returns.CONTACT_S
        await self.returns.probe(self.node)
        self.assertEqual(self.violations, [])
        self.now += 1
        await self.returns.probe(self.node)
        self.assertEqual(self.violations, ["late-policy"])
        self.in_force = 1
        await self.returns.probe(self.node)
        self.assertEqual(self.violations, ["late-policy"])

    async def test_policy_never_falls_within_one_start(self):
        self.contact = False
        self.returns.on_published(1, b"")
        self.returns.on_published(3, b"")
        self.in_force = 3
        await self.returns.probe(self.node)
        self.node.process = RunningProcess()
        self.in_force = 1
        await self.returns.probe(self.node)
        self.in_force = 3
        await self.returns.probe(self.node)
        self.assertEqual(self.violations, [])
        self.in_force = 1
        await self.returns.probe(self.node)
        self.assertEqual(self.violations, ["older-policy"])

    def check_row_for(self, seconds):
        self.returns.check_row(self.node)
        self.now += seconds
        self.returns.check_row(self.node)

    def test_row_is_written_again_in_time(self):
        self.store_row()
        self.check_row_for(10)
        self.store.rows.clear()
        self.check_row_for(soak_returns.REWRITTEN_S)
        self.store_row()
        self.check_row_for(10)
        self.store.rows.clear()
        self.contact = False
        self.check_row_for(10)
        self.contact = True
        self.returns.check_row(self.node)
        self.returns.returned_at = self.now + 1
        self.now += 3
        self.returns.check_row(self.node)
        self.assertEqual(self.violations, [])
        self.now += 1
        self.returns.check_row(self.node)
        self.assertEqual(self.violations, ["row-lost"])

    def test_row_shows_the_process_and_its_departure(self):
        self.store_row(instance="i-0")
        self.check_row_for(3)
        self.assertEqual(self.violations, ["row-lost"])
        self.store_row()
        self.returns.check_row(self.node)
        self.node.backend.confirmed_at = self.now
        self.check_row_for(3)
        self.assertEqual(self.violations, ["row-lost"] * 2)
        self.store_row(departed=True)
        self.check_row_for(3)
        self.assertEqual(self.violations, ["row-lost"] * 2)


if __name__ == "__main__":
    unittest.main()

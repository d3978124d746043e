"""Tests the soak test's checks of keys and allotments with a clock that the tests
set. Each check must accept what the users' rules allow and report what they forbid."""

import random
import types
import unittest

import soak_tenants


async def publish():
    pass


class TenantsTest(unittest.IsolatedAsyncioTestCase):

    def setUp(self):
        self.now = 100.0
        self.stalled_s = 0.0
        self.violations = []
        self.contact = True
        proxy = types.SimpleNamespace(in_contact=lambda _: self.contact)
        self.tenants = soak_tenants.Tenants(
            {"n0": types.SimpleNamespace(store_proxy=proxy)},
            lambda invariant, _: self.violations.append(invariant),
            lambda: self.now, lambda: self.now + self.stalled_s)

    def send(self, key):
        """Properties of a request that shows `key`."""
        rng = types.SimpleNamespace(
            random=lambda: 1 if key is None else 0.6, choice=lambda _: key)
        return self.tenants.credential(rng, "n0")[1]

    def run_once(self, key, tenant):
        headers = {"x-tenant": tenant} if tenant else {}
        self.tenants.on_run("a", self.send(key), headers, True)

    async def test_credentials_and_tenant_fields(self):
        self.tenants.on_arrival({"host": "h"})
        self.run_once("key-t1-0", "t1")
        self.run_once(None, None)
        self.assertEqual(self.violations, [])
        self.tenants.on_arrival({"authorization": "Bearer k"})
        self.run_once("key-t1-0", "t0")
        self.run_once("key-t1-0", None)
        self.run_once(None, "t0")
        self.assertEqual(self.violations, ["credential"] + ["tenant"] * 3)

    async def test_withdrawn_keys(self):
        await self.tenants.change("withdraw", random.Random(1), publish)
        [key] = set(self.tenants.withdrawn_at) & set(self.tenants.keys)
        self.assertNotIn(key, str(self.tenants.policy()))
        tenant = self.tenants.keys[key]
        self.now += soak_tenants.REVOCATION_S
        self.run_once(key, tenant)
        self.now += 1
        self.contact = False
        self.run_once(key, tenant)
        self.assertEqual(self.violations, [])
        self.contact = True
        self.run_once(key, tenant)
        self.assertEqual(self.violations, ["revoked"])

    async def test_valid_keys_are_not_refused(self):
        for key in ("key-t0-1", "key-unknown"):
            self.tenants.on_client_response("a", self.send(key), 401)
        self.assertEqual(self.violations, [])
        for key in ("key-t0-0", None):
            self.tenants.on_client_response("a", self.send(key), 401)
        self.assertEqual(self.violations, ["valid"] * 2)

    async def test_allotment_in_any_window(self):
        # (2 x 5 + 2) x 1.1 + 20 = 33.2
        for _ in range(33):
            self.run_once("key-t2-0", "t2")
        self.now += 5.1
        for _ in range(33):
            self.run_once("key-t2-0", "t2")
        self.assertEqual(self.violations, [])
        self.now += 4.9
        self.run_once("key-t2-0", "t2")
        self.assertEqual(self.violations, ["allotment"])

    async def test_window_passes_while_the_test_stalls(self):
        """Guards against runs of more than one window that are counted together."""
        for _ in range(2):
            for _ in range(33):
                self.run_once("key-t2-0", "t2")
            self.stalled_s += 5.1
        self.assertEqual(self.violations, [])

    async def test_lowered_allotment_binds_one_window_after_it_takes_effect(self):
        self.contact = False
        await self.tenants.change("allotment", random.Random(1), publish)
        self.now += 20
        for _ in range(40):
            self.run_once("key-t1-0", "t1")
        self.contact = True
        self.run_once("key-t1-0", "t1")  # From now all nodes know of the change.
        self.now += 4
        for _ in range(40):
            self.run_once("key-t1-0", "t1")
        self.assertEqual(self.violations, [])
        self.now += 1.5
        self.run_once("key-t1-0", "t1")
        self.assertEqual(self.violations, ["allotment"])


if __name__ == "__main__":
    unittest.main()

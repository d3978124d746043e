"""Tests the limits of the soak test with a clock that only the tests move."""

import asyncio
import unittest
from unittest import mock

import running_time
import soak
from processes import free_addresses
from soak_standins import Server, format_response, send_request

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
# More turns of the event loop than a due timer needs to end its task.
TURNS = 10


class RunningTimeTest(unittest.TestCase):

    def setUp(self):
        self.now = 100.0
        self.loop = running_time.RunningTimeLoop(lambda: self.now)
        self.addCleanup(self.loop.close)

    async def move(self, seconds):
        self.now += seconds
        for _ in range(TURNS):
            await asyncio.sleep(0)

    async def send(self, respond):
        server = Server(free_addresses(1)[0], respond)
        await server.start()
        result = await send_request(f"{server.host}:{server.port}", REQUEST, 4)
        server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        return result

    def test_response_after_stall_is_not_lost(self):
        """Guards against a stall of the test that is taken for a lost response."""

        async def respond(*_):
            await self.move(10)
            return format_response(200)

        response, _ = self.loop.run_until_complete(self.send(respond))
        self.assertIsNotNone(response)

    def test_missing_response_is_lost(self):
        """Guards against a clock that stands still while the test runs."""

        async def respond(*_):
            for _ in range(50):
                await self.move(running_time.MAX_GAP_S)
            return format_response(200)

        self.assertEqual(self.loop.run_until_complete(self.send(respond)),
                         (None, True))

    def test_idle_loop_reads_its_clock(self):
        """Guards against a wait without events that is taken for a stall."""
        with running_time.TickingSelector() as selector:
            self.assertEqual(selector.select(None), [])

    def test_stall_interrupts_contact_with_store(self):
        """Guards against checks of what nodes could not learn from a silent store."""
        test_soak = soak.Soak("", 1, 1, 0, "", None)
        self.loop.on_stall = test_soak.interrupt_contact
        test_soak.nodes[0].store_proxy.contact_since = self.now
        self.loop.run_until_complete(self.move(1))
        self.assertIsNone(test_soak.nodes[0].store_proxy.contact_since)

    def check_recovery(self, stalled):
        """Returns the violations after one check of the recovery, in which no request
        is served, and others, in which all are."""
        test_soak = soak.Soak("", 1, 1, 0, "", None)
        checker = test_soak.checker
        waits = 0

        async def sleep(_):
            nonlocal waits
            waits += 1
            checker.due.add(waits)
            checker.due_served += waits > 3
            self.loop.stalls += stalled and waits == 3

        with mock.patch.object(soak.asyncio, "sleep", sleep):
            self.loop.run_until_complete(test_soak.check_recovery())
        return checker.violations

    def test_recovery_is_checked_again_after_stall(self):
        """Guards against a stall of the test that is taken for a missing recovery."""
        self.assertEqual(self.check_recovery(stalled=True), [])

    def test_recovery_is_checked_once_without_stall(self):
        """Guards against repetitions that hide a missing recovery."""
        self.assertEqual(len(self.check_recovery(stalled=False)), 1)


if __name__ == "__main__":
    unittest.main()

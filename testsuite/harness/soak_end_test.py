"""Tests the end of the soak test. No test depends on the speed of the machine: they
count turns of the event loop instead of waiting."""

import asyncio
import types
import unittest
from unittest import mock

import soak
import soak_standins
from processes import free_addresses

# More turns of the event loop than a cancelled task needs to end.
TURNS = 50


async def run_turns():
    for _ in range(TURNS):
        await asyncio.sleep(0)


def make_soak():
    return soak.Soak("", 1, 1, 0, "", None)


class SoakEndTest(unittest.IsolatedAsyncioTestCase):

    async def test_reports_end_when_cancelled_as_a_connection_opens(self):
        """Guards against a lost cancellation, with which the end waited forever."""
        task = None

        async def open_connection(*_):
            task.cancel()
            reader = asyncio.StreamReader()
            reader.feed_eof()
            return reader, mock.Mock()

        with mock.patch.object(soak_standins.asyncio, "open_connection",
                               open_connection):
            test_soak = make_soak()
            task = asyncio.create_task(test_soak.send_reports(test_soak.nodes[0]))
            await run_turns()
            self.assertTrue(task.done(), "the cancellation was lost")

    async def test_feed_ends_when_cancelled_as_rows_change(self):
        """Guards against a lost cancellation in the store, which would serve the
        connection until its client ends."""
        store = soak_standins.FakeStore(free_addresses(1)[0])
        fields = {"table": "t", "after": "0", "waitMs": "600000"}
        task = None

        async def wait():
            task.cancel()
            store.rows[("t", "k")] = (b"", 1)

        async def serve():
            await store.feed(fields)
            await asyncio.Event().wait()

        store.rows_changed.wait = wait
        task = asyncio.create_task(serve())
        await run_turns()
        self.assertTrue(task.done(), "the cancellation was lost")

    async def test_nodes_and_listeners_end_before_tasks(self):
        """Guards against connections that arrive while tasks are cancelled."""
        test_soak = make_soak()
        node = test_soak.nodes[0]
        listeners = (test_soak.store.server, node.backend.server, node.proxy,
                     node.store_proxy)
        for listener in listeners:
            await listener.start()
        events = []
        node.process = types.SimpleNamespace(
            poll=lambda: None, send_signal=lambda _: None, wait=lambda: None,
            kill=lambda: events.append("node"))

        async def record_cancellation():
            try:
                await asyncio.Event().wait()
            finally:
                events.append([one.server.is_serving() for one in listeners])

        test_soak.spawn(record_cancellation())
        await asyncio.sleep(0)
        await test_soak.end()
        self.assertEqual(events, ["node", [False] * 4])
        self.assertEqual(test_soak.checker.violations, [])

    async def test_remaining_task_is_named(self):
        """Guards against an end without a limit."""
        released = asyncio.Event()

        async def ignore_cancellation():
            while not released.is_set():
                try:
                    await released.wait()
                except asyncio.CancelledError:
                    pass

        test_soak = make_soak()
        test_soak.spawn(ignore_cancellation())
        await asyncio.sleep(0)
        try:
            await test_soak.end(limit_s=0)
        finally:
            released.set()
        self.assertEqual(len(test_soak.checker.violations), 1)
        self.assertIn("ignore_cancellation", test_soak.checker.violations[0])


if __name__ == "__main__":
    unittest.main()

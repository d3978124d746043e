"""Set-up shared by the cases on endpoints that leave: three machines, two of them
with endpoints of the service that the clients on all three call."""

import asyncio
import time

from standins import (DRAIN_S, STABILITY_S, CannotRun, Endpoint, Sidecar, Store,
                      config, request, route)

# Clients send this often; far below the slots of the endpoints.
SEND_INTERVAL_S = 0.05


class Deployment:
    def __init__(self, record, temporary):
        self.record = record
        self.store = Store()
        self.desk = Endpoint("desk", "status-board", record)
        # "Endpoints of one service differ in speed": the leaving one is the
        # faster one, so that it gets a share of the requests while it may.
        self.leaver = Endpoint("rooms-1", "assignments", record, work_s=0.03)
        self.stayer = Endpoint("rooms-2", "assignments", record, work_s=0.09)
        self.endpoints = [self.desk, self.leaver, self.stayer]
        self.nodes = [Sidecar(f"sidecar-{endpoint.name}", "z", endpoint,
                              self.store, temporary, record)
                      for endpoint in self.endpoints]
        self.beside_leaver = self.nodes[1]
        self.traffic = None

    async def start(self):
        await self.store.start()
        await self.store.put("op", "config", config(
            [route("r-assign", "/assign/", "unsafe", "assignments")],
            ["status-board", "assignments"]))
        for endpoint in self.endpoints:
            await endpoint.start()
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        for endpoint in self.endpoints:
            endpoint.start_reporting()
        self.traffic = asyncio.create_task(self.send_requests())
        end = time.monotonic() + 15
        while not (self.leaver.runs and self.stayer.runs):
            if time.monotonic() > end:
                raise CannotRun("the endpoints get no requests")
            await asyncio.sleep(0.05)
        # All machines are in touch from here on.
        await asyncio.sleep(STABILITY_S + 0.2)

    async def send_requests(self):
        number = 0
        pending = set()
        while True:
            number += 1
            node = self.nodes[number % len(self.nodes)]
            task = asyncio.create_task(self.send_one(node, f"attempt{number}"))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(SEND_INTERVAL_S)

    async def send_one(self, node, attempt):
        self.record("sent", id=attempt, node=node.name)
        answer = await request(node.outbound, "POST", "/assign/x", attempt, 5,
                               b"b" * 300)
        self.record("answered", id=attempt, status=answer)

    def runs_after_drain(self, confirmed_at, in_touch_from):
        """Requests that reached the leaving endpoint later than drainMs after
        the confirmation, while all machines were in touch."""
        bound = confirmed_at + DRAIN_S
        late = [(at, attempt) for at, attempt in self.leaver.runs
                if at > max(bound, in_touch_from)]
        for at, attempt in late:
            self.record("late run", endpoint=self.leaver.name, id=attempt,
                        after_confirmation_s=round(at - confirmed_at, 3))
        self.record("result", late_runs=len(late), drain_s=DRAIN_S,
                    runs_elsewhere=len(self.stayer.runs))
        return late

    async def stop(self):
        if self.traffic:
            self.traffic.cancel()
        for endpoint in self.endpoints:
            endpoint.stop_reporting()
        for node in self.nodes:
            await node.stop()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()

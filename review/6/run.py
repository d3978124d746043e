"""The endpoints of a service refuse part of their requests. One of them now and then
repeats an answer late, on a connection on which a later request runs."""

import asyncio
import collections
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import Client, Endpoint, format_response, route, run_case  # noqa: E402
from soak_standins import read_message  # noqa: E402

SERVICES = ["desk", "board", "board"]
ROUTE = {**route("assign", "board", "unsafe"), "maxAttempts": 1}
SLOTS = 17
WORK_S = 0.25
RATE = 130
SEED = 1
# As the largest doses in the site file: `srv_grey`, how "shed all", x 0.55, 8.5 s;
# `garble`, how "extra late", share 0.6 (one of two endpoints here), x 0.03, 5 s. Each
# comes again and again.
REFUSED_SHARE = 0.55
GREY_S, GREY_EVERY_S = 8.5, 9.0
REPEATED_SHARE = 0.03
GARBLE_S = 5.0
# Into the run of the request at whose answer the repeated one arrives.
LATE_S = 0.1
PLAYED_S = 95.0


class FaultyEndpoint(Endpoint):
    def __init__(self, machine, instance):
        super().__init__(machine, instance, "board", SLOTS)
        self.rng = random.Random(f"{SEED} {instance}")
        self.ran = collections.Counter()
        self.refuses = self.repeats = False
        self.refusals = self.repeated = 0
        # Of the answers in times of `garble`, three in a hundred are chosen, all of
        # them refusals.
        self.answers_while_garbled = self.chosen = 0

    async def serve(self, reader, writer):
        self.connections.add(writer)
        late = []
        try:
            while message := await read_message(reader):
                response = await self.respond(message[1], writer, late)
                writer.write(response)
                await writer.drain()
                if response.startswith(b"HTTP/1.1 503") and self.repeats and \
                        self.chosen < self.answers_while_garbled * REPEATED_SHARE:
                    self.chosen += 1
                    late.append(response)
                self.answers_while_garbled += self.repeats
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, headers, writer, late):
        attempt = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt}
        if headers.get("x-expect-instance") != self.instance:
            return format_response(421, fields=echo)
        if self.running >= self.slots or \
                self.refuses and self.rng.random() < REFUSED_SHARE:
            self.refusals += 1
            self.record.write(f"  {attempt} refused by {self.instance}")
            return format_response(503, fields={**echo, "X-Not-Executed": "1"})
        self.ran[attempt] += 1
        self.record.write(f"  {attempt} runs at {self.instance}")
        while late:
            self.repeated += 1
            asyncio.get_running_loop().call_later(LATE_S, self.repeat, writer,
                                                  late.pop(), attempt)
        self.running += 1
        try:
            await asyncio.sleep(WORK_S * self.rng.uniform(0.7, 1.3))
        finally:
            self.running -= 1
        return format_response(200, b"done " + attempt.encode(), {
            **echo, "X-Response-Signature": f"{self.instance}.{attempt}"})

    def repeat(self, writer, response, running):
        if not writer.is_closing():
            head = response.decode("latin-1").split("\r\n")
            named = [line for line in head if line.startswith("X-Attempt-Id")]
            self.record.write(f"  {self.instance} repeats {head[0]} {named}, while "
                              f"{running} runs on the connection")
            writer.write(response)


async def disturb(deployment, endpoints):
    start = deployment.record.now()
    rng = random.Random(SEED)
    garbled = -1
    while True:
        elapsed = deployment.record.now() - start
        for endpoint in endpoints:
            endpoint.refuses = elapsed % GREY_EVERY_S < GREY_S
        if int(elapsed / GARBLE_S) != garbled:
            garbled = int(elapsed / GARBLE_S)
            chosen = rng.choice(endpoints)
            for endpoint in endpoints:
                endpoint.repeats = endpoint is chosen
        await asyncio.sleep(0.05)


def find_broken(clients, endpoints):
    ran = sum((endpoint.ran for endpoint in endpoints), collections.Counter())
    twice = [attempt for attempt, count in ran.items() if count > 1]
    refused = [attempt for client in clients
               for attempt, (status, _) in client.answers.items()
               if status in (408, 421, 429, 503) and ran[attempt]]
    return refused, twice


async def play(deployment, trouble):
    await deployment.start([ROUTE])
    endpoints = []
    for machine in deployment.machines[1:]:
        machine.endpoint.end()
        machine.endpoint = FaultyEndpoint(machine, machine.endpoint.instance + "b")
        await machine.endpoint.start()
        endpoints.append(machine.endpoint)
    await asyncio.sleep(2.5)
    clients = [Client(machine, f"{number}-", ROUTE)
               for number, machine in enumerate(deployment.machines)]
    tasks = [asyncio.create_task(client.send_at(RATE)) for client in clients]
    if trouble:
        tasks.append(asyncio.create_task(disturb(deployment, endpoints)))
    end = deployment.record.now() + PLAYED_S
    refused, twice = [], []
    while deployment.record.now() < end and not (
            len(refused) > 1 or refused and twice):
        await asyncio.sleep(1)
        refused, twice = find_broken(clients, endpoints)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(0.5)
    refused, twice = find_broken(clients, endpoints)
    sent = sum(client.sent for client in clients)
    served = sum(status == 200 for client in clients
                 for status, _ in client.answers.values())
    deployment.record.write(
        f"{sent} requests sent, {served} served, "
        f"{sum(endpoint.refusals for endpoint in endpoints)} refusals by endpoints, "
        f"{sum(endpoint.repeated for endpoint in endpoints)} answers repeated late; "
        f"answered 503 though run: {refused}; run twice: {twice}")
    print(f"{sent} sent, {served} served in {PLAYED_S} s at most")
    broken = []
    if refused:
        broken.append(f"REFUSED: {refused} were answered 503 and have run")
    if twice:
        broken.append(f"TWICE: {twice} have run more than once")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, SERVICES, play))

"""Forms of a return in calm traffic: with all backend servers alive, requests are
served over the return."""

import asyncio
import time

RATE_INTERVAL_S = 0.05
# Requests count from this time after the return, and nine of ten are served.
SETTLED_S = 0.5
SERVED_SHARE = 0.9
WATCHED_S = 4.0


class Requests:
    def __init__(self, trial):
        self.trial = trial
        self.results = []

    async def send(self, node):
        number = 0
        while True:
            number += 1
            # All services.
            self.trial.soak.spawn(self.send_one(node, number % 3 + 1))
            await asyncio.sleep(RATE_INTERVAL_S)

    async def send_one(self, node, version):
        sent = time.monotonic()
        self.results.append((sent, await self.trial.status_of(node, version)))

    def count(self, first, last):
        """Requests sent from `first` to `last` seconds after the return, and those of
        them that were served."""
        returned_at = self.trial.returned_at
        statuses = [status for sent, status in self.results
                    if first <= sent - returned_at < last]
        return len(statuses), statuses.count(200)


async def calm_requests(trial, whole_copy, **options):
    await trial.publish()
    await trial.publish()
    await asyncio.sleep(1.0)
    copy = trial.store.copy() if whole_copy else trial.first_copy
    await trial.use_numbers(20)
    requests = Requests(trial)
    for node in trial.nodes:
        trial.soak.spawn(requests.send(node))
    await asyncio.sleep(1.0)
    await trial.come_back(copy, **options)
    await trial.rewrite_policy()
    await asyncio.sleep(WATCHED_S + 1.5)
    for first, last in ((-1.0, 0), (0, SETTLED_S), (SETTLED_S, WATCHED_S)):
        sent, served = requests.count(first, last)
        trial.seen.append(f"{first} to {last} s: {served} of {sent} served")
    trial.expect(sent >= 100, f"only {sent} requests were sent")
    trial.expect(served >= sent * SERVED_SHARE, f"{served} of {sent} were served")


FORMS = (
    ("calm-requests", 1, lambda trial: calm_requests(trial, False)),
    ("calm-requests-whole-copy", 1, lambda trial: calm_requests(trial, True)),
    ("calm-requests-no-header", None, lambda trial: calm_requests(trial, False)),
    ("calm-requests-hanging-polls", 1,
     lambda trial: calm_requests(trial, False, cut_polls=False)),
)

"""Forms of a return with faults of the store's answers and connections around it."""

import asyncio
import time

from processes import free_addresses
from store_return_standins import RefusingStore


async def prepare(trial):
    """Stores what the copy will lack. Returns the copy."""
    await trial.publish()
    await trial.use_numbers(20)
    await asyncio.sleep(0.5)
    return trial.first_copy


async def return_and_check(trial, copy, returns=True, **options):
    """Comes back from `copy` and checks the policy and the rows."""
    if returns:
        await trial.come_back(copy, **options)
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    await asyncio.gather(trial.use_numbers(80), trial.check_rows(),
                         trial.check_in_force(confirmed))


async def odd_header(trial, header):
    trial.store.header = header
    await return_and_check(trial, await prepare(trial))


def absent_at_times():
    answers = iter(range(1 << 30))
    return lambda era: era if next(answers) % 3 else None


async def stale_reads(trial):
    """Whole reads lag behind for 3 s after the history was dropped."""
    stale = trial.store.copy()
    await trial.publish()
    await asyncio.sleep(1.0)
    trial.store.stale_copy = stale
    trial.store.forget()
    confirmed = await trial.publish()
    await asyncio.sleep(3.0)
    trial.store.stale_copy = None
    trial.returned_at = time.monotonic()
    await trial.check_in_force(confirmed)
    returns = trial.logged("store_returned")
    trial.expect(returns == 0, f"stale reads were taken for {returns} returns")


async def late_answers(trial):
    """Whole reads, polls and writes are answered before the return, and the answers
    arrive after it."""
    copy = await prepare(trial)
    calls = {"/rows-get", "/rows-feed", "/rows-tx"}
    held, release = set(), asyncio.Event()

    async def hold(path, response):
        if b" 410 " not in response:
            held.add(path)
            await release.wait()

    trial.store.hold = hold
    # Polls of the policy are answered; those of the directory end with 410, and the
    # table is read.
    await trial.publish()
    await asyncio.sleep(0.05)
    trial.store.forget()
    # The rows are written.
    for node in trial.nodes:
        node.backend.restart()
        await node.backend.report()
    end = time.monotonic() + 2.0
    while held != calls and time.monotonic() < end:
        await asyncio.sleep(0.02)
    trial.expect(held == calls, f"only answers to {sorted(held)} were held back")

    async def deliver():
        await asyncio.sleep(0.3)
        trial.store.hold = None
        release.set()

    await asyncio.gather(deliver(), return_and_check(trial, copy))


async def lost_answers(trial):
    """Writes before and after the return are done and not answered."""
    copy = await prepare(trial)
    trial.store.lost = ("/rows-tx",)
    for node in trial.nodes:
        node.backend.restart()
        await node.backend.report()
    await asyncio.sleep(0.2)
    await trial.come_back(copy)

    async def answer_again():
        await asyncio.sleep(1.0)
        trial.store.lost = ()

    await asyncio.gather(answer_again(), return_and_check(trial, copy, returns=False))
    trial.expect(trial.store.unanswered >= 2 * len(trial.nodes),
                 f"only {trial.store.unanswered} writes were not answered")


async def late_writes(trial):
    """Writes of the rows are performed two seconds after they were sent, beyond the
    return."""
    copy = trial.store.copy()
    await prepare(trial)
    trial.store.mode = "late"
    for node in trial.nodes:
        node.backend.restart()
        await node.backend.report()
    await asyncio.sleep(0.2)
    trial.store.mode = "up"
    await trial.come_back(copy)
    for node in trial.nodes:
        node.backend.restart()
        await node.backend.report()
    await return_and_check(trial, copy, returns=False)
    # After the late writes.
    await asyncio.sleep(max(0, trial.returned_at + 2.5 - time.monotonic()))
    trial.returned_at = time.monotonic()
    await trial.check_rows()


async def history_dropped(trial):
    copy = await prepare(trial)
    trial.store.forget()
    await asyncio.sleep(0.1)
    await trial.come_back(copy)
    await asyncio.sleep(0.1)
    trial.store.forget()
    await return_and_check(trial, copy, returns=False)


async def turned_away(trial):
    """A node gets 503 from before the return until after the checks; the bound holds
    for it as its peers know the policy."""
    copy = await prepare(trial)
    node = trial.nodes[0]
    refusing = RefusingStore(node, free_addresses(1)[0])
    await refusing.place()
    await asyncio.sleep(0.5)
    await trial.come_back(copy)
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    await asyncio.gather(trial.use_numbers(80), trial.check_rows(trial.nodes[1:]),
                         trial.check_in_force(confirmed))
    trial.expect(refusing.refused > 0, "no call was turned away")
    refusing.remove()
    trial.returned_at = time.monotonic()
    await trial.check_rows()


async def away(trial):
    """Connections are refused for 1.5 s before the store comes back."""
    copy = await prepare(trial)
    for node in trial.nodes:
        node.store_proxy.close()
        node.store_proxy.reset_all()
    await asyncio.sleep(1.5)
    await trial.come_back(copy)
    for node in trial.nodes:
        await node.store_proxy.start()
    trial.returned_at = time.monotonic()
    await return_and_check(trial, copy, returns=False)


async def silence(trial):
    """Connections hang without a reset for 1.5 s around the return."""
    copy = await prepare(trial)
    for node in trial.nodes:
        node.store_proxy.mode = "silent"
    await asyncio.sleep(0.75)
    await trial.come_back(copy)
    await asyncio.sleep(0.75)
    for node in trial.nodes:
        node.store_proxy.mode = "up"
    trial.returned_at = time.monotonic()
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    await asyncio.gather(trial.use_numbers(80), trial.check_in_force(confirmed),
                         trial.check_rows())


# Without an era the users' pages give no bound; their trials waited for this long.
REWRITTEN_WITHOUT_ERA_S = 6.0


async def unmarked(trial):
    """No header, connection or version tells of the return: polls go on hanging, and
    the numbers pass the known ones at once."""
    copy = await prepare(trial)
    await trial.come_back(copy, cut_polls=False)
    await trial.use_numbers(80)
    await trial.rewrite_policy()
    confirmed = await trial.publish()
    await asyncio.gather(
        trial.check_in_force(confirmed),
        trial.wait_for_rows(trial.nodes, REWRITTEN_WITHOUT_ERA_S,
                            lambda node, row: row["instance"] == node.backend.instance))


FORMS = (
    ("no-header-unmarked", None, unmarked),
    ("header-absent-at-times", 1, lambda trial: odd_header(trial, absent_at_times())),
    ("header-no-number", 1, lambda trial: odd_header(trial, lambda era: f"x{era}")),
    ("header-falls", 9, lambda trial: odd_header(trial, lambda era: 20 - era)),
    ("header-jumps", 1, lambda trial: odd_header(trial, lambda era: era * 1000)),
    ("stale-reads", 1, stale_reads),
    ("late-answers", 1, late_answers),
    ("no-header-late-answers", None, late_answers),
    ("lost-answers", 1, lost_answers),
    ("late-writes", 1, late_writes),
    ("history-dropped", 1, history_dropped),
    ("no-header-history-dropped", None, history_dropped),
    ("turned-away", 1, turned_away),
    ("away", 1, away),
    ("silence", 1, silence),
)

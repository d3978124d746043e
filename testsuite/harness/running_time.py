"""Time limits for tests that observe processes from an event loop and answer them from
stand-ins in it."""

import asyncio
import selectors
import time

TICK_S = 0.05
# Longest time between two readings of the clock that counts in full; below the
# shortest limit of the tests.
MAX_GAP_S = 0.1
# A longer gap is a silence of the stand-ins that the nodes notice.
STALL_S = 0.5


class TickingSelector(selectors.DefaultSelector):
    """Returns at least every TICK_S, so that an idle loop reads its clock."""

    def select(self, timeout=None):
        return super().select(TICK_S if timeout is None else min(timeout, TICK_S))


class RunningTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time stands still while it does not run. Meanwhile responses
    wait in their sockets and the stand-ins are silent, so a limit of the observed
    processes must not expire. `on_stall` is called after more than STALL_S."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.last = clock()
        self.skipped_s = self.longest_gap_s = 0.0
        self.stalls = 0
        self.on_stall = lambda: None
        super().__init__(TickingSelector())

    def time(self):
        now = self.clock()
        gap_s = now - self.last
        self.last = now
        self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.skipped_s += max(0.0, gap_s - MAX_GAP_S)
        if gap_s > STALL_S:
            self.stalls += 1
            self.on_stall()
        return now - self.skipped_s

    def summary(self):
        return (f", {self.stalls} stalls up to {self.longest_gap_s * 1000:.0f} ms, "
                f"{self.skipped_s * 1000:.0f} ms skipped")


def loop_time():
    return asyncio.get_running_loop().time()

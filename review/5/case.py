"""DRAIN: a node confirms that its endpoint leaves while the store is down, and
has forgotten it after a restart.

With TROUBLE=0 the store stays up and the process is restarted all the same."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from leaving import Deployment
from standins import STABILITY_S, run_case

# The site's outages of the store last up to 9 s.
STORE_DOWN_S = 2.5
RESTART_DELAY_S = 0.5
SERVES_ON_S = 9.0


async def case(record, temporary, trouble):
    deployment = Deployment(record, temporary)
    await deployment.start()
    try:
        leaver, node = deployment.leaver, deployment.beside_leaver
        if trouble:
            await deployment.store.set_mode("busy")
            record("store down")
        down_at = time.monotonic()
        await asyncio.sleep(0.5)
        leaver.stop_reporting()
        if await leaver.deregister() != 200:
            raise OSError("the deregistration was not confirmed")
        confirmed_at = time.monotonic()
        await asyncio.sleep(0.5)
        await node.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await node.start()
        started_at = time.monotonic()
        await asyncio.sleep(down_at + STORE_DOWN_S - time.monotonic())
        if trouble:
            await deployment.store.set_mode("up")
            record("store up")
        stable_from = max(started_at, down_at + STORE_DOWN_S) + STABILITY_S
        await asyncio.sleep(confirmed_at + SERVES_ON_S - time.monotonic())
        return not deployment.runs_after_drain(confirmed_at, stable_from)
    finally:
        await deployment.stop()


run_case(pathlib.Path(__file__).parent, case)

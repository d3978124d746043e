"""DRAIN: a node that was restarted takes up its endpoint again after the
endpoint has left, because a status report from before arrives late.

With TROUBLE=0 the process is not restarted; the late report arrives all the
same."""

import asyncio
import base64
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from leaving import Deployment
from standins import STABILITY_S, run_case

# "A status report may arrive seconds late."
REPORT_DELAY_S = 3.0
# "A process that exits or is killed is restarted after a short delay."
RESTART_DELAY_S = 0.5
# "drainMs after the confirmation and a little longer (at times many seconds)".
SERVES_ON_S = 9.0


async def case(record, temporary, trouble):
    deployment = Deployment(record, temporary)
    await deployment.start()
    try:
        leaver, node = deployment.leaver, deployment.beside_leaver
        leaver.stop_reporting()
        # The last report before the deregistration, sent now; it arrives late.
        leaver.sequence += 1
        late_report = leaver.report_body()
        sent_at = time.monotonic()
        record("report sent", endpoint=leaver.name, state="ready",
               sequence=leaver.sequence)
        await asyncio.sleep(0.1)
        if await leaver.deregister() != 200:
            raise OSError("the deregistration was not confirmed")
        confirmed_at = time.monotonic()
        # The departure is in the store before the restart.
        await asyncio.sleep(0.5)
        for (table, key), (value, _) in sorted(deployment.store.rows.items()):
            if key == node.name:
                row = json.loads(base64.b64decode(value))
                record("row in the store", table=table, key=key,
                       leaving=row.get("leaving"))
        started_at = confirmed_at
        if trouble:
            await node.kill()
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()
            started_at = time.monotonic()
        await asyncio.sleep(sent_at + REPORT_DELAY_S - time.monotonic())
        status = await leaver.post(f"/Instances.Heartbeat/{leaver.id}",
                                   late_report)
        record("late report arrives", endpoint=leaver.name, status=status,
               after_s=round(time.monotonic() - sent_at, 3))
        await asyncio.sleep(confirmed_at + SERVES_ON_S - time.monotonic())
        return not deployment.runs_after_drain(confirmed_at,
                                               started_at + STABILITY_S)
    finally:
        await deployment.stop()


run_case(pathlib.Path(__file__).parent, case)

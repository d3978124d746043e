"""Two endpoints leave one shortly after the other. The store falls silent, and the
process beside the second one is killed and started again."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import BOUNDS, Client, route, run_case  # noqa: E402

ROUTES = [route("assign", "board", "unsafe"), route("status", "board", "safe")]
SERVICES = ["board", "board", "board", "desk"]
DRAIN_S = BOUNDS["drainMs"] / 1000
STABILITY_S = BOUNDS["stabilityWindowMs"] / 1000
# Pause between the two departures, as in a release that replaces one endpoint after
# the other.
RELEASE_GAP_S = 0.3
RESTART_S = 0.5
# As `platform_down` with `silent` in the site file.
SILENT_S = 4.5
WATCHED_S = 7.5
# For the scheduling of this script, beyond the rule's bound.
MARGIN_S = 0.3


async def play(deployment, trouble):
    await deployment.start(ROUTES)
    own, first, *_ = deployment.machines
    clients = [Client(machine, f"{route_['name']}-{number}-", route_)
               for number, machine in enumerate(deployment.machines)
               for route_ in ROUTES]
    sending = [asyncio.create_task(client.send_at(10)) for client in clients]
    await asyncio.sleep(2)
    if not await first.endpoint.leave_first():
        raise RuntimeError("the first departure was not confirmed")
    await asyncio.sleep(RELEASE_GAP_S)
    if not await own.endpoint.leave_first():
        raise RuntimeError("the second departure was not confirmed")
    await asyncio.sleep(0.1)
    restarted_at = silent_at = deployment.record.now()
    if trouble:
        deployment.record.write("the store falls silent")
        for machine in deployment.machines:
            machine.store_proxy.mode = "silent"
        await asyncio.sleep(0.1)
        own.send_signal(signal.SIGKILL)
        await own.wait_end(2)
        await asyncio.sleep(RESTART_S)
        own.start()
        restarted_at = deployment.record.now()
        await asyncio.sleep(silent_at + SILENT_S - deployment.record.now())
        for machine in deployment.machines:
            machine.store_proxy.mode = "up"
        deployment.record.write("the store answers again")
    await asyncio.sleep(silent_at + WATCHED_S - deployment.record.now())
    for task in sending:
        task.cancel()
    endpoint = own.endpoint
    late = [(at, attempt) for at, attempt in endpoint.arrivals
            if at > endpoint.confirmed_at + DRAIN_S + MARGIN_S]
    # The machine that confirmed is in touch again, but for the store, this long after
    # its start. Counted are the requests that it took itself.
    counted = [(at, attempt) for at, attempt in late
               if at > restarted_at + STABILITY_S + MARGIN_S
               and attempt.split("-")[1] == "0"]
    deployment.record.write(
        f"departure confirmed at {endpoint.confirmed_at:.3f}; {len(late)} requests "
        f"reached the endpoint later than {DRAIN_S} s after it, {len(counted)} of them "
        f"taken by {own.name} more than {STABILITY_S} s after its start")
    if not counted:
        return []
    return [f"DRAIN: {len(counted)} requests that {own.name} took, "
            f"{STABILITY_S} s and more after its start, reached {endpoint.instance}, "
            f"the last {counted[-1][0] - endpoint.confirmed_at:.2f} s after "
            f"{own.name} had confirmed its departure; {len(late)} in all"]


if __name__ == "__main__":
    sys.exit(run_case(HERE, SERVICES, play))

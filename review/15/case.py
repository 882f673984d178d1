"""A daemon freezes with a submission that it has not read; its client gives up and cancels."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin-3"))
from standin import BOUNDS, BROKEN, COULD_NOT_RUN, HELD, config, main, route  # noqa: E402

PREFIX = "/puxa400/"
JOB = "5c0e7a21d94b36f8"
DEADLINE_S = 3.0
FREEZE_S = 3.4
# One of nine is the share 0.11 of the site file.
DAEMONS = 9
GONE_S = (BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000
# The rule excuses tasks that run on near another disruption.
CONTACT_S = BOUNDS["contactMs"] / 1000
SLACK_S = 1.0


async def owner_of(world):
    """Returns the daemon that has ordered the start of a first job."""
    for daemon in world.daemons:
        with open(os.path.join(world.folder, f"{daemon.name}.log"), encoding="utf-8") as log:
            if "event=owner_ready" in log.read():
                return daemon
    return None


async def case(world):
    # The queues of tasks that last are public in the site file.
    open_route = {**route("r-archive", PREFIX), "public": True}
    await world.start(config(4, [open_route]), workers=3, daemons=DAEMONS)
    if not await world.until_served(PREFIX):
        return COULD_NOT_RUN
    await asyncio.sleep(2)
    owner = await owner_of(world)
    if owner is None:
        return COULD_NOT_RUN
    frozen, other = [daemon for daemon in world.daemons if daemon is not owner][:2]
    loop = asyncio.get_running_loop()
    if world.trouble:
        frozen.signal(signal.SIGSTOP)
        loop.call_later(FREEZE_S, frozen.signal, signal.SIGCONT)
    body = {"spec": '{"ms": 0}',
            "steps": [{"count": 2, "cpu": 5000, "memMb": 1000, "longRunning": True}]}
    sent = world.now()
    await frozen.call("POST", PREFIX + JOB, body, timeout=DEADLINE_S)
    await asyncio.sleep(max(0, sent + DEADLINE_S - world.now()))
    acknowledged = None
    for _ in range(10):
        answer = await other.call("DELETE", PREFIX + JOB)
        if answer and (answer[0] == 410 or 200 <= answer[0] < 300):
            acknowledged = world.now()
            break
        await asyncio.sleep(0.3)
    if acknowledged is None:
        return COULD_NOT_RUN
    await asyncio.sleep(max(GONE_S, FREEZE_S - DEADLINE_S + CONTACT_S) + SLACK_S)
    left = [(worker, task) for worker in world.workers for task in worker.runs
            if task.startswith(JOB)]
    broken = False
    if left:
        world.record("UNASKED broken: tasks run on after the cancelling was acknowledged",
                     acknowledged=acknowledged, tasks=[task for _, task in left])
        broken = True
        # Tasks that last may fail at any time; then the owner has to start them again.
        for worker, task in left:
            worker.end(task, "failed")
        await asyncio.sleep(2)
    for at, task, run, worker in world.starts:
        if task.startswith(JOB) and at > acknowledged + BOUNDS["cancel_ms"] / 1000:
            world.record("UNASKED broken: a task was started after the cancelling", at=at,
                         task=task, run=run, worker=worker)
            broken = True
    return BROKEN if broken else HELD


main(__file__, case)

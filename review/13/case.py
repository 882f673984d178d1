"""A configuration replaces a route by one of another name at the same host and prefix."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin-3"))
from standin import BOUNDS, BROKEN, COULD_NOT_RUN, HELD, config, main, route  # noqa: E402

PREFIX = "/puxa400/"
LASTING = "5c0e7a21d94b36f8"
BATCH = "5c0e7a21d94b36f9"
# configMs + maxStretchMs: from then on every daemon has to handle calls by the new version.
IN_FORCE_S = 2 + 5
# cancel_ms + stopMs, and a second for this machine.
GONE_S = (BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000 + 1


def tasks_running(world, job):
    return [task for worker in world.workers for task in worker.runs if task.startswith(job)]


async def case(world):
    await world.start(config(4, [route("r-settle", PREFIX)]), workers=3, daemons=3)
    if not await world.until_served(PREFIX):
        return COULD_NOT_RUN
    lasting = [{"count": 2, "cpu": 5000, "memMb": 1000, "longRunning": True}]
    batch = [{"count": 2, "cpu": 5000, "memMb": 1000, "estMs": 60000}]
    first = world.daemons[0]
    accepted = (await world.submit(first, PREFIX, LASTING, lasting, 0) and
                await world.submit(first, PREFIX, BATCH, batch, 60000))
    await asyncio.sleep(4)
    if not accepted or len(tasks_running(world, LASTING)) != 2:
        return COULD_NOT_RUN
    name = "r-settle-2" if world.trouble else "r-settle"
    changed = config(9, [route(name, PREFIX)])
    world.store.put("op/config", changed)
    world.record("configuration", config=changed)
    await asyncio.sleep(IN_FORCE_S)
    broken = False
    for daemon in world.daemons:
        for job in (LASTING, BATCH):
            answer = await daemon.call("GET", PREFIX + job)
            if answer and answer[0] == 410:
                world.record("LOST broken: 410 for an accepted job that nobody has cancelled",
                             job=job, daemon=daemon.name)
                broken = True
    acknowledged = False
    for _ in range(10):
        answer = await first.call("DELETE", PREFIX + LASTING)
        if answer and (answer[0] == 410 or 200 <= answer[0] < 300):
            acknowledged = True
            break
        await asyncio.sleep(0.3)
    if not acknowledged:
        return COULD_NOT_RUN
    await asyncio.sleep(GONE_S)
    left = tasks_running(world, LASTING)
    if left:
        world.record("UNASKED broken: tasks run on after the cancelling was acknowledged",
                     tasks=left)
        broken = True
    return BROKEN if broken else HELD


main(__file__, case)

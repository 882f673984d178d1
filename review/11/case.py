"""The daemon that owns the schedule is killed while a worker has over 500 ends to report."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin-3"))
from standin import BROKEN, COULD_NOT_RUN, HELD, config, main, route  # noqa: E402

PREFIX = "/puxa400/"
LASTING = "5c0e7a21d94b36f9"
# Two workers of 64 cores have room for 1,600 tasks of 80 thousandths of a core. A step has at most 24
# tasks, as in the site file.
JOBS = 60
TASKS_PER_JOB = 24
TASKS = JOBS * TASKS_PER_JOB
SUBMIT_INTERVAL_S = 0.05
WORK_MS = 60000
# The tasks end this long after the kill. A daemon takes over some hundred milliseconds later.
ENDS_AFTER_KILL_S = 0.15
# The site file has 3.5 s.
DOWN_S = 3.4
TIME_FOR_JOBS_S = 40


def owner_of(world):
    for daemon in world.daemons:
        with open(os.path.join(world.folder, f"{daemon.name}.log"), encoding="utf-8") as log:
            if "event=owner_ready" in log.read():
                return daemon
    return None


async def case(world):
    await world.start(config(4, [route("r-check", PREFIX)]), workers=2, daemons=3)
    if not await world.until_served(PREFIX):
        return COULD_NOT_RUN
    await asyncio.sleep(2)
    owner = owner_of(world)
    if owner is None:
        return COULD_NOT_RUN
    other = next(daemon for daemon in world.daemons if daemon is not owner)
    # Tasks that last keep a lease in force on both workers all the time.
    lasting = [{"count": 4, "cpu": 1000, "memMb": 10, "longRunning": True, "maxPerServer": 2}]
    step = [{"count": TASKS_PER_JOB, "cpu": 80, "memMb": 10, "estMs": 9000}]
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    if not await world.submit(other, PREFIX, LASTING, lasting, 0):
        return COULD_NOT_RUN
    for job in jobs:
        if not await world.submit(other, PREFIX, job, step, WORK_MS, until_release=True):
            return COULD_NOT_RUN
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    for _ in range(500):
        running = sum(not task.startswith(LASTING) for worker in world.workers
                      for task in worker.runs)
        if running == TASKS:
            break
        await asyncio.sleep(0.01)
    if running < TASKS:
        return COULD_NOT_RUN
    await asyncio.sleep(0.5)
    if world.trouble:
        owner.signal(signal.SIGKILL)
    world.release_at = time.monotonic() + ENDS_AFTER_KILL_S
    await asyncio.sleep(DOWN_S)
    if world.trouble:
        await owner.start()
    open_jobs = set(jobs)
    for _ in range(2 * TIME_FOR_JOBS_S):
        for job in sorted(open_jobs):
            answer = await other.call("GET", PREFIX + job)
            if answer and answer[1].get("state") == "done":
                open_jobs.discard(job)
        if not open_jobs:
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(2)
    twice = world.starts_after_done()
    for task, ended, started in twice:
        world.record("TWICE broken: a start after a run has ended as done", task=task,
                     ended=ended, started=started)
    print(f"{len(twice)} starts after an end as done; {len(open_jobs)} jobs are not done")
    if twice:
        return BROKEN
    return COULD_NOT_RUN if open_jobs else HELD


main(__file__, case)

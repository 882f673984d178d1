"""A worker restarts under its id and takes a start whose deadline is by the clock of its earlier
incarnation. Its lease lasts longer than the owner of the schedule believes."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import (TROUBLE, CannotRun, Client, Worker, job_id, main, route,  # noqa: E402
                     tenant)

DOWN_S = 0.4
CUT_AFTER_S = 1.5
CUT_S = 5.4
JOB = job_id(0xABCD)
STEPS = [{"count": 6, "cpu": 1000, "memMb": 100, "estMs": 9000}]


async def case(world):
    world.plan = lambda task, run: (9.0, "done")
    world.configure(1, [route("r-calc", "calc")], [tenant()],
                    [{"name": "calc", "admissionCheck": False}])
    for index in range(8):
        worker = Worker(world, f"i-{index}", "calc", f"m-{index}")
        world.workers[worker.id] = worker
        await worker.start()
    await world.start_daemons(9)
    await world.wait_ready()
    await asyncio.sleep(7)
    client = Client(world, next(d for d in world.daemons if d is not world.owner()))
    # The first worker is the one that the next job's tasks are placed on.
    first = world.workers["i-0"]
    cut = []
    world.lost = lambda worker, path, call: bool(cut) and worker is first
    if TROUBLE:
        first.crash(dark=True)
        await asyncio.sleep(DOWN_S)
        await first.start()
    status, _ = await client.call("POST", f"/jobs/{JOB}", {"spec": "x", "steps": STEPS})
    if status != 200:
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(CUT_AFTER_S)
    if TROUBLE:
        cut.append(True)
        first.cut = True
        world.record("case", f"{first.id} is cut off")
    await asyncio.sleep(CUT_S)
    cut.clear()
    first.cut = False
    world.record("case", "the cut heals")
    await asyncio.sleep(5)
    return overlaps(world)


def overlaps(world):
    """Returns the runs of one task that overlap in time."""
    spans = {}
    for at, task, run, worker in world.starts:
        end = next((e[0] for e in world.ends if e[1:4] == (task, run, worker)),
                   world.record.now())
        spans.setdefault(task, []).append((at, end, run, worker))
    broken = []
    for task, runs in spans.items():
        for i, one in enumerate(runs):
            for other in runs[i + 1:]:
                overlap = min(one[1], other[1]) - max(one[0], other[0])
                if overlap > 0:
                    broken.append(f"TWICE: {task} run {one[2]} on {one[3]} and run {other[2]} on "
                                  f"{other[3]} run at the same time for {overlap:.3f} s")
    return broken


main(__file__, case)

"""A daemon takes the schedule over by a planned hand-over, while an earlier owner, cut off with one
worker, still keeps a run alive there."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import (TROUBLE, CannotRun, Client, Worker, job_id, main, route,  # noqa: E402
                     tenant)

CUT_S = 5.4
FENCES_PER_EPOCH = 65536
JOB = job_id(0xABCD)
TASK = f"{JOB}.0.0.0"
LONG = [{"count": 1, "cpu": 1000, "memMb": 100, "estMs": 40000}]
SHORT = [{"count": 1, "cpu": 1000, "memMb": 100, "estMs": 300}]


async def trickle(world, client, stop):
    """Hands in a short job now and then, so that the owner has something to store."""
    number = 0x1000
    while not stop:
        number += 1
        await client.call("POST", f"/jobs/{job_id(number)}", {"spec": "x", "steps": SHORT},
                          deadline_ms=1500)
        await asyncio.sleep(0.1)


async def case(world):
    world.plan = lambda task, run: (40.0 if task == TASK else 0.3, "done")
    world.configure(1, [route("r-calc", "calc")], [tenant()],
                    [{"name": "calc", "admissionCheck": False}])
    for index in range(6):
        worker = Worker(world, f"i-{index}", "calc", f"m-{index}")
        world.workers[worker.id] = worker
        await worker.start()
    await world.start_daemons(9)
    await world.wait_ready()
    await asyncio.sleep(2)
    first = world.owner()
    far = next(d for d in world.daemons if d is not first)
    client = Client(world, far)
    status, _ = await client.call("POST", f"/jobs/{JOB}", {"spec": "x", "steps": LONG})
    if status != 200:
        raise CannotRun("the job was not accepted")
    stop = []
    load = asyncio.ensure_future(trickle(world, Client(world, far), stop))
    await asyncio.sleep(2)
    held = next((w for w in world.workers.values() if TASK in w.runs), None)
    if held is None:
        raise CannotRun("the task does not run")
    island = held.fence // FENCES_PER_EPOCH
    cut = []

    def lost(worker, path, call):
        """During the cut, the first owner and one worker reach only each other."""
        from_first = call.get("fence", 0) // FENCES_PER_EPOCH == island
        return bool(cut) and from_first != (worker is held)

    world.lost = lost
    loop = asyncio.get_running_loop()
    if TROUBLE:
        cut.append(True)
        held.cut = True
        world.store_ports[world.daemons.index(first)].silent = True
        world.record("case", f"{first.name} and {held.id} are cut off from all others")
    heal_at = loop.time() + CUT_S
    while TROUBLE and world.owner() is first:
        if loop.time() > heal_at:
            raise CannotRun("no daemon took over")
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    second = world.owner()
    world.record("case", f"{second.name} owns the schedule")
    if TROUBLE:
        second.signal(signal.SIGTERM)
    stopped = loop.time()
    while TROUBLE and world.owner() is second:
        if loop.time() > heal_at:
            raise CannotRun("no daemon took over from the second owner")
        await asyncio.sleep(0.02)
    world.record("case", f"{world.owner().name} owns the schedule")
    await asyncio.sleep(max(heal_at - loop.time(), 0))
    cut.clear()
    held.cut = False
    world.store_ports[world.daemons.index(first)].silent = False
    world.record("case", "the cut heals")
    await asyncio.sleep(max(stopped + 6.5 - loop.time(), 3))
    stop.append(True)
    load.cancel()
    return twice(world)


def twice(world):
    """Returns the runs of the long task that overlap in time."""
    spans = []
    for at, task, run, worker in world.starts:
        if task == TASK:
            end = next((e[0] for e in world.ends if e[1] == task and e[2] == run and
                        e[3] == worker), world.record.now())
            spans.append((at, end, run, worker))
    broken = []
    for i, one in enumerate(spans):
        for other in spans[i + 1:]:
            overlap = min(one[1], other[1]) - max(one[0], other[0])
            if overlap > 0:
                broken.append(f"TWICE: {TASK} run {one[2]} on {one[3]} and run {other[2]} on "
                              f"{other[3]} run at the same time for {overlap:.3f} s")
    return broken


main(__file__, case)

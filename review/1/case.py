"""An owner of the schedule that was cut off with one worker starts a task again that ended as done
meanwhile, because it hears of the registrations before it hears of its successor."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import (TROUBLE, CannotRun, Client, Worker, job_id, main,  # noqa: E402
                     route, tenant)

STORE_CUT_S = 3.45
CUT_S = 5.4
FENCES_PER_EPOCH = 65536
STEPS = [{"count": 1, "cpu": 1000, "memMb": 100, "estMs": 3000}]
END_S = 100


async def one_round(world, number):
    """Cuts the owner and a worker off while a task runs on another worker and ends there."""
    loop = asyncio.get_running_loop()
    first = world.owner()
    client = Client(world, next(d for d in world.daemons if d is not first))
    job = job_id(number)
    task = f"{job}.0.0.0"
    status, _ = await client.call("POST", f"/jobs/{job}", {"spec": "x", "steps": STEPS})
    client.close()
    if status != 200:
        world.record("case", "the job was not accepted; next round")
        await asyncio.sleep(1)
        return
    await asyncio.sleep(0.5)
    outside = next((w for w in world.workers.values() if task in w.runs), None)
    if outside is None:
        raise CannotRun("the task does not run")
    island = outside.fence // FENCES_PER_EPOCH
    inside = next(w for w in world.workers.values() if w is not outside)
    cut = [True]

    def lost(worker, path, call):
        """During the cut, the first owner and one worker reach only each other."""
        from_first = call.get("fence", 0) // FENCES_PER_EPOCH == island
        return bool(cut) and from_first != (worker is inside)

    if TROUBLE:
        world.lost = lost
        inside.cut = True
        world.store_ports[world.daemons.index(first)].silent = True
        world.record("case", f"{first.name} and {inside.id} are cut off from all others")
    begun = loop.time()
    heal_at = begun + CUT_S
    while TROUBLE and world.owner() is first and loop.time() < heal_at:
        await asyncio.sleep(0.02)
    world.record("case", f"{world.owner().name} owns the schedule")
    await asyncio.sleep(max(begun + STORE_CUT_S - loop.time(), 0))
    if TROUBLE:
        world.store_ports[world.daemons.index(first)].silent = False
        world.record("case", f"{first.name} reaches the store again")
    await asyncio.sleep(max(heal_at - loop.time(), 0))
    if TROUBLE:
        cut.clear()
        inside.cut = False
        world.record("case", "the cut heals")
    await asyncio.sleep(3)


def started_again(world):
    """Returns the tasks that were started after a run of theirs had ended as done."""
    broken = []
    for at, task, run, worker, how in world.ends:
        noted = [a for a in world.acks if a[1:4] == (task, run, worker)]
        again = [s for s in world.starts if s[1] == task and s[0] > at]
        if how == "done" and noted and again:
            broken.append(f"TWICE: {task} run {run} ended done on {worker} at {at:.3f} s, taken note "
                          f"of at {noted[0][0]:.3f} s; run {again[0][2]} starts on {again[0][3]} at "
                          f"{again[0][0]:.3f} s")
    return broken


async def case(world):
    world.plan = lambda task, run: (3.0, "done")
    world.configure(1, [route("r-calc", "calc")], [tenant()],
                    [{"name": "calc", "admissionCheck": False}])
    for index in range(6):
        worker = Worker(world, f"i-{index}", "calc", f"m-{index}")
        world.workers[worker.id] = worker
        await worker.start()
    await world.start_daemons(9)
    await world.wait_ready()
    await asyncio.sleep(2)
    number = 0xABC0
    while world.record.now() < END_S - 10 and not started_again(world):
        number += 1
        await one_round(world, number)
    return started_again(world)


main(__file__, case)

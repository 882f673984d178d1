"""Workers of a pool crash one at a time and come back; jobs that could be done are failed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import (TROUBLE, Client, Worker, job_id, main, route, tenant)  # noqa: E402

WORKERS = 8
CRASHES_FOR_S = 60
PAUSE_S = 0.8
DOWN_S = 1.0
STEPS = [{"count": 6, "cpu": 3500, "memMb": 6500, "estMs": 800}]


async def hand_in(world, clients, jobs, until):
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        number += 1
        client = clients[number % len(clients)]
        status, _ = await client.call("POST", f"/jobs/{job_id(number)}",
                                      {"spec": "x", "steps": STEPS})
        if status == 200:
            jobs.append(job_id(number))
        await asyncio.sleep(0.12)


async def case(world):
    world.plan = lambda task, run: (0.8, "done")
    world.configure(1, [route("r-calc", "calc")], [tenant()],
                    [{"name": "calc", "admissionCheck": False}])
    for index in range(WORKERS):
        worker = Worker(world, f"i-{index}", "calc", f"m-{index}")
        world.workers[worker.id] = worker
        await worker.start()
    await world.start_daemons(9)
    await world.wait_ready()
    await asyncio.sleep(2)
    loop = asyncio.get_running_loop()
    until = loop.time() + CRASHES_FOR_S
    jobs = []
    clients = [Client(world, daemon) for daemon in world.daemons]
    load = asyncio.ensure_future(hand_in(world, clients, jobs, until))
    await asyncio.sleep(2)
    while loop.time() < until:
        if TROUBLE:
            up = [w for w in world.workers.values() if w.up]
            worker = world.random.choice(up)
            worker.crash()
            loop.call_later(DOWN_S, lambda w=worker: asyncio.ensure_future(w.start()))
        await asyncio.sleep(PAUSE_S + world.random.uniform(0, 0.2))
    await load
    await asyncio.sleep(14)
    broken = []
    for job in jobs:
        status, answer = await clients[0].call("GET", f"/jobs/{job}")
        if status == 200 and answer.get("state") == "failed":
            ends = [e for e in world.ends if e[1].startswith(job) and e[4] == "failed"]
            if not ends:
                runs = [e for e in world.ends if e[1].startswith(job) and e[4] == "crash"]
                broken.append(f"LOST: {job} is shown as failed; none of its runs ended failed, "
                              f"{len(runs)} were on workers that crashed")
    world.record("case", f"{len(jobs)} jobs accepted")
    return broken


main(__file__, case)

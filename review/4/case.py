"""The one allowed worker among the first thirty of a pool is lost; the others that the policy allows
are never asked about."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import (TROUBLE, CannotRun, Client, HttpServer, Worker, job_id, main,  # noqa: E402
                     route, tenant)

WORKERS = 40
ALLOWED = {"i-05"} | {f"i-{index}" for index in range(34, 40)}
DECIDE_S, EACH_S, VALID_MS = 0.02, 0.002, 3000
JOB = job_id(0xABCD)
STEPS = [{"count": 1, "cpu": 1000, "memMb": 100, "estMs": 6000}]


async def case(world):
    world.plan = lambda task, run: (6.0, "done")
    calls = asyncio.Lock()
    tickets = {}

    def ticket_valid(worker, task, ticket):
        granted_at = tickets.get(ticket)
        now = asyncio.get_running_loop().time()
        return (ticket == f"ticket-{task.rpartition('.')[0]}-{worker.id}" and
                granted_at is not None and now - granted_at < VALID_MS / 1000)

    world.ticket_valid = ticket_valid

    async def advise(method, path, query, headers, body):
        call = json.loads(body)
        async with calls:
            await asyncio.sleep(DECIDE_S + EACH_S * len(call["workers"]))
        for w in set(call["workers"]) & ALLOWED:
            tickets[f"ticket-{call['step']}-{w}"] = asyncio.get_running_loop().time()
        granted = [[w, f"ticket-{call['step']}-{w}"] for w in call["workers"] if w in ALLOWED]
        world.record("advice", f"{call['step']}: {len(call['workers'])} workers, "
                               f"{call['workers'][0]} to {call['workers'][-1]}, granted "
                               f"{[row[0] for row in granted]}")
        return 200, {"granted": granted, "validMs": VALID_MS}

    world.advice = HttpServer(advise)
    await world.advice.start()
    guarded = {**route("r-calc", "calc"), "advice": {
        "decideMs": int(DECIDE_S * 1000), "eachMs": int(EACH_S * 1000), "validMs": VALID_MS}}
    world.configure(1, [guarded], [tenant()], [{"name": "calc", "admissionCheck": False}])
    for index in range(WORKERS):
        worker = Worker(world, f"i-{index:02}", "calc", f"m-{index:02}")
        world.workers[worker.id] = worker
        await worker.start()
    await world.start_daemons(9)
    await world.wait_ready()
    await asyncio.sleep(2)
    client = Client(world, world.daemons[0])
    status, _ = await client.call("POST", f"/jobs/{JOB}", {"spec": "x", "steps": STEPS})
    if status != 200:
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(2)
    if not any(worker.runs for worker in world.workers.values()):
        raise CannotRun("the task does not run")
    if TROUBLE:
        world.workers["i-05"].crash()
    at = world.record.now()
    for _ in range(9):
        await asyncio.sleep(4)
        status, answer = await client.call("GET", f"/jobs/{JOB}")
    if status != 200:
        raise CannotRun(f"the job's state can't be read: {status} {answer}")
    up = [w for w in sorted(ALLOWED) if world.workers[w].up]
    if answer.get("state") == "done" or any(s[0] > at for s in world.starts):
        return []
    return [f"LOST: {JOB} runs nothing for {world.record.now() - at:.0f} s, its state is {answer}; "
            f"allowed, up and idle: {up}"]


main(__file__, case)

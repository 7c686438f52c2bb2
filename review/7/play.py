"""LOST: after one outage of the store no process knows the owner of the cell any more.

Reads that the store can't confirm make each process forget the address of the owner, the owner
itself too, and nothing tells it to them again. The owner then asks the policy service alone.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

JOBS_PER_S = 32
TRAFFIC_S = 36.0
OUTAGE_AT_S, OUTAGE_S = 3.0, 4.5
COUNTS_PER_S = 20
# From the rule: 14 s after the end of the traffic, 3 s with nothing running.
FINISH_S, IDLE_S = 14.0, 3.0


def plan(name, run):
    return 0.5, "done"


async def count(world, end):
    """Counts are requested directly from each node."""
    async def ask(node):
        answer = await w.http(node.address, "GET", "/orders/", None, {"Host": world.HOST})
        results[node.name].append((w.time.monotonic(), answer[0] if answer else None))

    results = {node.name: [] for node in world.nodes}
    tasks = []
    while w.time.monotonic() < end:
        tasks += [asyncio.create_task(ask(node)) for node in world.nodes]
        await asyncio.sleep(1 / COUNTS_PER_S)
    await asyncio.gather(*tasks)
    return results


async def play(world):
    world.policy = w.Policy()
    world.executors = [w.Executor(world, n, plan) for n in range(1, 7)]
    await world.start()
    began = w.time.monotonic()
    accepted = []

    async def hand_in(number):
        job = f"{number:016x}"
        body = {"task_spec": "confirm", "steps": [
            {"count": 2, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 500}]}
        for attempt in range(4):
            node = world.nodes[(number + attempt) % len(world.nodes)]
            answer = await world.call(node, "POST", job, body)
            if answer and answer[0] == 200:
                return accepted.append(job)
            await asyncio.sleep(1)

    async def outage():
        await asyncio.sleep(OUTAGE_AT_S)
        if w.TROUBLE:
            world.store.down = "silent"
            world.record.write("store: down")
            await asyncio.sleep(OUTAGE_S)
            world.store.down = None
            world.record.write("store: up")

    counts = asyncio.create_task(count(world, began + TRAFFIC_S + FINISH_S))
    trouble = asyncio.create_task(outage())
    jobs = []
    while w.time.monotonic() - began < TRAFFIC_S:
        jobs.append(asyncio.create_task(hand_in(len(jobs) + 1)))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*jobs)
    ended = w.time.monotonic()
    await trouble
    await asyncio.sleep(max(0.0, ended + FINISH_S - w.time.monotonic()))
    idle_from = w.time.monotonic()
    await asyncio.sleep(IDLE_S)
    begun = {row["name"].split(".")[0] for row in world.starts()}
    waiting = [job for job in accepted if job not in begun]
    busy = sum(len(e.running) for e in world.executors)
    owner = await world.owner()
    results = await counts
    late = {name: [s for at, s in rows if at > ended] for name, rows in results.items()}
    shown = ", ".join(f"{name}{' (owner)' if name == owner.name else ''}: "
                      f"{rows.count(200)} of {len(rows)}" for name, rows in late.items())
    text = (f"{len(accepted)} jobs accepted; {FINISH_S + IDLE_S:.0f} s after the end of the traffic "
            f"{len(waiting)} have not begun, and {busy} of 192 cores are in use")
    for line in (text, f"counts answered with 200 after the end of the traffic: {shown}",
                 f"calls to the policy service by process: "
                 f"{[row['handled'] for row in world.policy.calls]}"):
        world.record.write(line)
        print(line)
    return [f"job {job} has nothing running" for job in waiting]


w.main(FOLDER, play)

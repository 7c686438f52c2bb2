"""The owner of the cell is killed while the store is slow; nobody knows the next owner for good.

The claim of the next owner is sent twice, so that the directory names a newer epoch than its own.
"""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import platform_standin as standin  # noqa: E402

SLOWNESS = 93
SLOW_S = 5.63
PER_S = 45.0
EARLIER_JOBS = 1500
WATCH_S = 3.0


class SlowWorld(standin.World):
    policy = standin.PolicyService(decision_ms=58.0, per_worker_ms=0.82)

    def work_s(self, body):
        return 0.3


async def play(world):
    world.quiet_runs = True
    await world.start([standin.route("order", "/order/", priority=0), standin.route(
        "reprice", "/reprice/", priority=2,
        advice={"decision_ms": 58.0, "per_worker_ms": 0.82, "validity_ms": 2000.0})])
    task = {"count": 1, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 300}
    numbers = itertools.count(1)
    results = []
    accepted = []

    async def order(node):
        path = f"/reprice/{next(numbers):016x}"
        began = time.monotonic()
        status, _ = await world.call(node, "POST", path, {"task_spec": "o", "steps": [task]},
                                     quiet=True)
        results.append((began, node, status, time.monotonic() - began))
        if status == 200:
            accepted.append(path)

    async def traffic(node, per_s, until):
        while time.monotonic() < until:
            asyncio.ensure_future(order(node))
            await asyncio.sleep(1 / per_s)

    # Jobs of the minutes before, whose records the next owner has to read.
    for first in range(0, EARLIER_JOBS, 50):
        await asyncio.gather(*(
            world.call(world.node_names[i % 7], "POST", f"/order/{0xe0000000 + i:016x}",
                       {"task_spec": "order", "steps": [task]}, quiet=True)
            for i in range(first, first + 50)))
    await asyncio.sleep(3)
    end = time.monotonic() + 30
    clients = [asyncio.ensure_future(traffic(node, PER_S / 7, end)) for node in world.node_names]
    await asyncio.sleep(3)
    owner = world.owner()
    if world.trouble:
        world.store.slowness = SLOWNESS
        world.record.write(f"store: answers take {SLOWNESS} times as long for {SLOW_S} s")
    slow_began = time.monotonic()
    await asyncio.sleep(0.3)
    if world.trouble:
        world.processes[owner].kill()
        world.processes[owner].wait()
        world.record.write(f"{owner}, which owns the cell, is killed")
        await asyncio.sleep(0.5)
        world.start_process(owner)
    await asyncio.sleep(max(0, slow_began + SLOW_S - time.monotonic()))
    world.store.slowness = 1
    well = time.monotonic()
    world.record.write(f"store: answers in 4 ms; the newest claim is of {world.owner()}")
    await asyncio.gather(*clients)
    await asyncio.sleep(standin.BOUNDS["finish_s"])
    idle, busiest = await world.watch_idle(accepted, WATCH_S)
    for second in range(-9, 30, 3):
        rows = [row for row in results if second <= row[0] - well < second + 3]
        counts = {}
        for _, node, status, _ in rows:
            counts[node, status] = counts.get((node, status), 0) + 1
        world.record.write(f"answers from {second} s on: " + ", ".join(
            f"{node} {status} {count}" for (node, status), count in sorted(
                counts.items(), key=str)))
    room = sum(e.capacity["cpu"] for e in world.executors) // task["cpu"]
    world.record.write(f"{len(accepted)} jobs accepted; calls for advice from each process: "
                       f"{world.policy.calls}; at most {busiest} tasks at work in the last "
                       f"{WATCH_S:.0f} s, room for {room}")
    lines = []
    if idle and 2 * busiest < room:
        lines.append(f"LOST: {len(idle)} of {len(accepted)} accepted jobs have nothing running "
                     f"{standin.BOUNDS['finish_s']} s after the end of the traffic and for "
                     f"{WATCH_S:.0f} s, with {busiest} of {room} places in use")
        world.record.write(lines[0])
    return lines


standin.run_case(lambda: SlowWorld(FOLDER, nodes=7, executors=6), play)

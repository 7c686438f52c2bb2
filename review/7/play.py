"""TWICE: the small tasks of several jobs end on one executor while the owner is replaced.

An executor lists 500 ends at a time. The new owner takes a run that is neither in `running` nor
among those 500 for lost and starts its task again.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

JOBS = [f"00000000000000{n:02x}" for n in range(0xA0, 0xAC)]
TASKS_PER_JOB = 60
DOWN_S = 3.5


def plan(name, run):
    return random.uniform(4.0, 5.0), "done"


async def play(world):
    world.executors = [w.Executor(world, n, plan) for n in (1, 2)]
    await world.start()
    # 720 tasks of 0.04 cores: they fit on one executor of 32 cores.
    body = {"task_spec": "resize", "steps": [
        {"count": TASKS_PER_JOB, "cpu": 40, "mem_mb": 64, "est_runtime_ms": 4500}]}
    answers = await asyncio.gather(*(world.submit(job, body) for job in JOBS))
    if answers != [200] * len(JOBS):
        raise w.CannotRun(f"the jobs were not accepted: {answers}")
    tasks = TASKS_PER_JOB * len(JOBS)
    for _ in range(60):
        await asyncio.sleep(0.05)
        if len(world.starts()) >= tasks:
            break
    else:
        raise w.CannotRun("the tasks were not started in time")
    await asyncio.sleep(max(0.0, 3.7 - (w.time.monotonic() - world.starts()[0]["begin"])))
    if w.TROUBLE:
        owner = await world.owner()
        await owner.kill()
        await asyncio.sleep(DOWN_S)
        await owner.start()
    else:
        await asyncio.sleep(DOWN_S)
    for _ in range(60):
        await asyncio.sleep(0.5)
        if all([await world.state(job) == "completed" for job in JOBS]):
            break
    await asyncio.sleep(1)
    text = f"{tasks} tasks, {len(world.starts())} runs"
    world.record.write(text)
    print(text)
    return world.broken_twice()


w.main(FOLDER, play)

"""TWICE: the progress of a scheduled job with many open occurrences is lost at a takeover.

The owner writes a record with more list elements than a process reads (16,384). The next owner
can't read it and starts all occurrences anew, also those that are done.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

JOB = "00000000000000e1"
OCCURRENCES = 20000
INTERVAL_MS = 1000
DOWN_S = 3.5


def plan(name, run):
    return 0.5, "done"


async def play(world):
    world.executors = [w.Executor(world, n, plan) for n in (1, 2)]
    await world.start()
    status = await world.submit(JOB, {
        "task_spec": "sample", "repeat_count": OCCURRENCES, "interval_ms": INTERVAL_MS,
        "first_run_ms": int(w.time.time() * 1000) - OCCURRENCES * INTERVAL_MS,
        "steps": [{"count": 1, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 500}]})
    if status != 200:
        raise w.CannotRun(f"the job was not accepted: {status}")
    await asyncio.sleep(4)
    print(f"{len(world.starts())} runs before the owner is killed")
    if w.TROUBLE:
        owner = await world.owner()
        await owner.kill()
        await asyncio.sleep(DOWN_S)
        await owner.start()
    await asyncio.sleep(20)
    rows = world.starts()
    again = len(rows) - len({row["name"] for row in rows})
    text = f"{len(rows)} runs, {again} of them of a task that had run; state {await world.state(JOB)}"
    world.record.write(text)
    print(text)
    return world.broken_twice()


w.main(FOLDER, play)

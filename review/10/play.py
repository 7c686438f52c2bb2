"""LOST: a gang that cannot start beside lasting tasks keeps its executors from all other jobs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

LASTING, GANG, SMALL = "00000000000000d1", "00000000000000d2", "00000000000000d3"
# From the rule: 14 s after the end of the traffic, 3 s with nothing running.
FINISH_S, IDLE_S = 14.0, 3.0


async def play(world):
    def plan(name, run):
        return (None if name.startswith(LASTING) else 1.0), "done"

    world.executors = [w.Executor(world, n, plan) for n in (1, 2, 3, 4)]
    await world.start()
    # One task of a service with 4 of 32 cores on each executor.
    await world.submit(LASTING, {"task_spec": "gateway", "steps": [
        {"count": 4, "cpu": 4000, "mem_mb": 1024, "est_runtime_ms": 1000, "anti_affinity": 1,
         "long_running": True}]})
    await asyncio.sleep(1)
    if w.TROUBLE:
        status = await world.submit(GANG, {"task_spec": "reprice", "steps": [
            {"count": 8, "cpu": 15000, "mem_mb": 1024, "est_runtime_ms": 5000, "gang": True}]})
        if status != 200:
            raise w.CannotRun(f"the gang was not accepted: {status}")
    await asyncio.sleep(2)
    status = await world.submit(SMALL, {"task_spec": "confirm", "steps": [
        {"count": 2, "cpu": 2000, "mem_mb": 1024, "est_runtime_ms": 1000}]})
    if status != 200:
        raise w.CannotRun(f"the job was not accepted: {status}")
    accepted = w.time.monotonic()
    while w.time.monotonic() - accepted < FINISH_S + IDLE_S and not world.starts(SMALL):
        await asyncio.sleep(0.1)
    starts = world.starts(SMALL)
    state = await world.state(SMALL)
    waited = (starts[0]["begin"] if starts else w.time.monotonic()) - accepted
    begun = "began" if starts else "has not begun"
    text = (f"job {SMALL}, shown as {state}, {begun} after {waited:.1f} s; "
            "16 of 128 cores were in use")
    world.record.write(text)
    print(text)
    return [text] if not starts else []


w.main(FOLDER, play)

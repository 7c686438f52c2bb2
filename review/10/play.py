"""LOST: a gang that waits for one service reserves the executors of another service.

The jobs of the other service have nothing running although it is empty.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

QUEUES = (("orders", "ledger"), ("reports", "tables"))
LASTING, GANG, REPORT = "00000000000000c1", "00000000000000c2", "00000000000000c3"
# From the rule: 14 s after the end of the traffic, 3 s with nothing running.
FINISH_S, IDLE_S = 14.0, 3.0


async def play(world):
    def plan(name, run):
        return (None if name.startswith(LASTING) else 1.0), "done"

    ledger = [w.Executor(world, n, plan, "ledger") for n in (1, 2)]
    tables = [w.Executor(world, n, plan, "tables") for n in (3, 4)]
    world.executors = ledger + tables
    await world.start(queues=QUEUES)
    # One task of a service with 4 of 32 cores on each executor of `ledger`.
    await world.submit(LASTING, {"task_spec": "gateway", "steps": [
        {"count": 2, "cpu": 4000, "mem_mb": 1024, "est_runtime_ms": 1000, "anti_affinity": 1,
         "long_running": True}]})
    await asyncio.sleep(1)
    if w.TROUBLE:
        status = await world.submit(GANG, {"task_spec": "reprice", "steps": [
            {"count": 4, "cpu": 15000, "mem_mb": 1024, "est_runtime_ms": 5000, "gang": True}]})
        if status != 200:
            raise w.CannotRun(f"the gang was not accepted: {status}")
    await asyncio.sleep(2)
    status = await world.submit(REPORT, {"task_spec": "table", "steps": [
        {"count": 2, "cpu": 2000, "mem_mb": 1024, "est_runtime_ms": 1000}]}, "reports")
    if status != 200:
        raise w.CannotRun(f"the job was not accepted: {status}")
    accepted = w.time.monotonic()
    while w.time.monotonic() - accepted < FINISH_S + IDLE_S and not world.starts(REPORT):
        await asyncio.sleep(0.1)
    starts = world.starts(REPORT)
    state = await world.state(REPORT, "reports")
    waited = (starts[0]["begin"] if starts else w.time.monotonic()) - accepted
    begun = "began" if starts else "has not begun"
    text = f"job {REPORT}, shown as {state}, {begun} after {waited:.1f} s; its service was empty"
    world.record.write(text)
    print(text)
    return [text] if not starts else []


w.main(FOLDER, play)

"""LOST: after a freeze of one owner and the loss of the next one, no process claims the cell.

The first owner forgets its own claim when it is superseded; the others still know it. Once the
second owner is gone they wait for the first one, which waits for the one that is first by name.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world as w  # noqa: E402

BEFORE, AFTER = "0000000000000001", "0000000000000002"
FROZEN_S = 4.0
REPLACED_AFTER_S = 4.0
CALM_S = 8.0
# From the bounds: jobs are asked for 14 s after the end of the traffic.
FINISH_S = 14.0
ASKED_S = 15.0


def plan(name, run):
    return 4.0, "done"


def job(spec):
    return {"task_spec": spec, "steps": [
        {"count": 2, "cpu": 2000, "mem_mb": 1024, "est_runtime_ms": 4000},
        {"count": 2, "cpu": 2000, "mem_mb": 1024, "est_runtime_ms": 4000, "after": [0]}]}


async def play(world):
    world.executors = [w.Executor(world, n, plan) for n in (1, 2, 3)]
    # All processes start within 0.3 s, the third one first, so that it is the first owner.
    await world.start(order=(3, 1, 2))
    first = await world.owner()
    if first is not world.nodes[2]:
        raise w.CannotRun(f"{first.name} owns the cell first")
    accepted = [BEFORE] if await world.submit(BEFORE, job("before")) == 200 else []
    if w.TROUBLE:
        first.send(signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        first.send(signal.SIGCONT)
    await asyncio.sleep(CALM_S)
    second = await world.owner()
    world.record.write(f"{second.name} owns the cell")
    accepted += [AFTER] if await world.submit(AFTER, job("after")) == 200 else []
    await asyncio.sleep(1)
    if w.TROUBLE:
        await second.kill()
        await asyncio.sleep(REPLACED_AFTER_S)
        await world.add_node()
    if len(accepted) != 2:
        raise w.CannotRun("the jobs were not accepted")
    await asyncio.sleep(FINISH_S)
    breaches = []
    end = w.time.monotonic() + ASKED_S
    shown = dict.fromkeys(accepted)
    while w.time.monotonic() < end and None in shown.values():
        for name in [name for name, state in shown.items() if state is None]:
            shown[name] = await world.state(name)
    for name, state in shown.items():
        rows = world.starts(name)
        at_work = sum(row["end"] is None for row in rows)
        text = (f"job {name}: shown as {state or 'nothing, no process answers'}; {len(rows)} of 4 "
                f"tasks were started, {at_work} are at work")
        world.record.write(text)
        print(text)
        if state != "completed":
            breaches.append(text)
    owner = await world.owner()
    world.record.write(f"owner of the cell: {owner.name if owner else 'none'}")
    return breaches


w.main(FOLDER, play)

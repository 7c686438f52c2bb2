"""A process that owns the cell is cut off together with one executor, and renews its lease there.

The others elect a new owner, which starts the task of that executor again.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import platform_standin as standin  # noqa: E402

WORK_S = 40.0
CUT_S = 12.0
JOB = "5c0e7a21d94b36f8"


class CutWorld(standin.World):
    def zone_of(self, index):
        return "harju-a" if index == 0 else "tartu-a"

    def work_s(self, body):
        return WORK_S


def overlaps(world):
    """Pairs of runs of one task that were at work at the same time on different executors."""
    ended = {(task, number, name): at for at, task, number, name, _ in world.ends}
    spans = [(task, number, name, at, ended.get((task, number, name), time.monotonic()))
             for at, task, number, name in world.starts]
    found = []
    for i, a in enumerate(spans):
        for b in spans[i + 1:]:
            if a[0] == b[0] and a[3] < b[4] and b[3] < a[4]:
                found.append((a, b, min(a[4], b[4]) - max(a[3], b[3])))
    return found


async def play(world):
    await world.start([standin.route("payout", "/payout/")])
    step = {"count": 1, "cpu": 9000, "mem_mb": 1024, "est_runtime_ms": int(WORK_S * 1000)}
    if not await world.submit(f"/payout/{JOB}", {"task_spec": "settle", "steps": [step]}):
        raise standin.CannotRun("the job was not accepted")
    give_up = time.monotonic() + 10
    while not world.starts:
        if time.monotonic() > give_up:
            raise standin.CannotRun("the task did not start")
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    owner = world.owner()
    executor = next(e for e in world.executors if e.name == world.starts[0][3])
    token = executor.token
    if world.trouble:
        world.record.write(f"partition: {owner} and {executor.name} on one side, the store and all "
                           f"others on the other side, for {CUT_S} s")
        world.store.cut.add(owner)
        executor.cut_from = lambda caller: caller != token
    await asyncio.sleep(CUT_S)
    if world.trouble:
        world.store.cut.clear()
        executor.cut_from = None
        world.record.write("partition: healed")
    await asyncio.sleep(6)
    found = overlaps(world)
    lines = []
    for a, b, length in found:
        lines.append(f"TWICE: task {a[0]} ran as run {a[1]} on {a[2]} and as run {b[1]} on {b[2]} "
                     f"at the same time for {length:.1f} s")
        world.record.write(lines[-1])
    return lines


standin.run_case(lambda: CutWorld(FOLDER, nodes=4, executors=5), play)

"""A worker is cut off for longer than its lease. After its return the leader changes."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from deployment import BOUNDS, MAX_LISTED_ENDS, Requester, Worker, config, main

WORKERS = 6
CUT_S = 8.0
LEADER_AFTER_S = 2.0
RACK = "r1"
LONG = {"ms": 8000, "cpu": 1000, "memMb": 500}
SHORT = {"ms": 300, "cpu": 100, "memMb": 50}
LONG_TASKS, SHORT_TASKS = 4, 10
JOBS_PER_S = 3
CALM_S = 18
SERVED_S = 40


def step(work, count):
    return {
        "count": count, "cpu": work["cpu"], "memMb": work["memMb"], "estimateMs": work["ms"],
        "affinity": RACK,
    }


async def disturb(deployment, record, worker):
    """Cuts the worker off, and kills the leader after the worker's return."""
    worker.cut = True
    record(f"{worker.name} is cut off with {sorted(worker.running)}")
    await asyncio.sleep(CUT_S)
    worker.cut = False
    record(f"{worker.name} is connected again")
    await asyncio.sleep(LEADER_AFTER_S)
    leader = deployment.leader()
    await deployment.kill(leader)
    record(f"the leader {leader.name} is killed")
    await asyncio.sleep(1)
    await deployment.start(leader)


async def case(deployment, record, trouble):
    await deployment.run(config())
    runs, jobs = {}, []
    workers = [
        Worker(deployment, f"w-{at}", f"{deployment.net}.{at + 201}:8080", runs, quiet=True,
               rack=RACK if at == 0 else "r2")
        for at in range(WORKERS)
    ]
    await asyncio.sleep(2)
    requester = Requester(deployment)
    await requester.submit("00000000000000e0", LONG, [step(LONG, LONG_TASKS)])
    # The long tasks end while the worker is cut off, and their next runs after the leader has changed.
    await asyncio.sleep(2.5)
    if trouble:
        await disturb(deployment, record, workers[0])
    await asyncio.sleep(CALM_S)
    end = time.monotonic() + SERVED_S
    while time.monotonic() < end:
        jobs.append(f"{0x3000 + len(jobs):016x}")
        await requester.submit(jobs[-1], SHORT, [step(SHORT, SHORT_TASKS)])
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.sleep(BOUNDS["ackMs"] / 1000 + 4)
    states = [await requester.state(job) for job in jobs]
    shown = {state: states.count(state) for state in set(states)}
    record(f"{len(jobs)} submissions, the last {BOUNDS['ackMs'] / 1000 + 4} s ago: {shown}")
    listed = noted = 0
    for worker in workers:
        unnoted = worker.finished[:MAX_LISTED_ENDS]
        record(f"{worker.name}: {worker.ends} ends, {len(worker.finished)} not taken note of, the "
               f"first of them {unnoted[:1]}")
        listed += worker.ends - len(worker.finished) + len(unnoted)
        noted += worker.ends - len(worker.finished)
    done = {}
    for run in runs.values():
        if run.how == "done":
            done[run.task] = done.get(run.task, 0) + 1
    again = [count for count in done.values() if count > 1]
    record(f"{len(done)} tasks were done, {len(again)} of them more than once, up to "
           f"{max(done.values())} times")
    record(f"{listed - noted} of {listed} ends that workers listed weren't taken note of")
    if (listed - noted) * 5 > listed:
        return f"Acks: {listed - noted} of {listed} listed ends weren't taken note of"
    return None


if __name__ == "__main__":
    sys.exit(main(case, __file__))

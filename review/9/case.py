"""A worker is cut off for longer than its lease. After its return the leader changes, and once more later."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from deployment import Requester, Worker, config, main, noted_without_lapse, started_after_done

WORKERS = 9
CUT_S = 8.0
LEADER_AFTER_S = 2.0
LONG = {"ms": 8000, "cpu": 1000, "memMb": 500}
SHORT = {"ms": 300, "cpu": 100, "memMb": 50}
LONG_TASKS, SHORT_TASKS = 36, 20
JOBS_PER_S = 12
CALM_S = 10
SERVED_S = 35
END_S = 15


def step(work, count):
    return {"count": count, "cpu": work["cpu"], "memMb": work["memMb"], "estimateMs": work["ms"]}


async def kill_leader(deployment, record):
    """Kills the leader, and starts it again a second later."""
    leader = deployment.leader()
    await deployment.kill(leader)
    record(f"the leader {leader.name} is killed")
    await asyncio.sleep(1)
    await deployment.start(leader)


async def disturb(deployment, record, worker):
    """Cuts the worker off, and kills the leader after the worker's return."""
    worker.cut = True
    record(f"{worker.name} is cut off with {sorted(worker.running)}")
    await asyncio.sleep(CUT_S)
    worker.cut = False
    record(f"{worker.name} is connected again")
    await asyncio.sleep(LEADER_AFTER_S)
    await kill_leader(deployment, record)


async def case(deployment, record, trouble):
    await deployment.run(config())
    runs, jobs = {}, []
    workers = [
        Worker(deployment, f"w-{at}", f"{deployment.net}.{at + 201}:8080", runs, quiet=True)
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
    await asyncio.sleep(2)
    for worker in workers:
        record(f"{worker.name}: {worker.ends} ends, {len(worker.finished)} not taken note of, the "
               f"first of them {worker.finished[:1]}")
    if trouble:
        await kill_leader(deployment, record)
    await asyncio.sleep(END_S)
    states = [await requester.state(job) for job in jobs]
    record(f"{len(jobs)} submissions: { {state: states.count(state) for state in set(states)} }")
    again = [pair for pair in started_after_done(runs) if noted_without_lapse(pair[0])]
    tasks = {later.task for _, later in again}
    most = max((run.number for run in runs.values()), default=0)
    record(f"{len(runs)} runs, at most {most} of a task; {len(tasks)} tasks started after a run of "
           f"theirs had ended done, whose end was acknowledged with no lapse of the lease between")
    for first, later in again[:40]:
        record(f"{first.task}: run {first.number} on {first.worker.name} was done, run "
               f"{later.number} started on {later.worker.name} {later.started - first.ended:.3f} s "
               f"later; the end was acknowledged {first.noted_at - first.ended:.3f} s after it")
    if again:
        return f"TWICE: {len(tasks)} tasks started again after a run had ended done"
    return None


if __name__ == "__main__":
    sys.exit(main(case, __file__))

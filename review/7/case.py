"""One large submission, all of whose tasks end at the same time."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from deployment import Requester, Worker, config, main, started_after_done

TASKS = 3000
PARTS = 10
CALM_AFTER_S = 10
NOTED_S = 0.1
WORK = {"ms": 4000, "cpu": 20, "memMb": 20}


def steps(count):
    return [{"count": count, "cpu": WORK["cpu"], "memMb": WORK["memMb"], "estimateMs": WORK["ms"]}]


async def case(deployment, record, trouble):
    await deployment.run(config())
    runs = {}
    workers = [
        Worker(deployment, f"w-{at}", f"{deployment.net}.{at + 201}:8080", runs, 32000, 125000)
        for at in range(2)
    ]
    await asyncio.sleep(2)
    requester = Requester(deployment)
    submitted = time.monotonic()
    if trouble:
        jobs = ["00000000000000a0"]
        await requester.submit(jobs[0], WORK, steps(TASKS))
    else:
        jobs = [f"{0xb0 + at:016x}" for at in range(PARTS)]
        for job in jobs:
            await requester.submit(job, WORK, steps(TASKS // PARTS))
            await asyncio.sleep(2)
    await asyncio.sleep(25)
    after = "00000000000000c0"
    await requester.submit(after, {"ms": 500, "cpu": 500, "memMb": 100},
                           [{"count": 8, "cpu": 500, "memMb": 100, "estimateMs": 500}])
    await asyncio.sleep(15)
    for job in jobs + [after]:
        record(f"{job} is {await requester.state(job)}")
    for worker in workers:
        record(f"{worker.name}: {len(worker.finished)} ends aren't taken note of")
    again = started_after_done(runs)
    # With no disturbance near, an end counts as taken note of 100 ms after it was listed. Starts soon
    # after the large submission are left out.
    calm = submitted + CALM_AFTER_S
    noted = [
        (first, later) for first, later in again
        if first.listed_at is not None and later.started > max(first.listed_at + NOTED_S, calm)
    ]
    tasks = {later.task for _, later in noted}
    record(f"{len(runs)} runs; {len(again)} pairs of a run that was done and a later one, in "
           f"{len(noted)} the end was taken note of before the start, with {len(tasks)} tasks")
    for first, later in noted[:40]:
        record(f"{first.task}: run {first.number} on {first.worker.name} was done, run "
               f"{later.number} started on {later.worker.name} {later.started - first.ended:.3f} s "
               f"later, {later.started - first.listed_at:.3f} s after the end was listed")
    if noted:
        return f"TWICE: {len(tasks)} tasks started again after a run had ended done"
    return None


if __name__ == "__main__":
    sys.exit(main(case, __file__))

"""A worker that is cut off for 4.5 s, while more than 1,000 of its tasks end."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import standin

WORKERS, TASKS, WORK_S, CUT_S = 6, 7800, 4.4, 4.5
WIDE = "00000000000000a1"


def plan(task, run, spec):
    return WORK_S, "done"


def needs(task):
    return 4, 4


def case(trouble, record, deployments):
    system = standin.Deployment(record, controllers=3, gateways=2, net=12)
    deployments.append(system)
    system.start()
    status, _ = system.configure(1, [{"name": "fold", "pathPrefix": "/fold/"}])
    if status != 200:
        return None
    workers = [
        standin.Worker(record, f"i-{at}", f"127.0.12.{100 + at}:8080", system.controllers, plan,
                       needs, zone="abc"[at % 3], rack=f"r1-{at}")
        for at in range(WORKERS)]
    for worker in workers:
        worker.boot()
    time.sleep(3)
    client = standin.Client(system)
    body = {"spec": "fold", "steps": [
        {"count": TASKS, "cpu": 4, "memMb": 4, "estimateMs": int(WORK_S * 1000)}]}
    if not client.submit("/fold/", WIDE, body):
        return None
    until = time.monotonic() + 3
    while time.monotonic() < until and sum(len(w.running) for w in workers) < TASKS:
        time.sleep(0.02)
    # The lease must outlast the cut, so it begins right after a heartbeat was answered.
    until = time.monotonic() + 2
    while time.monotonic() < until and workers[0].lease < time.monotonic() + 6.3:
        time.sleep(0.005)
    runs = [len(worker.running) for worker in workers]
    record.write("the tasks run", runs=runs, lease_s=workers[0].lease - time.monotonic())
    if runs[0] < 1100:
        return None
    calm_from = time.monotonic()
    if trouble:
        workers[0].cut(CUT_S)
        calm_from += CUT_S + standin.BOUNDS["contactMs"] / 1000
    until, state = time.monotonic() + 45, None
    while time.monotonic() < until and state != "completed":
        time.sleep(1)
        state = client.state("/fold/", WIDE)
        record.write("watch", state=state, running=[len(worker.running) for worker in workers])
    time.sleep(4)
    if any(worker.lapses for worker in workers):
        record.write("a lease lapsed, which excuses the ends before")
        return None
    broken = standin.twice(workers, calm_from)
    unacknowledged = [len(worker.finished) for worker in workers]
    record.write("seen", state=state, twice=len(broken), unacknowledged=unacknowledged,
                 first={task: broken[task] for task in sorted(broken)[:20]})
    print(f"state: {state}; tasks that ran again after an end `done`: {len(broken)}; ends without "
          f"an acknowledgement, by worker: {unacknowledged}")
    return not broken


standin.main(case, HERE)

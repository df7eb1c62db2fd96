"""A worker crashes with a member of a gang that saves checkpoints."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import standin

JOB, SIZE, WORK_S, CRASH_AFTER_S, DOWN_S, WATCH_S = "00000000000000a1", 4, 6.0, 3.0, 1.0, 45


def plan(task, run, spec):
    return None, ""


def needs(task):
    return 9000, 9000


def case(trouble, record, deployments):
    system = standin.Deployment(record, controllers=3, gateways=2, net=16)
    deployments.append(system)
    system.start()
    status, _ = system.configure(1, [{"name": "fold", "pathPrefix": "/fold/"}])
    if status != 200:
        return None
    gangs = standin.Gangs(SIZE, WORK_S)
    workers = [
        standin.Worker(record, f"i-{at}", f"127.0.16.{100 + at}:8080", system.controllers, plan,
                       needs, zone="abc"[at % 3], rack=f"r1-{at // 4}", gangs=gangs)
        for at in range(8)]
    for worker in workers:
        worker.boot()
    time.sleep(3)
    client = standin.Client(system)
    body = {"spec": "fold", "steps": [
        {"count": SIZE, "cpu": 9000, "memMb": 9000, "estimateMs": int(WORK_S * 1000),
         "gang": True, "checkpointing": True}]}
    if not client.submit("/fold/", JOB, body):
        return None
    until = time.monotonic() + 10
    while time.monotonic() < until and sum(len(worker.running) for worker in workers) < SIZE:
        time.sleep(0.05)
    if sum(len(worker.running) for worker in workers) < SIZE:
        return None
    calm_from = time.monotonic()
    if trouble:
        time.sleep(CRASH_AFTER_S)
        member = next(worker for worker in workers if worker.running)
        member.crash()
        time.sleep(DOWN_S)
        member.boot()
        calm_from = time.monotonic() + 2 * standin.BOUNDS["contactMs"] / 1000
    until, state = time.monotonic() + WATCH_S, None
    while time.monotonic() < until and state not in ("completed", "failed"):
        time.sleep(0.5)
        state = client.state("/fold/", JOB)
    alone = [(round(at - record.start, 1), task, run) for worker in workers
             for at, task, run, what in worker.history if what == "alone" and at > calm_from]
    record.write("seen", state=state, alone_in_calm=alone)
    print(f"state: {state}; runs that ended `alone` in a calm: {len(alone)}")
    return not alone


standin.main(case, HERE)

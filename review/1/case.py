"""A wide submission whose starts exceed the largest response that a worker accepts.

TROUBLE=1 hands in one submission of 4,000 small tasks with a `spec` of 4,000 bytes, beside another
customer's submission that runs. TROUBLE=0 hands in the same one with a short `spec`.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import standin

WORKERS = 3
TASKS = 4000
WIDE, LASTING = "00000000000000a1", "00000000000000b2"
WATCH_S = 40


def plan(task, run, spec):
    return (None, "") if task.startswith(LASTING) else (1.0, "done")


def needs(task):
    return (2000, 2000) if task.startswith(LASTING) else (3, 3)


def case(trouble, record, deployments):
    system = standin.Deployment(record, controllers=3, gateways=2, net=11)
    deployments.append(system)
    system.start()
    status, _ = system.configure(1, [{"name": "fold", "pathPrefix": "/fold/"},
                                     {"name": "watch", "pathPrefix": "/watch/", "priority": 0}])
    if status != 200:
        return None
    workers = [
        standin.Worker(record, f"i-{at}", f"127.0.11.{100 + at}:8080", system.controllers, plan,
                       needs, zone="abc"[at % 3], rack=f"r1-{at}")
        for at in range(WORKERS)]
    for worker in workers:
        worker.boot()
    time.sleep(3)
    client = standin.Client(system)
    lasting = {"spec": "watch", "steps": [
        {"count": 3, "cpu": 2000, "memMb": 2000, "estimateMs": 60000, "longRunning": True}]}
    if not client.submit("/watch/", LASTING, lasting):
        return None
    time.sleep(3)
    if sum(len(worker.running) for worker in workers) != 3:
        return None
    wide = {"spec": "x" * (4000 if trouble else 10), "steps": [
        {"count": TASKS, "cpu": 3, "memMb": 3, "estimateMs": 1000}]}
    handed_in = time.monotonic()
    if not client.submit("/fold/", WIDE, wide):
        return None
    asked_from = handed_in + standin.BOUNDS["finish_s"]
    state, idle, asked = None, {}, 0.0
    longest = {WIDE: 0.0, LASTING: 0.0}
    while time.monotonic() < handed_in + WATCH_S:
        now = time.monotonic()
        if now >= asked + 1:
            state, asked = client.state("/fold/", WIDE), now
            record.write("watch", state=state, running=[len(worker.running) for worker in workers])
        running = [task for worker in workers for task in list(worker.running)]
        # The wide submission counts after its time to finish, a lasting task 6 s after its last run.
        waits = {WIDE: now >= asked_from and state != "completed"
                 and not any(task.startswith(WIDE) for task in running)}
        for at in range(3):
            task = f"{LASTING}.0.0.{at}"
            ends = [e[0] for w in workers for e in list(w.history)
                    if e[1] == task and e[3] not in ("start", "listed lapsed")]
            waits[task] = task not in running and now >= max(ends, default=0.0) + 6
        for what, waiting in waits.items():
            idle[what] = idle.get(what, now) if waiting else now
            job = what.split(".")[0]
            longest[job] = max(longest[job], now - idle[what])
        time.sleep(0.1)
    events = [event for worker in workers for event in worker.history if event[0] > handed_in]
    started = sum(1 for e in events if e[3] == "start" and e[1].startswith(WIDE))
    lapsed = sum(1 for e in events if e[3] == "lapsed" and e[1].startswith(LASTING))
    longest = {job: round(span, 1) for job, span in longest.items()}
    record.write("seen", state=state, started=started, others_lapsed=lapsed, idle_s=longest)
    print(f"wide submission: {state}, {started} starts, without a run for {longest[WIDE]} s; lasting "
          f"tasks of the other: {lapsed} lapsed, one of them without a run for {longest[LASTING]} s")
    return max(longest.values()) < 3


standin.main(case, HERE)

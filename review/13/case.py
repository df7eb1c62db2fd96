"""A gateway freezes with a submission in its socket; the requester cancels it elsewhere; the gateway wakes."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
import harness

QUEUE = "/watch/"
# One of ten machines freezes, and one of four requesters leaves early.
GATEWAYS = 7
REQUESTERS = 4
FREEZE_S = 2.5
GIVE_UP_S = 1.0


def run(case):
    case.put_config(1, [harness.route("r-watch", QUEUE)])
    case.wait_ready()
    for at in range(1, 4):
        case.start_worker(f"w-{at}")
    time.sleep(3.0)
    body = {"spec": harness.spec(last=True, cpu=500), "steps": [
        {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 300, "longRunning": True}]}
    for at in range(1, REQUESTERS):
        answer = case.call(at + 1, "POST", QUEUE + harness.new_id(), body)
        if answer is None or answer[0] != 200:
            raise harness.CannotRun("a submission isn't accepted in calm")
    job = harness.new_id()
    if case.trouble:
        case.signal("edge-1", signal.SIGSTOP)
        frozen = time.monotonic()
    # The requester leaves before its deadline of 3 s.
    case.call(0, "POST", QUEUE + job, body, timeout=GIVE_UP_S)
    while True:
        answer = case.call(1, "DELETE", QUEUE + job)
        if answer is not None and (answer[0] // 100 == 2 or answer[0] == 410):
            break
        time.sleep(0.2)
    cancelled = time.monotonic()
    if case.trouble:
        time.sleep(max(0.0, frozen + FREEZE_S - time.monotonic()))
        case.signal("edge-1", signal.SIGCONT)
    # `contactMs` after the freeze, the gateway is in touch again.
    time.sleep(12.0)
    case.call(1, "GET", QUEUE + job)
    at_work = []
    for event in case.events():
        if event.get("task", "").startswith(job):
            if event["what"] == "start":
                at_work.append(event)
            elif event["what"] == "end":
                at_work = [start for start in at_work if start["run"] != event["run"]]
    late = time.monotonic() - cancelled
    if at_work and late > harness.CANCEL_S + harness.STOP_S:
        return f"UNASKED: a task of {job} is at work {late:.1f} s after its cancelling was acknowledged"
    return None


harness.main(FOLDER, run, gateways=GATEWAYS)

"""Eight submissions of many steps, which can never be done, beside small ones."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from deployment import Requester, Worker, config, encode, main

POISON = 8
STEPS = 6500
FEW_STEPS = 5
SMALL = 80
FINISH_S = 14
ANSWER_S = 3.0
PATIENCE_S = 12
RETRIES = 4
RETRY_AFTER_S = 1
PAUSE_S = 0.5
IDLE_S = 3.0
WORKERS = 6
WORK = {"ms": 4000, "cpu": 100, "memMb": 100}
STEP = {"count": 2, "cpu": WORK["cpu"], "memMb": WORK["memMb"], "estimateMs": WORK["ms"]}
HOPELESS = {"cpu": 90000, "memMb": 1, "estimateMs": 9}


async def hand_in(requester, job, body, gateway):
    """Submits with up to `RETRIES` further attempts. Returns whether it was accepted."""
    for _ in range(1 + RETRIES):
        answer = await requester.call("POST", job, body, gateway=gateway, limit=ANSWER_S)
        if answer and answer[0] == 200:
            return True
        gateway = 1 - gateway
        await asyncio.sleep(RETRY_AFTER_S)
    return False


async def ask(requester, job, end):
    """Asks for a submission at both gateways in turn until it is answered; `None` if it isn't."""
    gateway = 0
    while time.monotonic() < end:
        answer = await requester.call("GET", job, gateway=gateway, limit=ANSWER_S)
        if answer and answer[0] in (200, 410):
            return answer[1].get("state", "unknown")
        gateway = 1 - gateway
        await asyncio.sleep(1)
    return None


def idle_since(runs, job, start):
    """Since when no task of the submission has been at work, from `start` on."""
    ends = [run.ended or time.monotonic() for run in runs.values() if run.task.startswith(job)]
    return max(ends + [start])


async def case(deployment, record, trouble):
    await deployment.run(config())
    runs = {}
    for at in range(WORKERS):
        Worker(deployment, f"w-{at}", f"{deployment.net}.{at + 201}:8080", runs, quiet=True)
    await asyncio.sleep(2)
    requester = Requester(deployment)
    known = [f"{0x100 + at:016x}" for at in range(SMALL)]
    for job in known:
        await requester.submit(job, WORK, [STEP, {**STEP, "after": [0]}])
    steps = [HOPELESS] * (STEPS if trouble else FEW_STEPS)
    body = {"spec": "{}", "steps": steps}
    record(f"{POISON} submissions of {len(steps)} steps have {len(encode(body))} bytes each")
    accepted = 0
    for at in range(POISON):
        if not await hand_in(requester, f"{0x900 + at:016x}", body, at % 2):
            break
        accepted += 1
        await asyncio.sleep(PAUSE_S)
    record(f"{accepted} of them were accepted")
    await asyncio.sleep(FINISH_S)
    start = time.monotonic()
    states = await asyncio.gather(*(ask(requester, job, start + PATIENCE_S) for job in known))
    shown = {state: states.count(state) for state in set(states)}
    record(f"{len(known)} small submissions were accepted; asked for {FINISH_S} s later: {shown}")
    await asyncio.sleep(IDLE_S + 2)
    used = sum(run.cpu for run in runs.values() if run.ended is None)
    record(f"{used} of {WORKERS * 16000} thousandths of a core are in use")
    stuck = []
    for job, state in zip(known, states):
        idle = time.monotonic() - idle_since(runs, job, start)
        if state != "completed" and idle > IDLE_S:
            stuck.append(job)
            record(f"{job} is {state or 'not answered'}, and has had nothing running for {idle:.1f} s")
    if stuck:
        return f"LOST: {len(stuck)} of {len(known)} accepted submissions stand still or get no answer"
    return None


if __name__ == "__main__":
    sys.exit(main(case, __file__))

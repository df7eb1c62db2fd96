"""A worker that speaks PROTOCOL.md: heartbeats, leases, generation numbers, starts and stops.

Its argument is a JSON object with its name and what it has. It writes what it sees to a file, a JSON object a
line, and runs until it is killed. The text of a submission says how its tasks behave: `ms` is how long a task
works, `fail` makes it end as failed, and `last` makes it run until it is stopped.
"""

import http.client
import json
import sys
import time

SETTINGS = json.loads(sys.argv[1])
EVENTS = open(SETTINGS["events"], "a")
START = time.monotonic()
BORN = int(time.time() * 1000)
BEAT_S = 1.5
AFTER_END_S = 0.05
MAX_RESPONSE = 4 << 20
HOLD_MOST_S = 10.0


def see(what, **details):
    event = {"at": round(time.monotonic() - SETTINGS["began"], 4), "worker": SETTINGS["name"], "what": what, **details}
    EVENTS.write(json.dumps(event) + "\n")
    EVENTS.flush()


class Worker:
    def __init__(self):
        self.sequence = 0
        self.ends = 0
        self.finished = []
        # By task: run, what it needs, when it is done (None if it lasts), how it ends, when it started.
        self.running = {}
        # By task: the highest run that has ended or was stopped here.
        self.over = {}
        self.lease = 0.0
        self.token = 0
        self.at = 0
        self.home = None

    def end(self, task, run, how):
        self.running.pop(task, None)
        self.over[task] = max(run, self.over.get(task, 0))
        self.ends += 1
        self.finished.append([self.ends, task, run, how, ""])
        see("end", task=task, run=run, how=how)

    def pass_time(self):
        now = time.monotonic()
        for task, row in list(self.running.items()):
            done_at, how = row["done"], row["how"]
            if now >= self.lease and (done_at is None or done_at > self.lease):
                self.end(task, row["run"], "lapsed")
            elif done_at is not None and done_at <= now:
                self.end(task, row["run"], how)

    def body(self):
        now = time.monotonic()
        running = []
        for task, row in sorted(self.running.items()):
            length = row["length"]
            percent = 100 if length is None else min(99, int(100 * (now - row["began"]) / length))
            running.append([task, row["run"], "", percent, 0])
        return {
            "service": SETTINGS["service"], "address": SETTINGS["address"], "zone": SETTINGS["zone"], "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "born": BORN,
            "capacity": {"cpu": SETTINGS["cpu"], "memMb": SETTINGS["mem"], "gpu": 0}, "labels": SETTINGS["labels"],
            "clockMs": int((now - START) * 1000), "seqNum": self.sequence, "running": running,
            "finished": self.finished[:500],
        }

    def used(self):
        return sum(row["cpu"] for row in self.running.values())

    def apply(self, answer, sent):
        token = answer.get("fenceToken", 0)
        if token < self.token:
            return BEAT_S
        self.token = token
        acknowledged = answer.get("ackSeq", 0)
        for row in [row for row in self.finished if row[0] <= acknowledged]:
            see("acknowledged", task=row[1], run=row[2], how=row[3])
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        for task, run in answer.get("stopTasks", []):
            row = self.running.get(task)
            if row is not None and row["run"] == run:
                self.end(task, run, "stopped")
            else:
                self.over[task] = max(run, self.over.get(task, 0))
        hold = answer.get("holdMs")
        if hold is None:
            return answer.get("retryAfterMs", 1000 * BEAT_S) / 1000
        self.lease = max(self.lease, sent + min(hold / 1000, HOLD_MOST_S))
        for task, run, text, _saved, *_ticket in answer.get("startTasks", []):
            self.start(task, run, text)
        return answer.get("retryAfterMs", 1000 * BEAT_S) / 1000

    def start(self, task, run, text):
        if task in self.running and self.running[task]["run"] >= run:
            return
        behaviour = json.loads(text)
        cpu = behaviour.get("cpu", 0)
        now = time.monotonic()
        if run <= self.over.get(task, 0) or self.used() + cpu > SETTINGS["cpu"]:
            self.end(task, run, "refused")
            return
        length = None if behaviour.get("last") else behaviour.get("ms", 500) / 1000
        self.running[task] = {
            "run": run, "cpu": cpu, "length": length, "began": now,
            "done": None if length is None else now + length, "how": "failed" if behaviour.get("fail") else "done",
        }
        see("start", task=task, run=run, token=self.token)

    def beat(self):
        """Sends a heartbeat. Returns how long to wait until the next one."""
        self.pass_time()
        self.sequence += 1
        address = self.home or tuple(SETTINGS["controllers"][self.at % len(SETTINGS["controllers"])])
        body = json.dumps(self.body())
        see("beat")
        sent = time.monotonic()
        for _ in range(3):
            connection = http.client.HTTPConnection(*address, timeout=1.0)
            try:
                connection.request("PUT", f"/hickorylink/instances/{SETTINGS['name']}", body=body,
                                   headers={"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read()
            except (OSError, http.client.HTTPException):
                break
            finally:
                connection.close()
            if time.monotonic() - sent > 1.0 or len(text) > MAX_RESPONSE:
                break
            if response.status == 307:
                host, port = response.getheader("Location").split("/")[2].split(":")
                address = (host, int(port))
                continue
            if response.status // 100 != 2:
                break
            answer = json.loads(text or b"{}")
            home = answer.get("heartbeatAddr")
            if home:
                host, port = home.split(":")
                self.home = (host, int(port))
            self.pass_time()
            return self.apply(answer, sent)
        self.home = None
        self.at += 1
        return 0.1

    def run(self):
        see("born", born=BORN)
        while True:
            listed = self.ends
            until = time.monotonic() + min(self.beat(), BEAT_S)
            while time.monotonic() < until:
                self.pass_time()
                if self.ends > listed:
                    until = min(until, time.monotonic() + AFTER_END_S)
                    listed = self.ends
                time.sleep(min(0.01, max(0.0, until - time.monotonic())))


Worker().run()

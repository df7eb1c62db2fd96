"""Stand-ins for the platform, workers and clients, and a small deployment of the real programs.

Python's standard library only. Everything runs on loopback addresses and the real clock.
"""

import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

# The bounds of the installation kowhai-fold that the settings and the checks use.
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "graceS": 6, "configApplyMs": 2000, "holdMaxMs": 10000,
    "stopMs": 900, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
    "drainMs": 2000, "recoverS": 12, "saveS": 0.5, "restoreMs": 250, "leaseMs": 3000,
}

HEARTBEAT_S = 1.5
RESPONSE_LIMIT_S = 1.0
RESPONSE_LIMIT_BYTES = 4 << 20
MAX_ENDED_ROWS = 500
GANG_WAIT_S = 3.0

HOST = "desk.example"
SERVICE = "desk"


class Record:
    """The file `record.txt` of a case: one line of JSON for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, what, **fields):
        at = round(time.monotonic() - self.start, 3)
        with self.lock:
            self.file.write(json.dumps({"at": at, "what": what, **fields}) + "\n")


def free_port(hosts):
    """A port that is free on all of these addresses."""
    for _ in range(200):
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue
    raise OSError("no free port")


def lookup(settings, path):
    value = settings
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            value = None
    return value


def fill(template, settings):
    """Fills in the placeholders `{{a.b}}` and `{{a.b|json}}` of a settings template."""

    def replace(match):
        value = lookup(settings, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", replace, template)


class Node:
    """A process of the system."""

    def __init__(self, role, host, zone):
        self.role, self.host, self.zone = role, host, zone
        self.process = None


class Deployment:
    """Controllers and gateways, started with the commands of the deploy file."""

    def __init__(self, record, controllers=3, gateways=2, net=1):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hickorylink-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = {}
        for role in deploy["roles"].values():
            self.roles["core" if "control" in role["serves"] else "edge"] = role
        self.nodes = []
        for at in range(controllers):
            self.nodes.append(Node("core", f"127.0.{net}.{at + 1}", "abc"[at % 3]))
        for at in range(gateways):
            self.nodes.append(Node("edge", f"127.0.{net}.{at + 51}", "abc"[at % 3]))
        hosts = [node.host for node in self.nodes]
        self.port, self.readiness, self.internal = (free_port(hosts) for _ in range(3))

    @property
    def controllers(self):
        return [(n.host, self.port) for n in self.nodes if n.role == "core"]

    @property
    def gateways(self):
        return [(n.host, self.port) for n in self.nodes if n.role == "edge"]

    def node(self, address):
        return next(n for n in self.nodes if n.host == address[0])

    def settings(self, node, bootstrap):
        core = node.role == "core"
        data = self.folder / f"data-{node.host}"
        if core:
            data.mkdir(exist_ok=True)
        listen = {"controlPlane": f"{node.host}:{self.port}"} if core else {
            "frontend": f"{node.host}:{self.port}",
            "readiness": f"{node.host}:{self.readiness}",
        }
        return {
            "nodeName": f"{node.role}-{node.host}", "role": node.role, "machineClass": node.role,
            "ip": node.host, "zone": node.zone, "region": "north", "listen": listen,
            "internalPorts": [self.internal, self.internal],
            "seeds": [f"{host}:{port}" for host, port in self.controllers[:3]],
            "bootstrap": bootstrap, "dataDir": str(data) if core else None,
            "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds": BOUNDS, "orders": "heartbeat",
            "faultTolerance": {"machines": 1, "zones": 1, "maxRegionFaults": 0},
        }

    def launch(self, node, bootstrap=False):
        role = self.roles[node.role]
        settings = self.settings(node, bootstrap)
        template = (ROOT / role["template"]).read_text()
        path = self.folder / f"settings-{node.host}"
        path.write_text(fill(template, settings))
        log = open(self.folder / f"log-{node.host}", "ab")
        words = role["run"].split()
        words[0] = str(ROOT / words[0])
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["HICKORYLINK_NODE_FILE"] = str(path)
        node.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.write("started", node=node.host, role=node.role)

    def start(self):
        for node in self.nodes:
            self.launch(node, bootstrap=True)

    def signal(self, node, number):
        self.record.write("signal", node=node.host, signal=signal.Signals(number).name)
        node.process.send_signal(number)

    def running(self):
        return [n.host for n in self.nodes if n.process and n.process.poll() is None]

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes:
            if node.process:
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log(self, host):
        return (self.folder / f"log-{host}").read_text(errors="replace")

    def operator(self, method, path, body=None, attempts=40):
        """An order of the operator: goes to another controller until the response is clear."""
        controllers = self.controllers
        for attempt in range(attempts):
            status, data = call(controllers[attempt % len(controllers)], method, path, body)
            self.record.write("operator", method=method, path=path, status=status)
            if status is not None and (status < 400 or status in (400, 409, 412, 413, 422)):
                return status, data
            time.sleep(min(0.1 * (attempt + 1), 0.5))
        return None, b""

    def configure(self, version, routes, services=(SERVICE,)):
        body = config(version, routes, services)
        return self.operator("PUT", "/hickorylink/config", body)


def config(version, routes, services):
    """A config in the form of the platform; each route is a dict with its differences."""
    usual = {
        "host": HOST, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 0,
        "service": SERVICE, "maxAttempts": 4, "slackFactor": 2.0,
    }
    return {
        "version": version,
        "routes": [{**usual, **route} for route in routes],
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
             "rejectsOverload": True, "standby": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def call(address, method, path, body=None, headers=None, timeout=1.0, limit=None, follow=2):
    """One call; returns its status and body, or None and the reason."""
    data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
    until = time.monotonic() + timeout
    for _ in range(follow + 1):
        left = until - time.monotonic()
        if left <= 0:
            return None, b"timeout"
        connection = http.client.HTTPConnection(*address, timeout=left)
        try:
            sent = {"Content-Type": "application/json", **(headers or {})}
            connection.request(method, path, data, sent)
            response = connection.getresponse()
            read = response.read() if limit is None else response.read(limit + 1)
            if time.monotonic() > until:
                return None, b"late"
            if limit is not None and len(read) > limit:
                return None, b"too large"
            location = response.getheader("Location")
            if response.status == 307 and location:
                host, port = location.removeprefix("http://").split("/")[0].rsplit(":", 1)
                address = (host, int(port))
                continue
            return response.status, read
        except (OSError, http.client.HTTPException) as error:
            return None, str(error).encode()
        finally:
            connection.close()
    return None, b"too many redirects"


class Client:
    """A requester. Its calls go to the gateways in turn."""

    def __init__(self, deployment, deadline_s=3.0):
        self.deployment, self.deadline_s, self.next = deployment, deadline_s, 0

    def call(self, method, path, body=None, gateway=None, timeout=None):
        gateways = self.deployment.gateways
        if gateway is None:
            gateway = self.next % len(gateways)
            self.next += 1
        timeout = timeout or self.deadline_s
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout * 1000))}
        status, data = call(gateways[gateway], method, path, body, headers, timeout, follow=0)
        self.deployment.record.write(
            "request", method=method, path=path, gateway=gateway, status=status,
            answer=data[:200].decode(errors="replace"))
        return status, data

    def submit(self, prefix, job, body, attempts=60):
        """Hands in a submission until an answer is clear; returns whether it was accepted."""
        for _ in range(attempts):
            status, _ = self.call("POST", prefix + job, body)
            if status is not None and 200 <= status < 300:
                return True
            if status is not None and 400 <= status < 500 and status not in (404, 429):
                return False
            time.sleep(0.25)
        return False

    def state(self, prefix, job):
        """The state of a submission, "410" if there is none, None if no answer came."""
        status, data = self.call("GET", prefix + job)
        if status == 200:
            return json.loads(data).get("state")
        return "410" if status == 410 else None


def twice(workers, calm_from=0.0):
    """The tasks that broke TWICE: a second run beside one that works, or a start after an end `done`
    that is taken note of then or later. In a calm an end counts as taken note of 100 ms after a worker
    has listed it, so it must be listed after `calm_from`, or the worker acknowledged to have no more
    to list of it."""
    broken, done, running = {}, {}, {}
    noted = {}
    for worker in workers:
        waiting = {(row[1], row[2]) for row in worker.finished}
        for end, at in worker.last_listed.items():
            noted[end] = at >= calm_from or end not in waiting
    events = sorted((event for worker in workers for event in worker.history), key=lambda e: e[0])
    for _, task, run, what in events:
        if what == "start":
            earlier = [r for r in done.get(task, ()) if noted.get((task, r))]
            if earlier or running.get(task):
                broken[task] = {"start": run, "ended done before": earlier,
                                "working then": sorted(running.get(task, ()))}
            running.setdefault(task, set()).add(run)
        elif not what.startswith("listed"):
            running.get(task, set()).discard(run)
            if what == "done":
                done.setdefault(task, []).append(run)
    return broken


class Run:
    def __init__(self, run, started, ends, how, needs):
        self.run, self.started, self.ends, self.how, self.needs = run, started, ends, how, needs
        self.stopped_at = None


class Gangs:
    """The gangs of all workers. The tasks of one run work from the moment when all of them are present,
    if they carry the same checkpoint, and end together."""

    def __init__(self, size, work_s):
        self.size, self.work_s, self.lock, self.gangs = size, work_s, threading.Lock(), {}

    def _gang(self, task, run):
        new = {"present": {}, "begun": None, "offset": 0, "over": None, "saved": ""}
        return self.gangs.setdefault((task.rsplit(".", 1)[0], run), new)

    def _save(self, gang, now):
        if gang["begun"] is not None and now > gang["begun"]:
            steps = gang["offset"] + int((now - gang["begun"]) / BOUNDS["saveS"])
            gang["saved"] = f"w{steps}" if steps else ""
        return gang["saved"]

    def join(self, task, run, saved):
        with self.lock:
            self._gang(task, run)["present"][task] = saved

    def leave(self, task, run):
        """A member has gone or is stopped; returns its checkpoint."""
        with self.lock:
            gang = self._gang(task, run)
            carried = gang["present"].pop(task, "")
            if gang["begun"] is None:
                return carried
            saved = self._save(gang, time.monotonic()) if gang["over"] is None else gang["saved"]
            gang["over"] = gang["over"] or "broken"
            return saved

    def poll(self, task, run):
        """How the gang stands ("waiting", "working", "done" or "broken"), and its checkpoint."""
        now = time.monotonic()
        with self.lock:
            gang = self._gang(task, run)
            values = set(gang["present"].values())
            if gang["begun"] is None:
                if len(gang["present"]) < self.size or len(values) != 1:
                    return "waiting", gang["present"].get(task, "")
                gang["saved"] = values.pop()
                gang["offset"] = int(gang["saved"][1:] or 0)
                gang["begun"] = now + (BOUNDS["restoreMs"] / 1000 if gang["saved"] else 0)
            left = self.work_s - gang["offset"] * BOUNDS["saveS"]
            if gang["over"] is None:
                self._save(gang, now)
                if now >= gang["begun"] + left:
                    gang["over"] = "done"
            return gang["over"] or "working", gang["saved"]


class Worker:
    """A worker that follows the platform's pages: leases, generation numbers, runs and ends.

    `plan(task, run, spec)` returns how long a run works, in seconds (None: it lasts), and how it
    ends. `needs(task)` returns the cpu and memory that a task asks for.
    """

    def __init__(self, record, name, address, controllers, plan, needs, zone="a", rack="r1-1",
                 cpu=16000, mem=64000, on_start=None, service=SERVICE, gangs=None):
        self.record, self.name, self.address, self.controllers = record, name, address, controllers
        self.plan, self.needs, self.on_start = plan, needs, on_start
        self.zone, self.rack, self.cpu, self.mem, self.service = zone, rack, cpu, mem, service
        self.gangs = gangs
        # Since when it drains, how long it still serves, and by how much a heartbeat that lists a new
        # end is held up on its way.
        self.draining, self.remaining_s, self.late_s = None, 0.0, 0.0
        self.lock = threading.Condition()
        self.life = 0
        self.alive = False
        self.cut_until = 0.0
        self.history = []
        # When each end was listed last, over all lives.
        self.last_listed = {}

    def boot(self):
        """Starts a new life, which knows nothing of the one before."""
        with self.lock:
            self.life += 1
            self.alive = True
            self.born = int(time.time() * 1000)
            self.clock = time.monotonic()
            self.sequence = self.last_end = self.fence = 0
            self.running, self.finished, self.barred = {}, [], {}
            self.lease, self.ended, self.listed = 0.0, False, 0
            self.lapses = []
            life = self.life
        self.record.write("worker up", worker=self.name, born=self.born)
        for duty in (self._beat_loop, self._work_loop):
            threading.Thread(target=duty, args=(life,), daemon=True).start()

    def crash(self):
        """Ends this life at once; everything that it runs is gone."""
        with self.lock:
            self.alive = False
            self.life += 1
            lost = list(self.running.items())
            self.running = {}
            self.lock.notify_all()
        self.record.write("worker crashed", worker=self.name, lost=[task for task, _ in lost][:50])
        for task, run in lost:
            if self.gangs:
                self.gangs.leave(task, run.run)
            self._note(task, run.run, "lost")

    def drain(self, remaining_s):
        """Reports from now on that it leaves, and that it serves for at least this time."""
        with self.lock:
            self.draining, self.remaining_s, self.ended = time.monotonic(), remaining_s, True
            self.lock.notify_all()
        self.record.write("worker drains", worker=self.name)

    def leave(self):
        """Says that it leaves, and exits."""
        for at in range(len(self.controllers)):
            status, _ = call(self.controllers[at], "DELETE", "/hickorylink/instances/" + self.name)
            self.record.write("worker leaves", worker=self.name, status=status)
            if status is not None and 200 <= status < 300:
                break
        self.crash()

    def cut(self, seconds):
        """Cuts the worker off from all machines; it runs on. Nothing that was on its way arrives."""
        with self.lock:
            self.cut_until = time.monotonic() + seconds
        self.record.write("worker cut off", worker=self.name, seconds=seconds)

    def _call(self, to, path, body):
        until = time.monotonic() + RESPONSE_LIMIT_S
        if self.late_s and body["finished"]:
            self.record.write("heartbeat held up", worker=self.name, seconds=self.late_s,
                              finished=body["finished"])

            def arrive(late_s=self.late_s):
                time.sleep(late_s)
                status, data = call(to, "PUT", path, body)
                self.record.write("late heartbeat arrived", worker=self.name, status=status,
                                  answer=data[:200].decode(errors="replace"))

            threading.Thread(target=arrive, daemon=True).start()
        elif time.monotonic() >= self.cut_until:
            status, data = call(
                to, "PUT", path, body, timeout=RESPONSE_LIMIT_S, limit=RESPONSE_LIMIT_BYTES)
            if time.monotonic() >= self.cut_until:
                return status, data
        time.sleep(max(until - time.monotonic(), 0))
        return None, b"cut off"

    def _note(self, task, run, what):
        self.history.append((time.monotonic(), task, run, what))
        self.record.write("run", worker=self.name, task=task, run=run, event=what)

    def _end(self, task, how):
        run = self.running.pop(task)
        saved = self.gangs.leave(task, run.run) if self.gangs else ""
        self.barred[task] = max(self.barred.get(task, 0), run.run)
        self.last_end += 1
        self.finished.append([self.last_end, task, run.run, how, saved])
        self.ended = True
        self._note(task, run.run, how)
        self.lock.notify_all()

    def _work_loop(self, life):
        while True:
            with self.lock:
                if self.life != life:
                    return
                now = time.monotonic()
                lapsed = now >= self.lease
                if lapsed and self.lease > 0 and self.lapses[-1:] != [self.lease]:
                    self.lapses.append(self.lease)
                    self.record.write("lease lapsed", worker=self.name, runs=len(self.running))
                for task, run in list(self.running.items()):
                    if run.stopped_at is not None and now >= run.stopped_at:
                        self._end(task, "stopped")
                    elif run.ends is not None and now >= run.ends:
                        self._end(task, run.how)
                    elif lapsed:
                        self._end(task, "lapsed")
                    elif self.gangs:
                        stands, _ = self.gangs.poll(task, run.run)
                        if stands in ("done", "broken"):
                            self._end(task, stands)
                        elif stands == "waiting" and now >= run.started + GANG_WAIT_S:
                            self._end(task, "alone")
            time.sleep(0.01)

    def _report(self, now):
        self.sequence += 1
        running = []
        for task, run in self.running.items():
            share = 100 if run.ends is None else 100 * (now - run.started) / (run.ends - run.started)
            saved = self.gangs.poll(task, run.run)[1] if self.gangs else ""
            running.append([task, run.run, saved, min(int(share), 100), 0])
        rows = self.finished[:MAX_ENDED_ROWS]
        for number, task, run, how, _ in rows:
            self.last_listed[task, run] = now
            if number > self.listed:
                self.listed = number
                self._note(task, run, "listed " + how)
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "coldLeftMs": 0, "born": self.born,
            **({"state": "ready"} if self.draining is None else {
                "state": "draining", "remainingMs": max(
                    int((self.draining + self.remaining_s - now) * 1000), 0)}),
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0}, "labels": ["a", self.rack],
            "clockMs": int((now - self.clock) * 1000), "seqNum": self.sequence,
            "running": running, "finished": rows,
        }

    def _beat_loop(self, life):
        at, target = 0, None
        while True:
            with self.lock:
                if self.life != life:
                    return
                now = time.monotonic()
                self.ended = False
                body = self._report(now)
            to = target or self.controllers[at % len(self.controllers)]
            path = "/hickorylink/instances/" + self.name
            status, data = self._call(to, path, body)
            with self.lock:
                if self.life != life:
                    return
                wait = HEARTBEAT_S
                if status is not None and 200 <= status < 300:
                    answer = json.loads(data) if data.strip() else {}
                    if answer.get("heartbeatAddr"):
                        host, port = answer["heartbeatAddr"].rsplit(":", 1)
                        target = (host, int(port))
                    self._apply(answer, now)
                    wait = answer.get("retryAfterMs", HEARTBEAT_S * 1000) / 1000
                else:
                    self.record.write("heartbeat failed", worker=self.name, status=status,
                                      reason=data[:80].decode(errors="replace"))
                    target, at, wait = None, at + 1, 0.1
                until = time.monotonic() + wait
                while self.life == life and time.monotonic() < until:
                    if self.ended:
                        until = min(until, time.monotonic() + 0.05)
                        self.ended = False
                    self.lock.wait(max(until - time.monotonic(), 0))

    def _apply(self, answer, sent):
        if answer.get("fenceToken", 0) < self.fence:
            return
        self.fence = max(self.fence, answer.get("fenceToken", 0))
        acknowledged = answer.get("ackSeq", 0)
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        for task, run in answer.get("stopTasks", []):
            current = self.running.get(task)
            if current and current.run == run:
                if current.stopped_at is None:
                    current.stopped_at = time.monotonic() + 0.1
            elif not current or current.run < run:
                self.barred[task] = max(self.barred.get(task, 0), run)
        if "holdMs" not in answer:
            return
        hold = min(answer["holdMs"], BOUNDS["holdMaxMs"]) / 1000
        self.lease = max(self.lease, sent + hold)
        for row in answer.get("startTasks", []):
            self._start(*row[:4])

    def _start(self, task, run, spec, saved):
        current = self.running.get(task)
        if current and current.run >= run or run <= self.barred.get(task, 0):
            return
        needs = self.needs(task)
        used = [r.needs for r in self.running.values()]
        cpu, mem = (sum(n[at] for n in used) + needs[at] for at in (0, 1))
        now = time.monotonic()
        if current or cpu > self.cpu or mem > self.mem:
            self.barred[task] = max(self.barred.get(task, 0), run)
            self.last_end += 1
            self.finished.append([self.last_end, task, run, "refused", ""])
            self._note(task, run, "refused")
            return
        seconds, how = self.plan(task, run, spec)
        if self.gangs:
            self.gangs.join(task, run, saved)
        self.running[task] = Run(run, now, None if seconds is None else now + seconds, how, needs)
        self._note(task, run, "start")
        if saved or self.gangs:
            self.record.write("checkpoint", task=task, run=run, saved=saved)
        if self.on_start:
            self.on_start(self, task, run)


def main(case, folder):
    """Runs a case: `case(trouble, record, deployment list)` returns whether the rule held.

    Exits with 0 if it held, 1 if it was broken, and 2 if the case couldn't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    deployments = []
    code = 2

    def stop(*_):
        # `timeout` signals the whole group: a second signal must not interrupt the clean-up.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        held = case(trouble, record, deployments)
        code = 2 if held is None else 0 if held else 1
    except Exception as error:  # the case couldn't run
        record.write("the case couldn't run", error=repr(error))
        print(f"the case couldn't run: {error!r}")
    finally:
        for deployment in deployments:
            deployment.stop()
    record.write("result", exit=code, trouble=trouble)
    record.file.flush()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[code])
    sys.stdout.flush()
    os._exit(code)

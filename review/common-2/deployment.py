"""A small deployment of hickorylink on loopback addresses, for the cases of the second review.

Controllers and gateways are started with the commands and the settings templates of the deploy file.
Workers and requesters are stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
PREFIX = "/fold/"
SERVICE = "desk"
HEARTBEAT_S = 1.5
RESPONSE_LIMIT_S = 1.0
MAX_LISTED_ENDS = 500
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "graceS": 6, "holdMaxMs": 10000, "stopMs": 900,
    "cancel_ms": 3000, "status_s": 120,
}


class Unusable(Exception):
    """The case can't run here."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def http(address, method, path, headers=(), body=b"", limit=5.0):
    """One HTTP/1.1 request on a connection of its own. Returns status, headers and body."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            found = {}
            while (line := (await reader.readline()).strip()):
                name, _, value = line.decode().partition(":")
                found[name.strip().lower()] = value.strip()
            length = int(found.get("content-length", 0))
            return status, found, await reader.readexactly(length)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit)


FAILURES = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError)


def encode(body):
    """A body without blanks."""
    return json.dumps(body, separators=(",", ":")).encode()


def fill(template, fields):
    """Fills in a settings template as the platform does; the project's templates need only values."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


def read_roles(text):
    """The roles of the deploy file, whose values are texts and numbers on one line each."""
    roles, role = {}, None
    for line in text.splitlines():
        if line.startswith("["):
            role = roles.setdefault(line.strip("[] ").rpartition(".")[2], {})
        elif role is not None and "=" in line:
            name, _, value = line.partition("=")
            role[name.strip()] = value.strip().strip('"')
    return roles


class Process:
    """A controller or a gateway."""

    def __init__(self, role, name, ip, zone):
        self.role, self.name, self.ip, self.zone = role, name, ip, zone
        self.child = None

    def signal(self, number):
        self.child.send_signal(number)


class Deployment:
    """Controllers and gateways, each with an address of its own."""

    def __init__(self, record, controllers=3, gateways=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="hickorylink-review-"))
        self.roles = read_roles((ROOT / "deploy/system.toml").read_text())
        self.net = f"127.{random.randint(16, 200)}.{random.randint(1, 250)}"
        self.ports = free_ports(f"{self.net}.1", 5)
        self.controllers = [
            Process("controller", f"core-{at}", f"{self.net}.{at + 1}", f"zone-{at % 3}")
            for at in range(controllers)
        ]
        self.gateways = [
            Process("gateway", f"edge-{at}", f"{self.net}.{at + 101}", f"zone-{at % 3}")
            for at in range(gateways)
        ]
        program = ROOT / self.roles["controller"]["run"].split()[0]
        if not program.exists():
            raise Unusable(f"{program.name} isn't built")

    def address(self, process):
        """The address for callers of a gateway, or for workers and operators of a controller."""
        return f"{process.ip}:{self.ports[0]}"

    def control(self):
        return [self.address(process) for process in self.controllers]

    def fields(self, process):
        listen = {"controlPlane": self.address(process)}
        if process.role == "gateway":
            listen = {"frontend": self.address(process), "readiness": f"{process.ip}:{self.ports[1]}"}
        data = self.folder / process.name
        data.mkdir(exist_ok=True)
        return {
            "nodeName": process.name, "ip": process.ip, "zone": process.zone, "listen": listen,
            "internalPorts": [self.ports[2], self.ports[2] + 15], "seeds": self.control()[:3],
            "bootstrap": True, "dataDir": str(data), "faultTolerance": {"machines": 1, "zones": 1},
            "bounds": BOUNDS,
        }

    async def start(self, process):
        role = self.roles[process.role]
        settings = self.folder / f"{process.name}.json"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(fill(template, self.fields(process)))
        words = role["run"].split()
        log = open(self.folder / f"{process.name}.log", "ab")
        process.child = await asyncio.create_subprocess_exec(
            str(ROOT / words[0]), *words[1:], cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HICKORYLINK_NODE_FILE": str(settings)},
        )
        log.close()
        self.record(f"process {process.name} starts at {process.ip}")

    async def kill(self, process):
        """Kills a process that this deployment has started."""
        if process.child and process.child.returncode is None:
            process.child.kill()
            await process.child.wait()

    async def run(self, config):
        for process in self.controllers + self.gateways:
            await self.start(process)
        await self.configure(config)
        for gateway in self.gateways:
            await until(20, lambda: self.is_ready(gateway), f"{gateway.name} isn't ready")

    async def is_ready(self, gateway):
        try:
            answer = await http(f"{gateway.ip}:{self.ports[1]}", "GET", "/hickorylink/readyz")
        except FAILURES:
            return False
        return answer[0] == 200

    async def configure(self, config):
        body = json.dumps(config).encode()

        async def accepted():
            for to in self.control():
                status = await self.operator(to, "PUT", body)
                if status == 200:
                    return True
            return False

        await until(20, accepted, "the config isn't accepted")
        self.record(f"operator: config {config['version']} is acknowledged")

    async def operator(self, to, method, body=b""):
        for _ in range(3):
            try:
                status, headers, _ = await http(to, method, "/hickorylink/config", (), body, 1.0)
            except FAILURES:
                return None
            if status != 307:
                return status
            to = headers["location"].removeprefix("http://").partition("/")[0]
        return None

    def leader(self):
        """The controller with the highest epoch in the logs."""
        epochs = []
        for process in self.controllers:
            for line in (self.folder / f"{process.name}.log").read_text().splitlines():
                if "this controller leads" in line:
                    epochs.append((json.loads(line)["epoch"], process.name))
        name = max(epochs)[1]
        return next(process for process in self.controllers if process.name == name)

    async def stop(self):
        for process in self.controllers + self.gateways:
            if process.child and process.child.returncode is None:
                process.child.send_signal(signal.SIGCONT)
            await self.kill(process)
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(ip, count):
    """The first of a range of free ports for the callers, the checks and the peers."""
    found = []
    for _ in range(count):
        with socket.socket() as probe:
            probe.bind((ip, 0))
            found.append(probe.getsockname()[1])
    return found


async def until(limit, condition, failure):
    end = time.monotonic() + limit
    while not await condition():
        if time.monotonic() > end:
            raise Unusable(failure)
        await asyncio.sleep(0.1)


def config(version=1, max_attempts=4, queues=(("fold", HOST, PREFIX),)):
    routes = [
        {
            "name": name, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
            "targetLatencyMs": 1000, "priority": 0, "service": SERVICE,
            "maxAttempts": max_attempts, "slackFactor": 2.0,
        }
        for name, host, prefix in queues
    ]
    service = {
        "name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
        "rejectsOverload": True, "standby": False,
    }
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": [service], "limits": limits}


class Requester:
    """Submits, reads and cancels submissions."""

    def __init__(self, deployment):
        self.deployment, self.record = deployment, deployment.record

    async def call(self, method, job, body=None, gateway=0, limit=3.0):
        """One call; `None` if there is no answer in time."""
        to = self.deployment.gateways[gateway]
        content = encode(body) if body is not None else b""
        headers = [
            ("Host", HOST), ("Content-Type", "application/json"),
            ("X-Deadline-Ms", str(int(limit * 1000))),
        ]
        path = PREFIX + job
        try:
            answer = await http(
                self.deployment.address(to), method, path, headers, content, limit
            )
        except FAILURES as error:
            self.record(f"requester: {method} {path} at {to.name} -> no answer ({error!r})")
            return None
        shown = answer[2].decode(errors="replace")[:80]
        self.record(f"requester: {method} {path} at {to.name} -> {answer[0]} {shown}")
        is_json = answer[1].get("content-type") == "application/json"
        return answer[0], json.loads(answer[2]) if is_json and answer[2] else {}

    async def submit(self, job, work, steps, **options):
        """Submits until the submission is accepted."""
        body = {"spec": json.dumps(work), "steps": steps}
        for at in range(10):
            answer = await self.call("POST", job, body, gateway=at % len(self.deployment.gateways))
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.3)
        raise Unusable(f"{job} isn't accepted")

    async def state(self, job):
        answer = await self.call("GET", job)
        return answer[1].get("state") if answer and answer[0] == 200 else None


class Run:
    """A run of a task on a worker."""

    def __init__(self, worker, task, number, work, saved):
        self.worker, self.task, self.number, self.saved = worker, task, number, saved
        self.work_s, self.cpu, self.mem = work["ms"] / 1000, work["cpu"], work["memMb"]
        self.lasts = work.get("lasts", False)
        self.started, self.ended, self.how = time.monotonic(), None, None
        self.listed_at = self.noted_at = None

    def percent(self):
        if self.lasts:
            return 100
        return min(99, int((time.monotonic() - self.started) / self.work_s * 100))


class Worker:
    """One life of a worker. `runs` collects the runs of all lives of all workers."""

    def __init__(self, deployment, name, address, runs, cpu=16000, mem=64000, quiet=False,
                 rack="r1"):
        self.deployment, self.record, self.quiet = deployment, deployment.record, quiet
        self.name, self.address, self.runs, self.labels = name, address, runs, ["a", rack]
        self.cpu, self.mem = cpu, mem
        self.born, self.started = time.time_ns() // 1_000_000, time.monotonic()
        self.sequence = self.ends = self.fence = 0
        self.running, self.highest, self.finished = {}, {}, []
        self.lease, self.lapses = 0.0, []
        self.cut = False
        self.wake = asyncio.Event()
        self.task = asyncio.create_task(self.live())
        self.record(f"worker {name} starts at {address}, born {self.born}")

    def crash(self):
        """Ends this life without a message; what it ran is gone."""
        self.task.cancel()
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), "crashed"
        self.record(f"worker {self.name} crashes with {sorted(self.running)[:8]}")
        self.running = {}

    def report(self):
        running = [
            [run.task, run.number, run.saved, run.percent(), run.cpu]
            for run in self.running.values()
        ]
        return {
            "service": SERVICE, "address": self.address, "zone": "zone-0", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "born": self.born,
            "clockMs": int((time.monotonic() - self.started) * 1000), "seqNum": self.sequence,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0}, "labels": self.labels,
            "running": running, "finished": [row for row in self.finished[:MAX_LISTED_ENDS]],
        }

    async def live(self):
        nodes = self.deployment.control()
        at, target = random.randrange(len(nodes)), None
        clock = asyncio.create_task(self.run_tasks())
        try:
            while True:
                to = target or nodes[at % len(nodes)]
                pause, target = await self.heartbeat(to, target)
                at += target is None
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), pause)
                    await asyncio.sleep(0.05)
                except asyncio.TimeoutError:
                    pass
        finally:
            clock.cancel()

    async def heartbeat(self, to, target):
        """Sends a heartbeat. Returns the pause after it and where the next one goes."""
        self.sequence += 1
        report, sent = self.report(), time.monotonic()
        ends = len(report["finished"])
        for row in report["finished"]:
            run = self.runs.get((self.name, self.born, row[1], row[2]))
            if run and run.listed_at is None:
                run.listed_at = sent
        if self.cut:
            await asyncio.sleep(RESPONSE_LIMIT_S)
            return 0.1, None
        body = json.dumps(report).encode()
        for _ in range(3):
            try:
                path = f"/hickorylink/instances/{self.name}"
                left = RESPONSE_LIMIT_S - (time.monotonic() - sent)
                status, headers, answer = await http(to, "PUT", path, (), body, max(left, 0.001))
            except FAILURES:
                return 0.1, None
            if status != 307:
                break
            to = headers["location"].removeprefix("http://").partition("/")[0]
        if status // 100 != 2 or time.monotonic() - sent > RESPONSE_LIMIT_S or self.cut:
            return 0.1, None
        orders = json.loads(answer or b"{}")
        acked = self.finished[0][0] - 1 if self.finished else self.ends
        self.obey(orders, sent)
        if not self.quiet and (ends or orders.get("startTasks") or orders.get("stopTasks")):
            self.record(
                f"worker {self.name} #{self.sequence}: {len(report['running'])} running, "
                f"{ends} ends listed -> ackSeq {orders.get('ackSeq')} (before {acked}), "
                f"{len(orders.get('startTasks', []))} starts, {len(orders.get('stopTasks', []))} "
                f"stops, holdMs {orders.get('holdMs')}, fence {orders.get('fenceToken')}"
            )
        return orders.get("retryAfterMs", HEARTBEAT_S * 1000) / 1000, orders.get("heartbeatAddr", to)

    def obey(self, orders, sent):
        fence = orders.get("fenceToken", 0)
        if fence < self.fence:
            return
        self.fence = fence
        acked = orders.get("ackSeq", 0)
        for row in self.finished:
            run = self.runs.get((self.name, self.born, row[1], row[2]))
            if row[0] <= acked and run:
                run.noted_at = time.monotonic()
        self.finished = [row for row in self.finished if row[0] > acked]
        hold = orders.get("holdMs")
        if hold is not None:
            self.lease = max(self.lease, sent + min(hold, BOUNDS["holdMaxMs"]) / 1000)
        for task, number in orders.get("stopTasks", []):
            run = self.running.get(task)
            if run and run.number == number:
                self.end(run, "stopped")
            self.highest[task] = max(self.highest.get(task, 0), number)
        for row in orders.get("startTasks", []) if hold is not None else []:
            self.start(*row[:4])

    def start(self, task, number, spec, saved):
        if task in self.running and self.running[task].number == number:
            return
        work = json.loads(spec)
        run = Run(self, task, number, work, saved)
        used_cpu = sum(other.cpu for other in self.running.values())
        used_mem = sum(other.mem for other in self.running.values())
        fits = used_cpu + run.cpu <= self.cpu and used_mem + run.mem <= self.mem
        if number <= self.highest.get(task, 0) or task in self.running or not fits:
            self.ends += 1
            self.finished.append([self.ends, task, number, "refused", ""])
            return
        self.runs[(self.name, self.born, task, number)] = run
        self.running[task] = run

    def end(self, run, how):
        del self.running[run.task]
        run.ended, run.how = time.monotonic(), how
        self.ends += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.finished.append([self.ends, run.task, run.number, how, run.saved])
        self.wake.set()

    async def run_tasks(self):
        """Ends the tasks that are done, and all of them when the lease runs out."""
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            # A lapse is noted once; the lease may be renewed after it.
            if now >= self.lease > max(self.lapses, default=0.0):
                self.lapses.append(now)
            for run in list(self.running.values()):
                if now >= self.lease:
                    self.end(run, "lapsed")
                elif not run.lasts and now - run.started >= run.work_s:
                    self.end(run, "done")


def overlaps(runs):
    """Pairs of runs of one task that were at work at the same time."""
    by_task = {}
    for run in runs.values():
        by_task.setdefault(run.task, []).append(run)
    pairs = []
    for same in by_task.values():
        same.sort(key=lambda run: run.started)
        for first, second in zip(same, same[1:]):
            if first.ended is None or first.ended > second.started:
                pairs.append((first, second))
    return pairs


def noted_without_lapse(run):
    """Whether the end of a run was acknowledged, and its worker's lease held from the end until then."""
    if run.noted_at is None:
        return False
    return not any(run.ended <= lapse <= run.noted_at for lapse in run.worker.lapses)


def started_after_done(runs):
    """Pairs of a run that has ended `done` and a later run of the same task."""
    by_task = {}
    for run in runs.values():
        by_task.setdefault(run.task, []).append(run)
    pairs = []
    for same in by_task.values():
        same.sort(key=lambda run: run.started)
        for at, first in enumerate(same):
            if first.how == "done":
                pairs += [(first, later) for later in same[at + 1:]]
    return pairs


def main(case, path, gateways=2):
    """Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(Path(path).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = None
        # The processes must not outlive a case that is told to end.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            deployment = Deployment(record, gateways=gateways)
            return await asyncio.wait_for(case(deployment, record, trouble), 110)
        finally:
            if deployment:
                await deployment.stop()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
        return 2
    verdict = f"broken: {broken}" if broken else "held"
    record(f"the rule was {verdict}" if broken else "the rule held")
    print(f"trouble {int(trouble)}: {verdict}")
    return 1 if broken else 0

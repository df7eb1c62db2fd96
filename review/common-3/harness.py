"""A small deployment on loopback addresses: the project's programs as processes, with stand-ins around them.

Only the standard library is used. Every address is a loopback address, and every process that is started here
is ended here.
"""

import atexit
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
HOST = "desk.example"
SERVICE = "desk"
ZONES = ["zone-a", "zone-b", "zone-c"]

# The bounds of the smallest installations (SYSTEM.md), in seconds.
CANCEL_S = 3.0
STOP_S = 0.9
VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0


# The signals at which a script ends what it has started, and leaves with status 2.
STOPPING = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)

# How long a script may run, in seconds; it may take 120 with its end.
MOST_S = 110


class CannotRun(Exception):
    """The case can't run on this machine."""


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def request(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own. Returns status, headers and body; None without an answer."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, body=data, headers={"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return response.status, headers, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Case:
    """One run of a case: its record, its folder, the deployment and the workers."""

    def __init__(self, folder, controllers=3, gateways=2):
        self.folder = folder
        self.began = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.workers = {}
        atexit.register(self.end)
        self.network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.commands = self.deploy_commands()
        port, peer, metrics, readiness = free_ports(4)
        self.ports = {"listen": port, "peer": peer, "metrics": metrics, "readiness": readiness}
        self.controllers = [(f"{self.network}.{at + 1}", port) for at in range(controllers)]
        self.gateways = [(f"{self.network}.{at + 101}", port) for at in range(gateways)]
        self.seeds = self.controllers[:3]
        self.members = {}
        self.note(f"TROUBLE={int(self.trouble)}, {controllers} controllers, {gateways} gateways")
        for at in range(controllers):
            self.start_controller(at, bootstrap=True)
        for at in range(gateways):
            self.start_gateway(at)

    # Records.

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        with self.lock:
            self.record_file.write(line + "\n")
            self.record_file.flush()
        print(line, flush=True)

    # The project's programs.

    def deploy_commands(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as file:
            roles = re.findall(r'\[roles\.(\w+)\][^\[]*?^run = "([^"]+)"', file.read(), re.MULTILINE)
        commands = {}
        for name, run in roles:
            words = run.split()
            program = os.path.join(REPOSITORY, words[0])
            if not os.access(program, os.X_OK):
                raise CannotRun(f"{words[0]} isn't built")
            commands[name] = [program, *words[1:]]
        return commands

    def launch(self, name, role, settings):
        path = os.path.join(self.temporary, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.temporary, f"{name}.log"), "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["HICKORYLINK_NODE_FILE"] = path
        process = subprocess.Popen(self.commands[role], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.processes.append(process)
        self.members[name] = process
        return process

    def start_controller(self, at, bootstrap=False):
        ip, _ = self.controllers[at]
        name = f"core-{at + 1}"
        data = os.path.join(self.temporary, f"data-{at + 1}")
        os.makedirs(data, exist_ok=True)
        return self.launch(name, "controller", {
            "name": name, "centre": ZONES[at % 3], "listen": f"{ip}:{self.ports['listen']}",
            "metrics": f"{ip}:{self.ports['metrics']}",
            "seeds": [f"{host}:{port}" for host, port in self.seeds], "peer_port": self.ports["peer"],
            "founding": bootstrap, "data": data, "losses": 1, "centres": ZONES, "lease_most_ms": 10000,
            "retain_s": 120, "grace_s": 6, "memory_mb": 256, "max_fds": 4096})

    def start_gateway(self, at):
        ip, _ = self.gateways[at]
        name = f"edge-{at + 1}"
        return self.launch(name, "gateway", {
            "name": name, "centre": ZONES[at % 3], "listen": f"{ip}:{self.ports['listen']}",
            "readiness": f"{ip}:{self.ports['readiness']}", "metrics": f"{ip}:{self.ports['metrics']}",
            "seeds": [f"{host}:{port}" for host, port in self.seeds], "peer_port": self.ports["peer"],
            "grace_s": 6, "memory_mb": 260, "max_fds": 4100})

    def signal(self, name, number):
        self.note(f"{name} gets {signal.Signals(number).name}")
        self.members[name].send_signal(number)

    def end(self):
        """Ends all processes that were started here."""
        for number in STOPPING:
            signal.signal(number, signal.SIG_IGN)
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.processes = []
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.temporary, ignore_errors=True)

    # The operator.

    def put_config(self, version, routes, services=(SERVICE,), within=15.0):
        """Sends a config as the operator does: to one controller after the other, following redirects."""
        body = {
            "version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                          "rejectsOverload": True, "standby": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        names = [route["name"] for route in routes]
        until = time.monotonic() + within
        at = 0
        while time.monotonic() < until:
            address = self.controllers[at % len(self.controllers)]
            at += 1
            for _ in range(3):
                answer = request(address, "PUT", "/hickorylink/config", body, timeout=1.0)
                if answer is None or answer[0] != 307:
                    break
                host, port = answer[1]["location"].split("/")[2].split(":")
                address = (host, int(port))
            if answer is not None and answer[0] == 200:
                self.note(f"config {version} with routes {names} is acknowledged")
                return
            if answer is not None and answer[0] < 500 and answer[0] != 307:
                raise CannotRun(f"config {version} is answered with {answer[0]}")
            time.sleep(0.1)
        raise CannotRun(f"config {version} isn't acknowledged in {within} s")

    def wait_ready(self, within=20.0):
        """Waits until all gateways take calls and the workers that run are heard."""
        until = time.monotonic() + within
        for ip, _ in self.gateways:
            while True:
                answer = request((ip, self.ports["readiness"]), "GET", "/hickorylink/readyz", timeout=1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun("a gateway doesn't get ready")
                time.sleep(0.1)

    # Requesters.

    def call(self, gateway, method, path, body=None, timeout=3.0, quiet=False):
        """A requester's call of a gateway. Returns status and decoded body; None without an answer."""
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout * 1000))}
        answer = request(self.gateways[gateway], method, path, body, headers, timeout)
        if answer is None:
            shown, result = "no answer", None
        else:
            status, _, text = answer
            try:
                decoded = json.loads(text)
            except ValueError:
                decoded = None
            shown, result = f"{status} {text.decode(errors='replace')[:120]}", (status, decoded)
        if not quiet:
            self.note(f"requester: {method} {path} at edge-{gateway + 1} -> {shown}")
        return result

    def submit(self, path, body, within=12.0):
        """Hands a submission in as requesters do: again, at any gateway, until it is accepted."""
        until = time.monotonic() + within
        at = 0
        while time.monotonic() < until:
            answer = self.call(at % len(self.gateways), "POST", path, body)
            at += 1
            if answer is not None and answer[0] == 200:
                return
            time.sleep(0.2)
        raise CannotRun(f"{path} isn't accepted")

    # Workers.

    def start_worker(self, name, **options):
        """Starts a worker in a process of its own, or again under the same name and address."""
        known = self.workers.get(name)
        if known is None:
            number = len(self.workers) + 1
            known = {"address": f"{self.network}.{200 + number}:8080", "lives": 0, "options": options}
            self.workers[name] = known
        known["lives"] += 1
        events = os.path.join(self.temporary, f"{name}.{known['lives']}.events")
        settings = {"name": name, "service": SERVICE, "address": known["address"], "events": events,
                    "controllers": self.controllers, "began": self.began, "zone": ZONES[0],
                    "cpu": 4000, "mem": 8000, "labels": ["a", "r1-1"], **known["options"]}
        process = subprocess.Popen([sys.executable, os.path.join(HERE, "worker.py"), json.dumps(settings)],
                                   stdin=subprocess.DEVNULL)
        self.processes.append(process)
        known["process"] = process
        self.note(f"worker {name} starts, life {known['lives']}")

    def kill_worker(self, name):
        self.workers[name]["process"].kill()
        self.workers[name]["process"].wait()
        self.note(f"worker {name} has crashed (SIGKILL)")

    def events(self):
        """What all workers have seen so far, in the order of time."""
        events = []
        for name, worker in self.workers.items():
            for life in range(1, worker["lives"] + 1):
                path = os.path.join(self.temporary, f"{name}.{life}.events")
                if not os.path.exists(path):
                    continue
                with open(path) as file:
                    for line in file:
                        if line.endswith("\n"):
                            events.append(json.loads(line))
        return sorted(events, key=lambda event: event["at"])

    def wait_event(self, check, within, what):
        """Waits for an event of a worker."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            for event in self.events():
                if check(event):
                    return event
            time.sleep(0.01)
        raise CannotRun(f"nothing seen in {within} s: {what}")

    def wait_beat(self, name, within=5.0):
        """Waits until a worker sends its next heartbeat."""
        now = time.monotonic() - self.began
        self.wait_event(lambda event: event["what"] == "beat" and event["worker"] == name and event["at"] > now, within,
                        f"{name} sends a heartbeat")

    def record_events(self):
        """Writes what the workers have seen to the record."""
        with self.lock:
            self.record_file.write("what the workers saw:\n")
            for event in self.events():
                if event["what"] == "beat":
                    continue
                rest = " ".join(f"{key}={value}" for key, value in event.items() if key not in ("at", "worker", "what"))
                self.record_file.write(f"{event['at']:8.3f} s  {event['worker']}: {event['what']} {rest}\n")
            self.record_file.flush()


def route(name, prefix, attempts=4, version_timeout=3000):
    """A route of the config, which is a queue."""
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": version_timeout,
            "targetLatencyMs": 1000, "priority": 0, "service": SERVICE, "maxAttempts": attempts, "slackFactor": 2.0}


def spec(**options):
    """The text of a submission, by which the stand-in worker knows how its tasks behave."""
    return json.dumps(options, separators=(",", ":"))


def new_id():
    """An identifier of a submission."""
    return f"{random.getrandbits(64):016x}"


def stop(number, _frame):
    """Leaves at a signal; what was started is ended by `atexit`."""
    print(f"the case was stopped by {signal.Signals(number).name}", flush=True)
    sys.exit(2)


def main(folder, run, **options):
    """Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    for number in STOPPING:
        signal.signal(number, stop)
    signal.alarm(MOST_S)
    case = None
    try:
        case = Case(folder, **options)
        broken = run(case)
        case.record_events()
        case.note(f"the rule is broken: {broken}" if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as error:  # Anything unexpected says nothing about the rule.
        code = 2
        text = str(error) if isinstance(error, CannotRun) else repr(error)
        if case is not None:
            case.record_events()
            case.note(f"the case can't run: {text}")
        else:
            print(f"the case can't run: {text}", file=sys.stderr)
    finally:
        if case is not None:
            case.end()
    sys.exit(code)

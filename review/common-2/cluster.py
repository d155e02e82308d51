"""Starts the programs of the deploy file as separate processes on loopback
addresses, with settings made from the templates in deploy/."""

import asyncio
import importlib.util
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

from executor import Executor
from http_calls import call

ROOT = os.path.normpath(os.path.join(os.path.dirname(
    os.path.abspath(__file__)), "..", ".."))
BINARY = os.path.join(ROOT, "target", "fulmarrockd")
HOST = "jobs.example"
PREFIX = "/q/"
RESTART_S = 0.3


def load_proxy():
    """Loads the project's loopback proxy."""
    spec = importlib.util.spec_from_file_location(
        "loopback_proxy", os.path.join(ROOT, "soak", "proxy.py"))
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.Proxy


class CannotRun(Exception):
    """The case can't run here."""


def lookup(values, name):
    for part in name.split("."):
        values = (values[int(part)] if isinstance(values, list)
                  else values.get(part))
    return values


def render(text, values):
    """Fills in a template as DEPLOY.md describes it, as far as the templates
    of this project need it."""
    def section(match):
        kind, name, inner = match.group(1), match.group(2), match.group(3)
        value = lookup(values, name)
        if kind == "^":
            return "" if value else inner
        if isinstance(value, list):
            return "".join(
                inner.replace("{{.|json}}", json.dumps(item)).replace(
                    "{{,}}", "," if i + 1 < len(value) else "")
                for i, item in enumerate(value))
        return inner if value else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}",
                  lambda m: json.dumps(lookup(values, m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(lookup(values, m.group(1))), text)


def find_free_ports():
    """Returns a second octet and a first port that nothing uses here."""
    for _ in range(50):
        octet = random.randint(10, 250)
        base = random.randint(20_000, 30_000)
        try:
            for port in range(base, base + 6):
                with socket.socket() as probe:
                    probe.bind((f"127.{octet}.1.1", port))
            return octet, base
        except OSError:
            continue
    raise CannotRun("no free ports")


class Node:
    """One process. It is started again a short time after it ends, as the
    platform does."""

    def __init__(self, cluster, role, index):
        group = {"control": 1, "entry": 2, "agent": 3}[role]
        self.cluster = cluster
        self.role = role
        self.name = f"{role}{index}"
        self.ip = f"127.{cluster.octet}.{group}.{index}"
        self.folder = os.path.join(cluster.folder, self.name)
        self.control = f"{self.ip}:{cluster.base + 2}"
        self.frontend = f"{self.ip}:{cluster.base + 2}"
        self.ready = f"{self.ip}:{cluster.base + 3}"
        # Behind a proxy, a process listens for messages at its own address, and
        # the proxy at the address that its peers know.
        self.proxy = None
        self.own_ip = f"127.{cluster.octet}.{group + 10}.{index}"
        self.process = None
        self.should_run = True
        self.is_closed = False
        self.starts = 0
        os.makedirs(os.path.join(self.folder, "data"))

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy", self.role + ".json")) as file:
            template = file.read()
        base = self.cluster.base
        text = render(template, {
            "ip": self.ip, "region": "region", "zone": "zone-a",
            "internal_ports": [base, base + 1],
            "data_dir": os.path.join(self.folder, "data"),
            "seeds": self.cluster.seeds, "bootstrap": self.starts == 0,
            "bind_addresses": {"control": self.control,
                               "frontend": self.frontend,
                               "ready": self.ready},
            "bounds": self.cluster.bounds})
        if self.proxy:
            text = text.replace(f'"peer_listen": "{self.ip}:',
                                f'"peer_listen": "{self.own_ip}:')
        if self.role == "control" and self.cluster.known_to_control:
            # Peers with a fixed address, so that the proxy stays in between.
            peers = json.dumps([{"node": node.ip, "peer": f"{node.ip}:{base}"}
                                for node in self.cluster.known_to_control])
            text = text.replace('"roles":', f'"entries": {peers},\n  "roles":')
        path = os.path.join(self.folder, "node.json")
        with open(path, "w") as file:
            file.write(text)
        return path

    async def run(self):
        while not self.is_closed:
            if not self.should_run:
                await asyncio.sleep(0.02)
                continue
            path = self.write_settings()
            self.starts += 1
            with open(os.path.join(self.folder, "log"), "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    BINARY, "--settings", path, stdout=log, stderr=log,
                    stdin=asyncio.subprocess.DEVNULL, cwd=ROOT)
            await self.process.wait()
            self.process = None
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self, grace_s):
        """SIGTERM, and SIGKILL after the grace; returns when it has ended."""
        process = self.process
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), grace_s)
        except asyncio.TimeoutError:
            process.kill()


class Observer:
    """Writes down what clients, executors and the operator see."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.broken = []
        self.running = {}
        self.ended_done = {}

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def fail(self, text):
        self.note("BROKEN " + text)
        self.broken.append(text)

    def on_start(self, executor, task, run, request):
        self.note(f"{executor.name}: starts {task} run {run}")
        self.running.setdefault(task, {})[executor.name] = run

    def on_end(self, executor, task, run, how, at_work):
        self.note(f"{executor.name}: {task} run {run} ends: {how}")
        self.running.get(task, {}).pop(executor.name, None)

    def on_stop_order(self, executor, task, run):
        self.note(f"{executor.name}: is told to stop {task} run {run}")

    def on_acked(self, executor, up_to):
        pass


class Cluster:
    """The processes and executors of one small deployment."""

    def __init__(self, observer, task_of, *, controls=3, entries=1, agents=4,
                 bounds=None, executor_options=None):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/fulmarrockd is not built")
        self.observer = observer
        self.octet, self.base = find_free_ports()
        self.folder = tempfile.mkdtemp(prefix="fulmarrock-review-")
        self.bounds = {"hold_max_ms": 10_000, "stop_ms": 400, **(bounds or {})}
        self.seeds = [f"127.{self.octet}.1.{i}:{self.base + 2}"
                      for i in range(1, min(controls, 3) + 1)]
        self.controls = [Node(self, "control", i + 1) for i in range(controls)]
        self.entries = [Node(self, "entry", i + 1) for i in range(entries)]
        self.agents = [Node(self, "agent", i + 1) for i in range(agents)]
        self.nodes = self.controls + self.entries + self.agents
        self.executors = [
            Executor(f"executor{i + 1}", f"{node.ip}:{self.base + 5}",
                     node.control, observer, task_of,
                     hold_max_ms=self.bounds["hold_max_ms"],
                     stop_ms=self.bounds["stop_ms"],
                     **(executor_options or {}))
            for i, node in enumerate(self.agents)]
        self.tasks = []
        self.version = 0
        self.known_to_control = []

    def add_proxies(self, nodes):
        """Puts a proxy before the nodes, on their messages from control."""
        proxy_class = load_proxy()
        for node in nodes:
            node.proxy = proxy_class(f"{node.ip}:{self.base}",
                                     f"{node.own_ip}:{self.base}")
            self.known_to_control.append(node)

    async def start(self):
        for node in self.known_to_control:
            await node.proxy.start()
        self.tasks = [asyncio.create_task(node.run()) for node in self.nodes]
        await asyncio.sleep(0.5)
        for executor in self.executors:
            await executor.start()
        await self.set_config({PREFIX: {}})
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            response = await self.client("GET", PREFIX)
            if response and response[0] == 200:
                # Executors have registered a little later.
                await asyncio.sleep(2.5)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment did not become ready")

    async def stop(self):
        for node in self.nodes:
            node.is_closed = True
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for executor in self.executors:
            executor.close()
        for node in self.known_to_control:
            node.proxy.server.close()
        for node in self.nodes:
            if node.process:
                await node.process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def config(self, version, queues):
        """A configuration; `queues`: fields of the route by path prefix."""
        return {"version": version, "routes": [
            {"name": "r" + prefix.strip("/"), "host": HOST,
             "path_prefix": prefix, "kind": "non_idempotent",
             "timeout_ms": 3000, "target_duration_ms": 250, "priority": 0,
             "service": "svc", "max_attempts": 4, "slack_factor": 2.0,
             **fields} for prefix, fields in queues.items()],
            "services": [{"name": "svc", "health_path": "/healthz",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "admission_control": True,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def operator(self, method, path, body=None, timeout_s=1.0):
        """One call of the operator, which follows a 307 twice."""
        for control in random.sample(self.controls, len(self.controls)):
            address = control.control
            for _ in range(3):
                response = await call(address, method, path, body, None,
                                      timeout_s)
                if not response or response[0] != 307:
                    break
                rest = response[1]["location"].split("://", 1)[1]
                address, path = rest.split("/", 1)
                path = "/" + path
            if response and (response[0] == 200 or
                             response[0] in (400, 409, 412, 413, 422)):
                return response
        return None

    async def set_config(self, queues, limit_s=20):
        """Sends the next version until it is acknowledged."""
        self.version += 1
        body = self.config(self.version, queues)
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            response = await self.operator("POST", "/Config.Replace", body)
            if response and response[0] == 200:
                self.observer.note(f"operator: version {self.version} "
                                   f"acknowledged, routes {list(queues)}")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("a configuration was not acknowledged")

    async def client(self, method, path, body=None, entry=0, deadline_ms=3000):
        """One attempt of a client."""
        return await call(self.entries[entry].frontend, method, path, body,
                          {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)},
                          deadline_ms / 1000 + 0.1)

    async def submit(self, job, body, prefix=PREFIX, attempts=5):
        """Submits a job as clients do; returns whether it was accepted."""
        for attempt in range(attempts):
            response = await self.client("POST", prefix + job, body,
                                         attempt % len(self.entries))
            status = response[0] if response else None
            self.observer.note(f"client: POST {prefix}{job}: {status}")
            if status and 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, prefix=PREFIX):
        response = await self.client("GET", prefix + job)
        if not response:
            return None
        if response[0] != 200:
            return str(response[0])
        return json.loads(response[2])["state"]


def new_id():
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case, limit_s=110):
    """Runs `case(observer)`, and exits with 1 if it found a broken rule, with 0
    if not, and with 2 if it couldn't run to its end."""
    observer = Observer(os.path.join(folder, "record.txt"))
    # Ended from outside, a case still ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        asyncio.run(asyncio.wait_for(case(observer), limit_s))
    except (Exception, KeyboardInterrupt) as error:
        observer.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in observer.broken:
        print("broken:", text)
    print("result:", "broken" if observer.broken else "held")
    sys.exit(1 if observer.broken else 0)

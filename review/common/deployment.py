"""Starts the programs of the deploy file as separate processes on loopback
addresses, with settings made from its templates, and ends them."""

import asyncio
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
import tomllib

from http_io import call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
RESTART_S = 0.3
HOST = "jobs.example"
PREFIX = "/jobs/"


def render(template, fields):
    """Fills in a template as DEPLOY.md says; only the forms that the templates
    of the project use."""
    def look_up(name, scope):
        if name == ".":
            return scope["."]
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def fill(text, scope):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            kind, name, inner = match.groups()
            value = look_up(name, scope)
            if kind == "^":
                return fill(inner, scope) if not value else ""
            if isinstance(value, list):
                parts = []
                for i, item in enumerate(value):
                    is_last = i + 1 == len(value)
                    parts.append(fill(inner.replace(
                        "{{,}}", "" if is_last else ","),
                        {**scope, ".": item}))
                return "".join(parts)
            return fill(inner, scope) if value else ""

        text = section.sub(expand, text)

        def put(match):
            name, _, form = match.group(1).partition("|")
            value = look_up(name, scope)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.@|]+)\}\}", put, text)

    return fill(template, fields)


class Node:
    """One daemon, restarted after a short delay whenever it ends, as the
    platform does."""

    def __init__(self, deployment, role, index):
        self.deployment = deployment
        self.role = role
        self.name = f"{role}{index}"
        group = {"control": 1, "entry": 2, "agent": 3}[role]
        self.ip = f"127.{deployment.net}.{group}.{index}"
        self.folder = os.path.join(deployment.folder, self.name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.process = None
        self.starts = 0
        self.should_run = True

    def address(self, port_name):
        return f"{self.ip}:{self.deployment.ports[port_name]}"

    def fields(self):
        ports = self.deployment.ports
        return {
            "node_name": self.name, "ip": self.ip, "zone": "z1",
            "region": "r1", "internal_ports": [ports["peer"], ports["http"]],
            "seeds": self.deployment.seeds, "bootstrap": self.starts == 0,
            "data_dir": os.path.join(self.folder, "data"),
            "bind_addresses": {"frontend": self.address("public"),
                               "control": self.address("public"),
                               "ready": self.address("ready")},
            "bounds": self.deployment.bounds}

    def write_settings(self):
        role = self.deployment.roles[self.role]
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), self.fields())
        path = os.path.join(self.folder, "node.settings")
        with open(path, "w") as file:
            file.write(text)
        return path

    async def keep_running(self):
        while True:
            if not self.should_run:
                await asyncio.sleep(0.02)
                continue
            path = self.write_settings()
            command = [path if word == "/etc/fulmarrock/node.toml" else word
                       for word in
                       self.deployment.roles[self.role]["run"].split()]
            self.starts += 1
            with open(os.path.join(self.folder, "log"), "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                    stdout=log, stderr=log,
                    env={name: os.environ[name]
                         for name in ("PATH", "HOME", "LANG")
                         if name in os.environ})
            await self.process.wait()
            self.deployment.record.write("ended", node=self.name,
                                         status=self.process.returncode)
            self.process = None
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self, stays_down=False):
        self.should_run = not stays_down
        self.signal(signal.SIGKILL)

    def read_log(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as file:
            return file.read()


class Deployment:
    def __init__(self, record, control=3, entries=1, agents=2, bounds=None):
        self.record = record
        self.bounds = bounds or {"hold_max_ms": 10000, "stop_ms": 400}
        self.net = random.randint(16, 200)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.nodes = [Node(self, role, i)
                      for role, count in (("control", control),
                                          ("entry", entries),
                                          ("agent", agents))
                      for i in range(1, count + 1)]
        self.ports = self.choose_ports(agents)
        self.seeds = [node.address("public") for node in self.of("control")][:3]
        self.version = 0
        self.tasks = []

    def of(self, role):
        return [node for node in self.nodes if node.role == role]

    def executor_address(self, index):
        return f"127.{self.net}.4.{index}:{self.ports['work']}"

    def choose_ports(self, agents):
        """Returns ports that are free on all addresses."""
        ips = [node.ip for node in self.nodes]
        ips += [f"127.{self.net}.4.{i}" for i in range(1, agents + 1)]
        names = ("peer", "http", "public", "ready", "work", "link")
        for _ in range(50):
            base = random.randint(15000, 30000)
            sockets = []
            try:
                for ip in ips:
                    for i in range(len(names)):
                        free = socket.socket()
                        free.setsockopt(socket.SOL_SOCKET,
                                        socket.SO_REUSEADDR, 1)
                        sockets.append(free)
                        free.bind((ip, base + i))
                return {name: base + i for i, name in enumerate(names)}
            except OSError:
                continue
            finally:
                for free in sockets:
                    free.close()
        raise OSError("no free ports")

    async def start(self):
        for node in self.nodes:
            self.tasks.append(asyncio.create_task(node.keep_running()))

    async def stop(self):
        """Ends all processes, also one that is just being started."""
        for _ in range(2):
            for node in self.nodes:
                node.should_run = False
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    async def call_control(self, method, path, body=None, first=0):
        """Picks among the members and follows two redirects."""
        members = [node.address("public") for node in self.of("control")]
        address = members[first % len(members)]
        for _ in range(3):
            response = await call(address, method, path, body)
            if not response or response[0] != 307:
                return response
            location = response[1]["location"][len("http://"):]
            address, _, rest = location.partition("/")
            path = "/" + rest
        return response

    def configuration(self, routes, services=("svc",), max_attempts=3):
        self.version += 1
        return {"version": self.version, "routes": [
            {"name": name, "host": HOST, "path_prefix": prefix,
             "kind": "non_idempotent", "timeout_ms": 3000,
             "target_duration_ms": 500, "priority": 0, "service": service,
             "max_attempts": max_attempts, "slack_factor": 2.0}
            for name, prefix, service in routes],
            "services": [
                {"name": name, "health_path": "/healthz",
                 "max_connections": 64, "protocol": "h1", "tls": False,
                 "admission_control": True, "standby": False}
                for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def configure(self, body, for_s=15.0):
        """Sends a configuration until it is acknowledged."""
        deadline = time.monotonic() + for_s
        i = 0
        while time.monotonic() < deadline:
            response = await self.call_control("POST", "/Config.Replace", body,
                                               i)
            if response and response[0] == 200:
                self.record.write("configured", version=body["version"])
                return True
            i += 1
            await asyncio.sleep(0.1)
        return False

    async def find_leader(self):
        """The member that answers a read without a redirect."""
        for node in self.of("control"):
            response = await call(node.address("public"), "GET", "/Config.Get")
            if response and response[0] == 200:
                return node
        return None

    # Clients.

    async def submit(self, job, steps, entry=0, prefix=PREFIX, for_s=20.0):
        """Hands a job in, again after no clear answer; returns the last
        status."""
        body = {"spec": f"job {job}", "steps": [
            {name: value for name, value in step.items() if name != "work_s"}
            for step in steps]}
        deadline = time.monotonic() + for_s
        while time.monotonic() < deadline:
            node = self.of("entry")[entry % len(self.of("entry"))]
            response = await call(
                node.address("public"), "POST", prefix + job, body,
                {"Host": HOST, "X-Deadline-Ms": "3000"}, 3.2)
            status = response[0] if response else None
            self.record.write("submitted", job=job, status=status)
            if status in (200, 400, 404):
                return status
            entry += 1
            await asyncio.sleep(0.3)
        return None

    async def state_of(self, job, prefix=PREFIX):
        response = await call(
            self.of("entry")[0].address("public"), "GET", prefix + job, None,
            {"Host": HOST, "X-Deadline-Ms": "1500"}, 1.7)
        state = None
        if response and response[0] == 200:
            state = json.loads(response[2])["state"]
        elif response:
            state = f"status {response[0]}"
        self.record.write("state", job=job, state=state)
        return state

    async def wait_for_end(self, job, for_s):
        """Asks for the state until it is final or the time is up."""
        deadline = time.monotonic() + for_s
        state = None
        while time.monotonic() < deadline:
            state = await self.state_of(job)
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.4)
        return state


# Exit status of a case that broke its rule. run.sh turns it into 1, and any
# other status but 0 into 2, so that an error is not taken for the fault.
BROKEN = 11


def run_case(case, record_path, limit_s=110):
    """Runs the coroutine function `case`, which returns 0 if the rule held, 1
    if it was broken, and 2 if the case could not run."""
    from record import Record

    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployments = []

    async def main():
        run = asyncio.ensure_future(case(record, has_trouble, deployments))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, run.cancel)
        try:
            return await asyncio.wait_for(run, limit_s)
        except asyncio.CancelledError:
            record.write("result", text="the case was ended from outside")
        except asyncio.TimeoutError:
            record.write("result", text="the case took too long")
        except Exception as error:  # pylint: disable=broad-except
            record.write("result", text=f"could not run: {error!r}")
        finally:
            for deployment in deployments:
                await deployment.stop()
        return 2

    status = asyncio.run(main())
    print({0: "the rule held", 1: "the rule is broken",
           2: "the case could not run"}[status])
    sys.exit(BROKEN if status == 1 else status)

"""Runs the real programs as separate processes and injects faults."""

import asyncio
import json
import os
import shutil
import signal
import time

from platform_standin import Executor
from proxy import Proxy

SERVICE = "svc"
RESTART_S = 0.3


class Ports:
    """Ports of one run. All nodes use the same ports, each on its own
    addresses."""

    def __init__(self, base):
        self.peer, self.http, self.public, self.ready, self.work = range(
            base, base + 5)


class Node:
    """One daemon with its settings. It listens for peers on `own_ip`; the proxy
    on `ip` forwards to it."""

    def __init__(self, role, index, ports, folder, binary, seeds):
        group = {"control": 1, "entry": 2, "agent": 3}[role]
        self.role = role
        self.name = f"{role}{index}"
        self.ip = f"127.1.{group}.{index}"
        self.own_ip = f"127.2.{group}.{index}"
        self.folder = os.path.join(folder, self.name)
        self.binary = binary
        self.public = f"{self.ip}:{ports.public}"
        self.ready = f"{self.ip}:{ports.ready}"
        self.ports = ports
        self.seeds = seeds
        self.process = None
        self.should_run = True
        self.is_closed = False
        self.starts = 0
        self.proxy = Proxy(f"{self.ip}:{ports.peer}",
                           f"{self.own_ip}:{ports.peer}")
        os.makedirs(os.path.join(self.folder, "data"))

    def settings(self):
        settings = {
            "node": self.ip, "region": "r", "data_centre": "dc1",
            "roles": [self.role],
            "peer_listen": f"{self.own_ip}:{self.ports.peer}",
            "http_listen": f"{self.own_ip}:{self.ports.http}",
            "control_seeds": self.seeds, "shutdown_limit_ms": 5000}
        if self.role == "control":
            settings["data_folder"] = os.path.join(self.folder, "data")
            settings["found_group"] = self.starts == 0
            settings["consensus"] = {"heartbeat_ms": 150,
                                     "election_timeout_min_ms": 900,
                                     "election_timeout_max_ms": 1500}
            settings["workflow"] = {"operator_listen": self.public,
                                    "lease_ms": 15000}
        elif self.role == "entry":
            settings["workflow"] = {"caller_listen": self.public,
                                    "ready_listen": self.ready}
        else:
            settings["workflow"] = {"worker_listen": self.public,
                                    "longest_lease_step_ms": 10000,
                                    "stop_limit_ms": 200}
        return settings

    async def run(self):
        """Restarts the daemon whenever it ends, as the platform does."""
        while not self.is_closed:
            if not self.should_run:
                await asyncio.sleep(0.05)
                continue
            path = os.path.join(self.folder, "settings.json")
            with open(path, "w") as file:
                json.dump(self.settings(), file)
            self.starts += 1
            with open(os.path.join(self.folder, "log"), "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    self.binary, "--settings", path, stdout=log, stderr=log,
                    stdin=asyncio.subprocess.DEVNULL)
            await self.process.wait()
            self.process = None
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def wipe(self):
        shutil.rmtree(os.path.join(self.folder, "data"))
        os.makedirs(os.path.join(self.folder, "data"))


class Cluster:
    """All nodes and executors of a run."""

    def __init__(self, sizes, base_port, folder, binary, oracle, random):
        self.random = random
        self.oracle = oracle
        ports = Ports(base_port)
        seeds = [f"127.1.1.{i}:{ports.public}"
                 for i in range(1, min(sizes["control"], 3) + 1)]
        self.nodes = [Node(role, i, ports, folder, binary, seeds)
                      for role, count in sizes.items()
                      for i in range(1, count + 1)]
        self.executors = []
        self.links = []
        self.tasks = []
        for agent in self.of("agent"):
            link = Proxy(f"{agent.ip}:{ports.work}",
                         f"{agent.own_ip}:{ports.work}")
            self.links.append(link)
            self.executors.append(Executor(
                agent.name, link.target, link.listen, agent.public, SERVICE,
                oracle, random))

    def of(self, role):
        return [node for node in self.nodes if node.role == role]

    async def start(self):
        for node in self.nodes:
            await node.proxy.start()
        for link in self.links:
            await link.start()
        for executor in self.executors:
            await executor.start()
        self.tasks = [asyncio.create_task(node.run()) for node in self.nodes]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.is_closed = True
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for listener in [node.proxy for node in self.nodes] + self.links:
            listener.server.close()
        for executor in self.executors:
            executor.close()
        await asyncio.sleep(0.1)

    # Faults. Each method returns when its fault has ended. Killed processes are
    # restarted by Node.run(); blackholed connections do not recover.

    async def kill(self, node):
        node.signal(signal.SIGKILL)

    async def terminate(self, node):
        node.signal(signal.SIGTERM)

    async def freeze(self, node):
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        node.signal(signal.SIGCONT)

    async def down(self, node):
        node.should_run = False
        node.signal(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        node.should_run = True

    async def wipe(self, node):
        node.should_run = False
        node.signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        node.wipe()
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        node.should_run = True
        # No other member may lose its disk before this one has caught up.
        await asyncio.sleep(8.0)

    async def inject_link_fault(self, proxy):
        kind = self.random.choice(
            ["delay", "reset", "blackhole", "to_target", "to_caller", "refuse"])
        if kind == "reset":
            proxy.reset()
        elif kind == "blackhole":
            proxy.blackhole()
        else:
            proxy.delay_s = 0.3 if kind == "delay" else 0.0
            proxy.hold_to_target = kind == "to_target"
            proxy.hold_to_caller = kind == "to_caller"
            proxy.refuses = kind == "refuse"
            await asyncio.sleep(self.random.uniform(0.3, 4.0))
            proxy.heal()
        return kind

    async def crash_executor(self, executor):
        executor.crash()
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        executor.restart(new_id=self.random.random() < 0.5)

    def heal(self):
        for node in self.nodes:
            node.proxy.heal()
            node.should_run = True
            node.signal(signal.SIGCONT)
        for link in self.links:
            link.heal()
        for executor in self.executors:
            if not executor.is_up:
                executor.restart(new_id=True)

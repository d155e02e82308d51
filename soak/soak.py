"""Randomized fault soak of the real programs. See soak/README.md."""

import argparse
import asyncio
import importlib.util
import os
import random
import shutil
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)


def load_standin():
    """Loads platform/standin.py under another module name, since `platform` is
    a module of the standard library."""
    path = os.path.join(HERE, "..", "platform", "standin.py")
    spec = importlib.util.spec_from_file_location("platform_standin", path)
    module = importlib.util.module_from_spec(spec)
    sys.modules["platform_standin"] = module
    spec.loader.exec_module(module)
    return module


standin = load_standin()
from cluster import SERVICE, Cluster  # noqa: E402
from oracle import Oracle  # noqa: E402

# Time to recover from the last fault: expiry of an agent's lease, an election
# and the remaining work.
SETTLE_TIMEOUT_S = 40
READY_TIMEOUT_S = 30


class Soak:
    """One run: a cluster with clients, an operator and faults."""

    def __init__(self, args, folder):
        self.args = args
        self.random = random.Random(args.seed)
        self.log_file = open(os.path.join(folder, "trace"), "w")
        self.started_at = time.monotonic()
        self.oracle = Oracle(self.log)
        sizes = {"control": args.control, "entry": args.entries,
                 "agent": args.agents}
        self.cluster = Cluster(sizes, args.port, folder,
                               os.path.join(args.build, "fulmarrockd"),
                               self.oracle, random.Random(args.seed + 1))
        self.accepted = {}
        self.version = 0
        # Whether clients and faults have stopped, and whether the whole run has
        # ended. Loops check these, because asyncio tasks can miss a
        # cancellation.
        self.is_load_stopped = False
        self.is_finished = False
        self.wipe_lock = asyncio.Lock()

    def log(self, text):
        print(f"{time.monotonic() - self.started_at:8.3f} {text}",
              file=self.log_file, flush=True)

    def entry(self):
        return self.random.choice(self.cluster.of("entry")).public

    def member(self):
        return self.random.choice(self.cluster.of("control")).public

    async def configure(self):
        self.version += self.random.randint(1, 5)
        version = self.version
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if await standin.set_configuration(self.member(), version, SERVICE):
                self.oracle.acked_version = max(self.oracle.acked_version,
                                                version)
                self.log(f"version {version} acknowledged")
                return True
            await asyncio.sleep(0.3)
        return False

    async def run_operator(self):
        while not self.is_load_stopped:
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            if self.random.random() < 0.5:
                await self.configure()
                continue
            acked = self.oracle.acked_version
            version = await standin.read_version(self.member())
            if version is not None:
                self.oracle.on_version(acked, version)

    def draw_job(self):
        if self.random.random() < 0.1:
            return [(self.random.randint(1, 3), None)]
        return [(self.random.randint(1, 6), self.random.uniform(0.1, 1.5))
                for _ in range(self.random.randint(1, 3))]

    async def run_client(self, number):
        rng = random.Random(self.args.seed * 1000 + number)
        while not self.is_load_stopped:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            job = f"{rng.getrandbits(64):016x}"
            steps = self.draw_job()
            body = standin.make_job(job, steps, rng)
            self.oracle.on_submit(job, body, steps)
            if not await self.submit_until_accepted(job, body, rng):
                continue
            self.accepted[job] = "queued"
            is_long_running = steps[0][1] is None
            if rng.random() < (0.5 if is_long_running else 0.1):
                await asyncio.sleep(rng.uniform(0.0, 2.0))
                await self.cancel(job, rng)
            if rng.random() < 0.2:
                await standin.submit(self.entry(), job, body)

    async def submit_until_accepted(self, job, body, rng):
        replies = set()
        for _ in range(12):
            reply = await standin.submit(self.entry(), job, body)
            self.log(f"submit {job}: {reply}")
            replies.add(reply)
            if reply == "accepted":
                return True
            if reply == "refused" and rng.random() < 0.5:
                break
            await asyncio.sleep(rng.uniform(0.1, 0.6))
        if replies == {"refused"}:
            self.oracle.on_refused(job)
        return False

    async def cancel(self, job, rng):
        for _ in range(20):
            if await standin.cancel(self.entry(), job):
                self.log(f"cancelled {job}")
                self.oracle.on_cancelled(job)
                return
            await asyncio.sleep(rng.uniform(0.1, 0.5))

    async def poll_job_states(self):
        while not self.is_finished:
            await asyncio.sleep(0.2)
            jobs = [j for j, s in self.accepted.items()
                    if s not in ("completed", "failed", "cancelled")]
            if jobs:
                await self.read_job_state(self.random.choice(jobs))

    async def read_job_state(self, job):
        state = await standin.read_state(self.entry(), job)
        if state is not None:
            self.accepted[job] = state
            self.oracle.on_state(job, state)

    async def inject_faults(self):
        cluster = self.cluster
        while not self.is_load_stopped:
            await asyncio.sleep(self.random.expovariate(1 / self.args.gap))
            self.oracle.note_fault()
            kind = self.random.choice(
                ["kill", "terminate", "freeze", "down", "wipe", "node_link",
                 "executor_link", "crash_executor", "all_control"])
            asyncio.create_task(self.inject_fault(kind, cluster))

    async def inject_fault(self, kind, cluster):
        node = self.random.choice(cluster.nodes)
        node_name = node.name
        if kind == "wipe":
            if self.wipe_lock.locked():
                return
            async with self.wipe_lock:
                node = self.random.choice(cluster.of("control"))
                self.log(f"fault wipe {node.name}")
                await cluster.wipe(node)
        elif kind == "all_control":
            self.log("fault kill of all control members")
            for member in cluster.of("control"):
                await cluster.kill(member)
        elif kind == "node_link":
            self.log(f"fault link of {node_name}")
            self.log(f"fault was {await cluster.inject_link_fault(node.proxy)}")
        elif kind == "executor_link":
            self.log("fault link of an executor")
            await cluster.inject_link_fault(self.random.choice(cluster.links))
        elif kind == "crash_executor":
            executor = self.random.choice(cluster.executors)
            if executor.is_up:
                self.log(f"fault crash of the executor of {executor.name}")
                await cluster.crash_executor(executor)
        else:
            self.log(f"fault {kind} {node_name}")
            await getattr(cluster, kind)(node)
        self.oracle.note_fault()

    async def wait_for_recovery(self):
        """Waits until all accepted work has ended, and reports what has not.
        Returns early after a violation, since the run has failed then."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < deadline:
            for job in list(self.accepted):
                if self.accepted[job] not in ("completed", "failed",
                                              "cancelled"):
                    await self.read_job_state(job)
            if self.oracle.violations:
                return
            if not self.oracle.unfinished(self.accepted):
                return
            await asyncio.sleep(0.5)
        for text in self.oracle.unfinished(self.accepted):
            self.oracle.fail(text)

    async def run_phases(self):
        await self.cluster.start()
        if not await self.configure():
            self.oracle.fail("no configuration was accepted at the start")
            return
        tasks = [asyncio.create_task(self.run_client(i))
                 for i in range(self.args.clients)]
        background_tasks = [asyncio.create_task(self.run_operator()),
                            asyncio.create_task(self.poll_job_states()),
                            asyncio.create_task(self.inject_faults())]
        await asyncio.sleep(self.args.seconds)
        self.is_load_stopped = True
        await asyncio.gather(*tasks)
        self.cluster.heal()
        self.oracle.note_fault()
        await self.wait_for_recovery()
        for task in background_tasks:
            task.cancel()

    async def run(self):
        try:
            await self.run_phases()
        finally:
            self.is_finished = True
            await self.cluster.stop()
            self.log_file.close()
        print(f"seed {self.args.seed}: {self.oracle.summary()}", flush=True)
        return self.oracle.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--runs", type=int, default=1,
                        help="number of seeds to run, one after the other")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gap", type=float, default=1.0,
                        help="mean time between faults in seconds")
    parser.add_argument("--control", type=int, default=3)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--agents", type=int, default=4)
    parser.add_argument("--clients", type=int, default=4)
    parser.add_argument("--port", type=int, default=21000)
    args = parser.parse_args()
    first = args.seed if args.seed is not None else random.randrange(1 << 30)
    first_port = args.port
    failed = []
    for seed in range(first, first + args.runs):
        args.seed = seed
        folder = tempfile.mkdtemp(prefix="fulmarrock-soak-")
        args.port = first_port + 5 * ((seed - first) % 20)
        violations = asyncio.run(Soak(args, folder).run())
        if violations:
            failed.append(seed)
            print(f"seed {seed} failed; trace and logs in {folder}")
            for text in violations[:10]:
                print(f"  {text}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print(f"{args.runs - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

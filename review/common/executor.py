"""A stand-in for an executor of the platform, as PROTOCOL.md describes it:
heartbeats, leases on its own steady clock, fencing tokens, numbered ends that
are listed 500 at a time, admission control, and new incarnations."""

import asyncio
import json
import time

from http_io import MAX_HEADERS_BYTES, call, encode_response, read_message

HEARTBEAT_S = 1.1
LISTED_ENDS = 500
STOP_S = 0.1
GANG_S = 3.0


class Run:
    def __init__(self, number, step):
        self.number = number
        self.step = step
        self.arrived = time.monotonic()
        # When it began to work: a member of a gang waits for the others.
        self.started = None if step.get("gang") else self.arrived
        self.stop_at = None

    def percent(self, now):
        if self.started is None:
            return 0
        return min(99, int(100 * (now - self.started) / self.step["work_s"]))


class Executor:
    """`jobs` maps the id of a job to the list of its steps, each with cpu,
    mem_mb and work_s. `record` gets what is started and what ends. All members
    of a gang have to be on one executor. `fails(task, run)` tells whether a run
    ends `failed` instead of `done`."""

    def __init__(self, name, listen, agent, jobs, record, service="svc",
                 labels=("a", "r1-1"), cpu=16000, mem_mb=65536,
                 hold_max_ms=10000):
        self.name = name
        self.listen = listen
        # Address at which heartbeats arrive, and the one that they announce.
        self.agent = agent
        self.announced = listen
        self.jobs = jobs
        self.record = record
        self.service = service
        self.labels = list(labels)
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.hold_max_ms = hold_max_ms
        self.fails = lambda task, run: False
        self.is_up = False
        self.is_closed = False
        self.is_registered = asyncio.Event()
        self.connections = set()
        self.lives = 0
        self.id = None
        self.server = None
        self.tasks = []

    async def open(self):
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=MAX_HEADERS_BYTES)
        self.begin_life()
        self.tasks = [asyncio.create_task(self.send_heartbeats()),
                      asyncio.create_task(self.work())]

    def close(self):
        self.is_closed = True
        self.is_up = False
        if self.server:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    def begin_life(self, keeps_id=False):
        self.lives += 1
        self.born = int(time.time() * 1000)
        if not (keeps_id and self.id):
            self.id = f"i-{self.name}-{self.lives}"
        self.begun = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.runs = {}
        self.ends = []
        self.end_number = 0
        self.barred = {}
        self.fencing_token = 0
        self.lease_until = 0
        # How often the lease has lapsed, and the count at each end.
        self.lapses = 0
        self.has_lease = False
        self.lapses_at_end = {}
        self.end_added = asyncio.Event()
        self.is_registered = asyncio.Event()
        self.is_up = True
        self.record.write("life", executor=self.name, id=self.id, life=self.lives,
                          born=self.born)

    def crash(self):
        """The process is killed: all runs are gone, connections break."""
        self.is_up = False
        self.record.write("crash", executor=self.name, id=self.id, life=self.lives,
                          lost=[[task, run.number]
                                for task, run in self.runs.items()])
        self.runs = {}
        for writer in list(self.connections):
            writer.transport.abort()

    def end_life(self):
        """A planned end."""
        self.is_up = False
        self.record.write("left", executor=self.name, id=self.id, life=self.lives)
        self.runs = {}
        for writer in list(self.connections):
            writer.close()

    def clock_ms(self):
        return int((time.monotonic() - self.begun) * 1000)

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.service, "address": self.announced,
                "zone": "z1", "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock_ms(),
                "sequence": self.sequence, "born": self.born}

    async def send_heartbeat(self):
        body = self.heartbeat()
        response = await call(self.agent, "POST",
                              f"/Instances.Heartbeat/{self.id}", body)
        is_acked = response is not None and response[0] == 200
        if is_acked and body["born"] == self.born:
            if not self.is_registered.is_set():
                self.record.write("registered", executor=self.name,
                                  id=self.id, life=self.lives, born=self.born)
            self.is_registered.set()
        return is_acked

    async def send_heartbeats(self):
        while not self.is_closed:
            if self.is_up:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while not self.is_closed:
            await asyncio.sleep(0.01)
            if not self.is_up:
                continue
            now = time.monotonic()
            self.watch_lease()
            if self.runs and self.clock_ms() >= self.lease_until:
                for task in list(self.runs):
                    self.end_run(task, "lapsed")
            for task, run in list(self.runs.items()):
                if task not in self.runs:
                    continue
                if run.stop_at is not None and now >= run.stop_at:
                    self.end_run(task, "stopped")
                elif run.started is None:
                    self.meet(task, run, now)
                elif now - run.started >= run.step["work_s"]:
                    self.end_work(task, run)

    def watch_lease(self):
        had_lease = self.has_lease
        self.has_lease = self.clock_ms() < self.lease_until
        if had_lease and not self.has_lease:
            self.lapses += 1

    def members_of(self, task):
        """Runs of the same step here."""
        prefix = task.rpartition(".")[0] + "."
        return {name: run for name, run in self.runs.items()
                if name.startswith(prefix)}

    def meet(self, task, run, now):
        members = self.members_of(task)
        is_complete = (len(members) == run.step["count"] and len(
            {member.number for member in members.values()}) == 1)
        if is_complete:
            for member in members.values():
                member.started = now
        elif now - run.arrived >= GANG_S:
            self.end_run(task, "alone")

    def end_work(self, task, run):
        if task not in self.runs:
            return
        how = "failed" if self.fails(task, run.number) else "done"
        if not run.step.get("gang"):
            self.end_run(task, how)
            return
        for name in self.members_of(task):
            is_other = how == "failed" and name != task
            self.end_run(name, "broken" if is_other else how)

    def end_run(self, task, how):
        run = self.runs.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run.number)
        self.end_number += 1
        self.lapses_at_end[self.end_number] = self.lapses
        self.ends.append([self.end_number, task, run.number, how, ""])
        self.record.write("end", executor=self.name, id=self.id, life=self.lives, task=task,
                          run=run.number, how=how, n=self.end_number)
        self.end_added.set()
        self.end_added = asyncio.Event()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while message := await read_message(reader):
                if not self.is_up:
                    break
                path = message[0].split()[1]
                expected = message[1].get("x-expected-instance", self.id)
                if expected != self.id:
                    status, body = 421, {}
                else:
                    status, body = await self.handle(
                        path, json.loads(message[2] or b"{}"))
                if not self.is_up:
                    break
                writer.write(encode_response(status, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def basics(self):
        return {"clock_ms": self.clock_ms(), "born": self.born}

    async def handle(self, path, body):
        token = body.get("fencing_token", 0)
        if token < self.fencing_token:
            return 409, {**self.basics(), "reason": "fence"}
        self.fencing_token = token
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        if path == "/hold":
            return await self.hold(body)
        return 200, self.basics()

    def extend(self, until):
        longest = self.clock_ms() + self.hold_max_ms
        self.lease_until = max(self.lease_until, min(until, longest))

    def used(self, name):
        return sum(run.step[name] for run in self.runs.values())

    def start(self, body):
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task].number == number:
            self.extend(body["until_ms"])
            return 200, self.basics()
        if number <= self.barred.get(task, 0) or task in self.runs:
            self.extend(body["until_ms"])
            return 409, {**self.basics(), "reason": "old"}
        if body["until_ms"] <= self.clock_ms():
            return 409, {**self.basics(), "reason": "late"}
        job, _, step_number, _ = task.split(".")
        steps = self.jobs.get(job)
        self.record.write("start", executor=self.name, id=self.id, life=self.lives, task=task,
                          run=number, is_known=steps is not None)
        if steps is None:
            return 400, self.basics()
        step = steps[int(step_number)]
        self.extend(body["until_ms"])
        if (self.used("cpu") + step["cpu"] > self.cpu
                or self.used("mem_mb") + step["mem_mb"] > self.mem_mb):
            return 409, {**self.basics(), "reason": "room"}
        self.runs[task] = Run(number, step)
        self.record.write("begun", executor=self.name, id=self.id, life=self.lives, task=task,
                          run=number)
        return 200, self.basics()

    def stop(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run and run.number == number:
            if run.stop_at is None:
                run.stop_at = time.monotonic() + STOP_S
        self.barred[task] = max(self.barred.get(task, 0), number)
        self.record.write("stop", executor=self.name, id=self.id, life=self.lives, task=task,
                          run=number)
        return 200, self.basics()

    async def hold(self, body):
        acked = body.get("acked_up_to", 0)
        self.watch_lease()
        for end in self.ends:
            if end[0] <= acked:
                self.record.write("acked", executor=self.name, id=self.id, life=self.lives,
                                  task=end[1], run=end[2], how=end[3],
                                  n=end[0], lapsed_between=self.lapses
                                  > self.lapses_at_end[end[0]])
        self.ends = [end for end in self.ends if end[0] > acked]
        if "until_ms" in body:
            self.extend(body["until_ms"])
        wait_s = min(body.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self.end_added.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run.number, "", run.percent(now),
                    run.step["cpu"]] for task, run in self.runs.items()]
        return 200, {**self.basics(), "running": running,
                     "finished": self.ends[:LISTED_ENDS]}

"""An executor of the platform, as PROTOCOL.md describes it: it keeps leases,
numbered ends and runs, guards its capacity, drains, deregisters and crashes."""

import asyncio
import json
import time

from http_calls import call, read_message


class Run:
    """One run of a task. `duration_s` is None for a task that lasts."""

    def __init__(self, number, request, duration_s, needs):
        self.number = number
        self.request = request
        self.duration_s = duration_s
        self.needs = needs
        self.started = time.monotonic()
        self.stop_at = None

    def percent(self, now):
        age = now - self.started
        if self.duration_s is None:
            return 100 if age >= 0.4 else 0
        return min(99, int(100 * age / self.duration_s))


class Executor:
    """One machine's executor. `observer` gets on_start(executor, task, run,
    request), on_end(executor, task, run, how, at_work) and on_acked(executor,
    up_to). `task_of(task, request)` returns the duration in seconds (None if
    the task lasts) and the resources of a task."""

    def __init__(self, name, listen, agent, observer, task_of, *,
                 service="svc", rack="r1", capacity=None, guards=True,
                 hold_max_ms=10_000, stop_ms=400, heartbeat_s=1.1):
        self.name = name
        self.listen = listen
        self.agent = agent
        self.observer = observer
        self.task_of = task_of
        self.service = service
        self.rack = rack
        self.kind = "a"
        self.capacity = capacity or {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
        self.guards = guards
        self.hold_max_ms = hold_max_ms
        self.stop_ms = stop_ms
        self.heartbeat_s = heartbeat_s
        self.is_up = False
        self.is_closed = False
        self.suspended_at = None
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.answers = asyncio.Event()
        self.answers.set()
        self.next_beat = 0.0
        self.server = None
        self.writers = set()
        self.generation = 0
        self.start_life()

    def start_life(self):
        self.generation += 1
        self.born = int(time.time() * 1000)
        self.id = f"i-{self.name}-{self.generation}"
        self.started = time.monotonic()
        self.sequence = 0
        self.runs = {}
        self.ends = []
        self.end_number = 0
        self.highest_ended = {}
        self.fencing_token = 0
        self.lease_until = 0
        self.state = "ready"
        self.drain_until = None
        self.is_leaving = False
        self.end_added = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.is_up = True
        asyncio.create_task(self.send_heartbeats())
        asyncio.create_task(self.tick())

    def suspend(self):
        """The machine is suspended: nothing here runs, and the steady clock
        stands still."""
        self.suspended_at = time.monotonic()
        self.resumed.clear()

    def resume(self):
        pause = time.monotonic() - self.suspended_at
        self.suspended_at = None
        self.started += pause
        for run in self.runs.values():
            run.started += pause
            if run.stop_at is not None:
                run.stop_at += pause
        self.resumed.set()

    def close(self):
        self.is_closed = True
        self.is_up = False
        if self.server:
            self.server.close()

    def crash(self):
        """Everything that runs here is gone, and all connections break."""
        self.is_up = False
        lost, self.runs = self.runs, {}
        for task, run in lost.items():
            self.observer.on_end(self, task, run.number, "crashed", False)
        for writer in list(self.writers):
            writer.transport.abort()

    def restart(self, keeps_id=False):
        """Starts again, under another id or under the same one, and sends its
        first heartbeat at once, or after an interval if it keeps the id."""
        old_id = self.id
        self.start_life()
        if keeps_id:
            self.id = old_id
        self.is_up = True
        self.next_beat = time.monotonic() + (
            self.heartbeat_s if keeps_id else 0)

    def set_mute(self, is_mute):
        """A mute executor carries out calls and answers none."""
        if is_mute:
            self.answers.clear()
        else:
            self.answers.set()

    async def beat(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        body = {"service": self.service, "address": self.listen,
                "zone": "zone-a", "version": "v1", "slots": 8,
                "state": self.state, "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": [self.kind, self.rack],
                "clock_ms": self.clock_ms(), "born": self.born,
                "sequence": self.sequence}
        if self.drain_until is not None:
            left = max(0, self.drain_until - time.monotonic())
            body["drain_remaining_ms"] = int(left * 1000)
        response = await call(self.agent, "POST",
                              f"/Instances.Heartbeat/{self.id}", body)
        return bool(response) and 200 <= response[0] < 300

    async def send_heartbeats(self):
        while not self.is_closed:
            await self.resumed.wait()
            if (self.is_up and not self.is_leaving
                    and time.monotonic() >= self.next_beat):
                self.next_beat = time.monotonic() + self.heartbeat_s
                await self.beat()
            await asyncio.sleep(0.02)

    async def drain(self, drain_s):
        """Reports that it drains until that is acknowledged, and serves for
        `drain_s` after the acknowledgement."""
        self.state = "draining"
        self.drain_until = time.monotonic() + drain_s
        while not await self.beat():
            await asyncio.sleep(0.2)
        self.observer.note(f"{self.name}: draining is acknowledged")
        self.drain_until = time.monotonic() + drain_s
        await asyncio.sleep(drain_s)

    async def deregister(self, attempts, linger_s):
        """Deregisters and ends; without an acknowledgement it ends `linger_s`
        after the last attempt. No heartbeat follows a deregistration."""
        self.is_leaving = True
        for _ in range(attempts):
            self.observer.note(f"{self.name}: sends its deregistration")
            response = await call(self.agent, "POST",
                                  f"/Instances.Deregister/{self.id}",
                                  {"born": self.born})
            if response and 200 <= response[0] < 300:
                self.observer.note(f"{self.name}: deregistration acknowledged")
                break
            self.observer.note(f"{self.name}: no acknowledgement in 1 s")
        else:
            await asyncio.sleep(linger_s)
        self.observer.note(f"{self.name}: ends")
        self.leave()

    def leave(self):
        self.is_up = False
        for task, run in list(self.runs.items()):
            self.observer.on_end(self, task, run.number, "gone", False)
        self.runs = {}
        for writer in list(self.writers):
            writer.transport.abort()

    async def tick(self):
        while not self.is_closed:
            await asyncio.sleep(0.01)
            await self.resumed.wait()
            if not self.is_up:
                continue
            now = time.monotonic()
            if self.runs and self.clock_ms() >= self.lease_until:
                for task in list(self.runs):
                    self.end_run(task, "lapsed")
            for task, run in list(self.runs.items()):
                if run.stop_at is not None and now >= run.stop_at:
                    self.end_run(task, "stopped")
                elif (run.duration_s is not None
                      and now - run.started >= run.duration_s):
                    self.end_run(task, "done")

    def end_run(self, task, how, saved=""):
        run = self.runs.pop(task)
        at_work = run.percent(time.monotonic()) == 100
        self.highest_ended[task] = max(self.highest_ended.get(task, 0),
                                       run.number)
        self.end_number += 1
        self.ends.append([self.end_number, task, run.number, how, saved])
        self.observer.on_end(self, task, run.number, how, at_work)
        self.end_added.set()
        self.end_added = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        generation = self.generation
        try:
            while message := await read_message(reader):
                await self.resumed.wait()
                if not self.is_up or generation != self.generation:
                    break
                path = message[0].split()[1]
                expected = message[1].get("x-expected-instance", self.id)
                if expected != self.id:
                    status, body = 421, {}
                else:
                    status, body = await self.handle(
                        path, json.loads(message[2] or b"{}"))
                await self.resumed.wait()
                if not self.answers.is_set():
                    await self.answers.wait()
                    break
                if not self.is_up or generation != self.generation:
                    break
                payload = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             f"application/json\r\nContent-Length: "
                             f"{len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, path, body):
        token = body.get("fencing_token", 0)
        if token < self.fencing_token:
            return 409, self.about(reason="fence")
        self.fencing_token = token
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            return self.stop_run(body)
        if path == "/hold":
            return await self.hold(body)
        return 200, self.about()

    def about(self, **more):
        return {"clock_ms": self.clock_ms(), "born": self.born, **more}

    def extend(self, until):
        longest = self.clock_ms() + self.hold_max_ms
        self.lease_until = max(self.lease_until, min(until, longest))

    def used(self, name):
        return sum(run.needs.get(name, 0) for run in self.runs.values())

    def start_run(self, body):
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task].number == number:
            self.extend(body["until_ms"])
            return 200, self.about()
        if number <= self.highest_ended.get(task, 0) or task in self.runs:
            self.extend(body["until_ms"])
            return 409, self.about(reason="old")
        if body["until_ms"] <= self.clock_ms():
            return 409, self.about(reason="late")
        duration, needs = self.task_of(task, body)
        fits = all(self.used(name) + amount <= self.capacity.get(name, 0)
                   for name, amount in needs.items())
        if self.guards and not fits:
            self.extend(body["until_ms"])
            return 409, self.about(reason="room")
        self.extend(body["until_ms"])
        self.runs[task] = Run(number, body, duration, needs)
        self.observer.on_start(self, task, number, body)
        return 200, self.about()

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        self.observer.on_stop_order(self, task, number)
        if run and run.number == number:
            if run.stop_at is None:
                run.stop_at = time.monotonic() + self.stop_ms / 2000
        elif not run:
            self.highest_ended[task] = max(self.highest_ended.get(task, 0),
                                           number)
        return 200, self.about()

    async def hold(self, body):
        acked = body.get("acked_up_to", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        self.observer.on_acked(self, acked)
        if "until_ms" in body:
            self.extend(body["until_ms"])
        wait_s = min(body.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self.end_added.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run.number, "", run.percent(now), 0]
                   for task, run in self.runs.items()]
        return 200, self.about(running=running, finished=self.ends[:500])

"""The part of the platform that gangs need: their tasks work from the moment
when all of one run are present, end `done` together, end `broken` when another
member ended, and `alone` when they waited gang_ms for the others."""

import asyncio
import time

GANG_S = 3.0


class GangRun:
    """One run of a gang."""

    def __init__(self, size, checkpoint, has_checkpoints):
        self.size = size
        self.has_checkpoints = has_checkpoints
        self.checkpoint = checkpoint
        self.members = {}
        self.started = {}
        self.began = None
        self.had_worked_s = int(checkpoint[:8], 16) / 1000 if checkpoint else 0

    def worked_s(self):
        if self.began is None:
            return self.had_worked_s
        return self.had_worked_s + time.monotonic() - self.began

    def saved(self, job):
        if self.began is None or not self.has_checkpoints:
            return self.checkpoint
        return f"{int(self.worked_s() * 1000):08x}{job[4:12]}"


class Platform:
    """Keeps the gang runs of one job step for all executors."""

    def __init__(self, executors, observer, size, duration_s,
                 has_checkpoints=False):
        self.has_checkpoints = has_checkpoints
        self.observer = observer
        self.size = size
        self.duration_s = duration_s
        self.runs = {}
        self.is_calm = False
        for executor in executors:
            executor.platform = self
        asyncio.create_task(self.tick())

    def begin_calm(self):
        self.observer.note("platform: the last disruption is long over")
        self.is_calm = True

    def admit(self, executor, task, number, request):
        """Takes a member's start, unless it carries another checkpoint than the
        members of that run that are present."""
        key = (task.rpartition(".")[0], number)
        checkpoint = request.get("checkpoint", "")
        run = self.runs.setdefault(key, GangRun(
            self.size, checkpoint, self.has_checkpoints))
        if not run.members:
            run.checkpoint = checkpoint
        if run.checkpoint != checkpoint:
            self.observer.note(
                f"{executor.name}: refuses {task} run {number} with checkpoint "
                f"'{checkpoint}'; the others carry '{run.checkpoint}' (400)")
            return False
        run.members[task] = executor
        run.started[task] = time.monotonic()
        if len(run.members) == run.size and run.began is None:
            self.observer.note(f"platform: all of {key[0]} run {number} are "
                               f"present, checkpoint '{checkpoint}'")
            run.began = time.monotonic()
        return True

    def on_lost(self, task, number):
        """A member ended on its executor; the others break."""
        key = (task.rpartition(".")[0], number)
        run = self.runs.get(key)
        if not run or task not in run.members:
            return
        saved = run.saved(task)
        del run.members[task]
        if run.began is None:
            return
        for other, executor in list(run.members.items()):
            del run.members[other]
            executor.end_run(other, "broken", saved)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for (step, number), run in list(self.runs.items()):
                if run.began is not None:
                    if run.members and run.worked_s() >= self.duration_s:
                        for task, executor in list(run.members.items()):
                            del run.members[task]
                            executor.end_run(task, "done")
                    continue
                for task, executor in list(run.members.items()):
                    if now - run.started[task] < GANG_S:
                        continue
                    del run.members[task]
                    executor.end_run(task, "alone", run.checkpoint)
                    if self.is_calm:
                        self.observer.fail(
                            f"GANG: {task} run {number} ends alone, with no "
                            f"disruption near")

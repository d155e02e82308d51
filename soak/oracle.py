"""Checks the promises from what executors, clients and the operator see."""

import collections
import json
import time

# A member may learn of a cancellation within this time, and stop within the
# next; the users' bounds are 3 s and 0.2 s.
CANCEL_S = 3.5
# Bounds with a time hold only this long after the last fault.
CALM_S = 6.0


class Oracle:
    """Collects violations; an empty list at the end is a pass."""

    def __init__(self, log):
        self.log = log
        self.violations = []
        self.specs = {}
        self.steps = {}
        self.refused = set()
        self.cancelled = {}
        self.live = collections.defaultdict(dict)
        self.done = collections.defaultdict(set)
        self.done_pending = {}
        self.done_acked = {}
        self.last_fault = time.monotonic()
        self.acked_version = 0
        self.states = {}
        self.starts = 0

    def fail(self, text):
        self.log(f"VIOLATION {text}")
        self.violations.append(text)

    def note_fault(self):
        self.last_fault = time.monotonic()

    def is_calm(self, seconds=CALM_S):
        return time.monotonic() - self.last_fault > seconds

    # What executors see.

    def on_start(self, executor, task, run, spec):
        self.starts += 1
        job, _, step, _ = task.split(".")
        self.log(f"start {task} run {run} on {executor.name}")
        if job not in self.specs:
            self.fail(f"{task} starts, but no client sent it")
            return
        if spec != self.specs[job]:
            self.fail(f"{task} starts with another specification")
        if job in self.refused:
            self.fail(f"{task} starts, but all tries were refused")
        for other, number in self.live[task].items():
            self.fail(f"{task} run {run} starts on {executor.name} while run "
                      f"{number} is on {other}")
        if task in self.done_acked:
            self.fail(f"{task} run {run} starts after its end was "
                      f"acknowledged")
        count = self.steps[job][int(step) - 1][0] if int(step) else 0
        if len(self.done[(job, int(step) - 1)]) < count:
            self.fail(f"{task} starts before the step it depends on is done")
        cancelled = self.cancelled.get(job)
        if (cancelled and time.monotonic() - cancelled > CANCEL_S
                and self.is_calm()):
            self.fail(f"{task} starts long after its job was cancelled")
        self.live[task][executor.name] = run

    def on_end(self, executor, number, task, run, how):
        self.log(f"end {task} run {run} on {executor.name}: {how}")
        self.live[task].pop(executor.name, None)
        if how != "done":
            return
        job, _, step, index = task.split(".")
        self.done[(job, int(step))].add(index)
        self.done_pending[(executor.name, executor.start_time_ms,
                           number)] = (task, run)

    def on_acked(self, executor, up_to):
        for key in [k for k in self.done_pending
                    if k[:2] == (executor.name, executor.start_time_ms)
                    and k[2] <= up_to]:
            task, run = self.done_pending.pop(key)
            other = self.done_acked.setdefault(task, run)
            if other != run:
                self.fail(f"{task}: runs {other} and {run} both count as done")

    def on_gone(self, executor):
        for runs in self.live.values():
            runs.pop(executor.name, None)

    # What clients and the operator see.

    def on_submit(self, job, body, steps):
        self.specs[job] = body["spec"]
        self.steps[job] = steps

    def on_refused(self, job):
        self.refused.add(job)

    def on_cancelled(self, job):
        self.cancelled.setdefault(job, time.monotonic())

    def on_state(self, job, state):
        before = self.states.get(job)
        self.states[job] = state
        if state == "unknown":
            self.fail(f"job {job} was accepted and is not known")
        if before in ("completed", "cancelled", "failed") and state != before:
            self.fail(f"job {job} was {before} and is {state}")
        if state == "completed":
            for step, (count, _) in enumerate(self.steps[job]):
                if len(self.done[(job, step)]) < count:
                    self.fail(f"job {job} is completed without all of step "
                              f"{step}")

    def on_version(self, asked_after, version):
        if version < asked_after:
            self.fail(f"version {version} was read after {asked_after} was "
                      f"acknowledged")

    def unfinished(self, jobs):
        """Tells what is not as it should be once all faults are long over.
        `jobs`: accepted jobs with their last state."""
        texts = []
        for job, state in jobs.items():
            running = [t for t in self.live
                       if t.startswith(job) and self.live[t]]
            count, duration = self.steps[job][0]
            if job in self.cancelled:
                if running:
                    texts.append(f"cancelled job {job} still runs: {running}")
            elif duration is None:
                if len(running) < count:
                    texts.append(f"{len(running)} of {count} lasting tasks of "
                                 f"job {job} run")
            elif state not in ("completed", "failed"):
                texts.append(f"job {job} is {state} long after the last fault")
        return texts

    def summary(self):
        return json.dumps({"starts": self.starts, "jobs": len(self.specs),
                           "done": sum(map(len, self.done.values())),
                           "cancelled": len(self.cancelled),
                           "violations": len(self.violations)})

"""Checks the guarantees of the system on what executors, clients and the
operator observe."""

import collections
import json
import time

# A start may follow an acknowledged cancellation by at most this time. The
# users' bounds are 3 s for a member to learn of the cancellation and 0.2 s for
# the task to stop.
CANCEL_S = 3.5
# Time bounds are checked only this long after the last fault.
FAULT_FREE_S = 6.0


class Oracle:
    """Collects violations; a run passes if there are none at the end."""

    def __init__(self, log):
        self.log = log
        self.violations = []
        self.specs = {}
        self.steps = {}
        self.refused = set()
        self.cancelled = {}
        self.running_on = collections.defaultdict(dict)
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

    def is_fault_free(self, seconds=FAULT_FREE_S):
        return time.monotonic() - self.last_fault > seconds

    # What executors observe; platform/standin.py calls these.

    def on_start(self, executor, task, run, spec):
        self.starts += 1
        job, _, step, _ = task.split(".")
        self.log(f"start {task} run {run} on {executor.name}")
        if job not in self.specs:
            self.fail(f"{task} starts, but no client submitted it")
            return
        if spec != self.specs[job]:
            self.fail(f"{task} starts with another specification")
        if job in self.refused:
            self.fail(f"{task} starts, but all submissions were refused")
        for other, number in self.running_on[task].items():
            self.fail(f"{task} run {run} starts on {executor.name} while run "
                      f"{number} still runs on {other}")
        if task in self.done_acked:
            self.fail(f"{task} run {run} starts after its end was "
                      f"acknowledged")
        count = self.steps[job][int(step) - 1][0] if int(step) else 0
        if len(self.done[(job, int(step) - 1)]) < count:
            self.fail(f"{task} starts before the step it depends on is done")
        cancelled = self.cancelled.get(job)
        if (cancelled and time.monotonic() - cancelled > CANCEL_S
                and self.is_fault_free()):
            self.fail(f"{task} starts long after its job was cancelled")
        self.running_on[task][executor.name] = run

    def on_end(self, executor, number, task, run, outcome):
        self.log(f"end {task} run {run} on {executor.name}: {outcome}")
        self.running_on[task].pop(executor.name, None)
        if outcome != "done":
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
        for runs in self.running_on.values():
            runs.pop(executor.name, None)

    # What clients and the operator observe.

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
            self.fail(f"job {job} was accepted, but is unknown")
        if before in ("completed", "cancelled", "failed") and state != before:
            self.fail(f"job {job} was {before}, but is now {state}")
        if state == "completed":
            for step, (count, _) in enumerate(self.steps[job]):
                if len(self.done[(job, step)]) < count:
                    self.fail(f"job {job} is completed, but not all tasks of "
                              f"step {step} are done")

    def on_version(self, acked_version, version):
        if version < acked_version:
            self.fail(f"version {version} was read after version "
                      f"{acked_version} was acknowledged")

    def unfinished(self, jobs):
        """Returns a text for each job that has not reached the state it must
        reach after the last fault. `jobs`: accepted jobs with their last
        state."""
        texts = []
        for job, state in jobs.items():
            running = [t for t in self.running_on
                       if t.startswith(job) and self.running_on[t]]
            count, duration = self.steps[job][0]
            if job in self.cancelled:
                if running:
                    texts.append(f"cancelled job {job} still runs: {running}")
            elif duration is None:
                if len(running) < count:
                    texts.append(f"only {len(running)} of {count} long-running "
                                 f"tasks of job {job} run")
            elif state not in ("completed", "failed"):
                texts.append(f"job {job} is {state} long after the last fault")
        return texts

    def summary(self):
        return json.dumps({"starts": self.starts, "jobs": len(self.specs),
                           "done": sum(map(len, self.done.values())),
                           "cancelled": len(self.cancelled),
                           "violations": len(self.violations)})

"""A machine with an executor and its agent is suspended for some seconds. The
executor's steady clock, and so its lease, doesn't count that time."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import cluster as deployment  # noqa: E402

AGENTS = 10
TASK_S = 15.0
SUSPENDED_S = 6.0
BOUNDS = {"hold_max_ms": 6000, "stop_ms": 200}


class Watch(deployment.Observer):
    def on_start(self, executor, task, run, request):
        others = {name: number for name, number
                  in self.running.get(task, {}).items()
                  if name != executor.name}
        super().on_start(executor, task, run, request)
        if others:
            self.fail(f"TWICE: {task} run {run} starts on {executor.name} "
                      f"while it runs on {others}")


deployment.Observer = Watch


def task_of(task, request):
    return TASK_S, {"cpu": 1800, "mem_mb": 3200}


async def submit(cluster, count):
    job = deployment.new_id()
    accepted = await cluster.submit(job, {"spec": "plan", "steps": [
        {"count": count, "cpu": 1800, "mem_mb": 3200,
         "estimate_ms": int(TASK_S * 1000)}]})
    if not accepted:
        raise deployment.CannotRun("a job was not accepted")
    return job


async def case(observer):
    cluster = deployment.Cluster(observer, task_of, agents=AGENTS,
                                 bounds=BOUNDS)
    try:
        await cluster.start()
        job = await submit(cluster, 4)
        await asyncio.sleep(2.0)
        executor = next((executor for executor in cluster.executors
                         if executor.runs), None)
        if executor is None:
            raise deployment.CannotRun("the job did not start")
        agent = cluster.agents[cluster.executors.index(executor)]
        if deployment.has_trouble():
            observer.note(f"the machine of {agent.name} and {executor.name} is "
                          f"suspended for {SUSPENDED_S} s")
            agent.signal(signal.SIGSTOP)
            executor.suspend()
        await asyncio.sleep(2.0)
        # Some other work arrives meanwhile, as on any day.
        await submit(cluster, 1)
        await asyncio.sleep(SUSPENDED_S - 2.0)
        if deployment.has_trouble():
            observer.note("the machine resumes")
            executor.resume()
            agent.signal(signal.SIGCONT)
        for _ in range(80):
            if await cluster.state(job) == "completed":
                break
            await asyncio.sleep(0.5)
        observer.note(f"client: the job is {await cluster.state(job)}")
    finally:
        await cluster.stop()


deployment.run_case(HERE, case)

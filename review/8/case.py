"""An executor crashes, is back at once under its id, and then carries out calls
without an answer for some seconds. A job arrives before its first heartbeat."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import cluster as deployment  # noqa: E402

AGENTS = 10
TASK_S = 12.0
DOWN_S = 0.3
MUTE_S = 5.5
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
        await submit(cluster, 1)
        await asyncio.sleep(1.5)
        executor = next((executor for executor in cluster.executors
                         if executor.runs), None)
        if executor is None:
            raise deployment.CannotRun("the job did not start")
        if deployment.has_trouble():
            observer.note(f"{executor.name}: crashes")
            executor.crash()
            await asyncio.sleep(DOWN_S)
            executor.restart(keeps_id=True)
            executor.set_mute(True)
            observer.note(f"{executor.name}: is back under its id, and answers "
                          f"nothing for {MUTE_S} s")
        await asyncio.sleep(0.2)
        job = await submit(cluster, 3)
        await asyncio.sleep(MUTE_S - 0.2)
        if deployment.has_trouble():
            executor.set_mute(False)
            observer.note(f"{executor.name}: answers again")
        for _ in range(60):
            if await cluster.state(job) == "completed":
                break
            await asyncio.sleep(0.5)
        observer.note(f"client: the job is {await cluster.state(job)}")
    finally:
        await cluster.stop()


deployment.run_case(HERE, case)

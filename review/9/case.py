"""An executor crashes beneath one member of a gang that checkpoints. Executors
on this platform take a start of a gang's member only with the checkpoint that
the other members of that run carry."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import cluster as deployment  # noqa: E402
import gang  # noqa: E402

AGENTS = 8
MEMBERS = 3
TASK_S = 12.0
WORK_S = 4.0
DOWN_S = 2.0
CALM_S = 15.0
WATCHED_S = 25.0


def task_of(task, request):
    return TASK_S, {"cpu": 12000, "mem_mb": 8000}


async def case(observer):
    cluster = deployment.Cluster(observer, task_of, agents=AGENTS)
    platform = gang.Platform(cluster.executors, observer, MEMBERS, TASK_S)
    try:
        await cluster.start()
        job = deployment.new_id()
        accepted = await cluster.submit(job, {"spec": "plan", "steps": [
            {"count": MEMBERS, "cpu": 12000, "mem_mb": 8000, "gang": True,
             "checkpointing": True, "estimate_ms": int(TASK_S * 1000)}]})
        if not accepted:
            raise deployment.CannotRun("the job was not accepted")
        await asyncio.sleep(WORK_S)
        crashed = next((executor for executor in cluster.executors
                        if executor.runs), None)
        if crashed is None:
            raise deployment.CannotRun("the gang did not start")
        if deployment.has_trouble():
            observer.note(f"{crashed.name}: crashes")
            crashed.crash()
            await asyncio.sleep(DOWN_S)
            crashed.restart()
            observer.note(f"{crashed.name}: is back")
        await asyncio.sleep(CALM_S)
        platform.begin_calm()
        for _ in range(int(WATCHED_S)):
            if await cluster.state(job) == "completed":
                break
            await asyncio.sleep(1.0)
        observer.note(f"client: the job is {await cluster.state(job)}")
    finally:
        await cluster.stop()


deployment.run_case(HERE, case)

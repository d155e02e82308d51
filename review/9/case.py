"""One member of a gang ends `failed` once. The gang needs the label of one
executor, which is sound and empty from then on."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import cluster as deployment  # noqa: E402
import gang  # noqa: E402

AGENTS = 10
LABEL = "b"
MEMBERS = 3
TASK_S = 4.0
FINISH_S = 14.0
IDLE_S = 3.0
WATCHED_S = 12.0


def task_of(task, request):
    return TASK_S, {"cpu": 1800, "mem_mb": 3200}


async def case(observer):
    cluster = deployment.Cluster(observer, task_of, agents=AGENTS)
    gang.Platform(cluster.executors, observer, MEMBERS, TASK_S)
    labelled = cluster.executors[-1]
    labelled.kind = LABEL
    try:
        await cluster.start()
        job = deployment.new_id()
        accepted = await cluster.submit(job, {"spec": "plan", "steps": [
            {"count": MEMBERS, "cpu": 1800, "mem_mb": 3200, "gang": True,
             "required_label": LABEL, "estimate_ms": int(TASK_S * 1000)}]})
        if not accepted:
            raise deployment.CannotRun("the job was not accepted")
        await asyncio.sleep(2.0)
        if len(labelled.runs) != MEMBERS:
            raise deployment.CannotRun("the gang did not start")
        if deployment.has_trouble():
            labelled.end_run(sorted(labelled.runs)[0], "failed")
        # The end of the traffic; finish_s later jobs are asked for.
        await asyncio.sleep(FINISH_S)
        idle_since = time.monotonic()
        end = idle_since + WATCHED_S
        while time.monotonic() < end:
            if any(executor.runs for executor in cluster.executors):
                idle_since = time.monotonic()
            state = await cluster.state(job)
            if state == "completed":
                break
            idle_s = time.monotonic() - idle_since
            if idle_s >= IDLE_S:
                observer.fail(
                    f"LOST: the job is {state} with nothing running for "
                    f"{idle_s:.1f} s, and every executor is empty")
                break
            await asyncio.sleep(0.2)
        observer.note(f"client: the job is {await cluster.state(job)}")
    finally:
        await cluster.stop()


deployment.run_case(HERE, case)

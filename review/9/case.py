"""The open connections from control to an entry go silent while new ones work.
A client submits a job; soon after, the operator removes the job's route."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import cluster as deployment  # noqa: E402

OLD_PREFIX = "/old/"
CLIENTS = 3


class Watch(deployment.Observer):
    def __init__(self, path):
        super().__init__(path)
        self.started = set()

    def on_start(self, executor, task, run, request):
        super().on_start(executor, task, run, request)
        self.started.add(task.split(".")[0])


deployment.Observer = Watch


def task_of(task, request):
    return 1.7, {"cpu": 1000, "mem_mb": 500}


async def submit_until_clear(cluster, job):
    """Sends a job as clients do: again after no response, a broken connection,
    a 502 or a 504. Returns the statuses of all attempts."""
    body = {"spec": "plan", "steps": [
        {"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1700}]}
    statuses = []
    for attempt in range(5):
        response = await cluster.client("POST", OLD_PREFIX + job, body)
        statuses.append(response[0] if response else None)
        cluster.observer.note(f"client: POST {OLD_PREFIX}{job}: {statuses[-1]}")
        if statuses[-1] not in (None, 502, 504):
            break
        await asyncio.sleep(0.3)
    return statuses


async def case(observer):
    cluster = deployment.Cluster(observer, task_of, agents=4, entries=1)
    cluster.add_proxies(cluster.entries)
    try:
        await cluster.start()
        await cluster.set_config({deployment.PREFIX: {}, OLD_PREFIX: {}})
        await asyncio.sleep(3.0)
        # Both ways of the link have been used.
        await cluster.client("GET", OLD_PREFIX)
        if deployment.has_trouble():
            observer.note("entry1: its open connections from control go silent")
            cluster.entries[0].proxy.blackhole()
        jobs = [deployment.new_id() for _ in range(CLIENTS)]
        clients = [asyncio.create_task(submit_until_clear(cluster, job))
                   for job in jobs]
        await asyncio.sleep(0.6)
        await cluster.set_config({deployment.PREFIX: {}})
        results = dict(zip(jobs, await asyncio.gather(*clients)))
        await asyncio.sleep(5.0)
        for job, statuses in results.items():
            all_rejected = all(status in (404, 429, 503)
                               for status in statuses)
            if all_rejected and job in observer.started:
                observer.fail(f"REFUSED: tasks of {job} started, and all "
                              f"attempts to submit it got {statuses}")
    finally:
        await cluster.stop()


deployment.run_case(HERE, case)

"""More than 500 tasks of one executor end while the control group has no
leader."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))

from deployment import PREFIX, Deployment, run_case
from executor import Executor
from record import find_twice

JOBS = [f"00000000000000{i:02x}" for i in range(20)]
WIDTH = 32
COUNT = WIDTH * len(JOBS)
WORK_S = 8.0


async def case(record, has_trouble, deployments):
    deployment = Deployment(record, control=3, entries=1, agents=1)
    deployments.append(deployment)
    await deployment.start()
    jobs = {job: [{"count": WIDTH, "cpu": 25, "mem_mb": 64,
                   "estimate_ms": int(WORK_S * 1000), "work_s": WORK_S}]
            for job in JOBS}
    executor = Executor("e1", deployment.executor_address(1),
                        deployment.of("agent")[0].address("public"), jobs,
                        record)
    await executor.open()
    routes = [("work", PREFIX, "svc")]
    if not await deployment.configure(deployment.configuration(routes)):
        return 2
    await asyncio.wait_for(executor.is_registered.wait(), 10)
    answers = await asyncio.gather(
        *[deployment.submit(job, jobs[job]) for job in JOBS])
    if answers != [200] * len(JOBS):
        return 2
    while not record.of("begun"):
        await asyncio.sleep(0.01)
    first_begun = time.monotonic()
    await asyncio.sleep(WORK_S - 1.0)
    record.write("at_work", count=len(executor.runs),
                 ended=len(record.of("end")))
    leader = await deployment.find_leader()
    if leader is None or len(executor.runs) < COUNT:
        return 2
    await asyncio.sleep(first_begun + WORK_S - 0.2 - time.monotonic())
    if has_trouble:
        record.write("trouble", text="the leader is killed", node=leader.name)
        leader.kill()
    states = await asyncio.gather(
        *[deployment.wait_for_end(job, 50) for job in JOBS])
    await asyncio.sleep(2)
    executor.close()
    breaks = find_twice(record.entries)
    tasks = {entry["task"] for _, entry, _ in breaks}
    record.write("result", states=states, breaks=len(breaks),
                 tasks=len(tasks), first=str(breaks[:1]))
    print(f"{states.count('completed')} jobs completed; {len(tasks)} tasks break TWICE")
    return 1 if breaks else 0


run_case(case, sys.argv[1] if len(sys.argv) > 1 else "record.txt")

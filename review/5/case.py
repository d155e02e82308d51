"""Heartbeats from another writer, of a service that no configuration names,
reach the agents, one each."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))

from deployment import PREFIX, Deployment, run_case
from executor import Executor
from http_io import call

JOB = "00000000000000b1"
EXECUTORS = 3
FINISH_S = 14.0


async def case(record, has_trouble, deployments):
    deployment = Deployment(record, control=3, entries=1, agents=EXECUTORS)
    deployments.append(deployment)
    await deployment.start()
    jobs = {JOB: [{"count": 2, "cpu": 2000, "mem_mb": 1024,
                   "estimate_ms": 1000, "work_s": 1.0}]}
    agents = deployment.of("agent")
    executors = [Executor(f"e{i}", deployment.executor_address(i),
                          agent.address("public"), jobs, record)
                 for i, agent in enumerate(agents, 1)]
    for executor in executors:
        await executor.open()
    if not await deployment.configure(
            deployment.configuration([("work", PREFIX, "svc")])):
        return 2
    for executor in executors:
        await asyncio.wait_for(executor.is_registered.wait(), 10)
    await asyncio.sleep(3)
    for i, agent in enumerate(agents if has_trouble else (), 1):
        body = {"service": "other", "address": f"127.0.0.{i}:9", "zone": "z1",
                "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "labels": ["a", "r1-1"],
                "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
                "clock_ms": 1000, "sequence": 1,
                "born": int(time.time() * 1000)}
        response = await call(agent.address("public"), "POST",
                              f"/Instances.Heartbeat/i-other-{i}", body)
        record.write("trouble", text="heartbeat of another writer", body=body,
                     status=response and response[0])
    await asyncio.sleep(3)
    if await deployment.submit(JOB, jobs[JOB]) != 200:
        return 2
    # The rule: finish_s after the end of the traffic, nothing of the job runs
    # for 3 s although its turn has come and all executors are idle.
    state = await deployment.wait_for_end(JOB, FINISH_S + 3.0)
    begun = record.of("begun")
    beats = [await executor.send_heartbeat() for executor in executors]
    record.write("result", state=state, begun=len(begun),
                 heartbeats_acknowledged=beats)
    print(f"state {state}; {len(begun)} runs begun")
    is_broken = state in ("queued", "running") and not begun
    if state not in ("queued", "running", "completed"):
        return 2
    return 1 if is_broken else 0


run_case(case, sys.argv[1] if len(sys.argv) > 1 else "record.txt")

"""The last call of an executor that leaves is held up by a partition and
arrives after the executor has started again under its id."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))

from deployment import PREFIX, Deployment, run_case
from executor import Executor
from link import Link
from record import find_twice

JOBS = [f"00000000000000c{i}" for i in range(10)]
EXECUTORS = 8
CUT_S = 3.2


async def deregister(executor, record, waits_s):
    """Sends the call and waits for its acknowledgement, but not longer. The
    connection is open already. The bytes are on their way when the executor
    ends."""
    body = json.dumps(executor.heartbeat()).encode()
    host, _, port = executor.agent.rpartition(":")
    path = f"/Instances.Deregister/{executor.id}"
    reader, writer = await asyncio.open_connection(host, int(port))
    await asyncio.sleep(0.1)
    return_value = asyncio.get_running_loop().create_future()

    async def send():
        writer.write((f"POST {path} HTTP/1.1\r\nHost: {executor.agent}\r\n"
                      "Content-Type: application/json\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()
        record.write("deregister_sent", id=executor.id, born=executor.born)
        try:
            line = await asyncio.wait_for(reader.readline(), waits_s)
        except asyncio.TimeoutError:
            line = b""
        record.write("deregister_answer", line=line.decode().strip())
        return_value.set_result(None)
        if not line:
            # Only to see when the bytes arrived.
            line = await reader.readline()
            record.write("deregister_arrived", line=line.decode().strip())
        writer.close()

    return asyncio.create_task(send()), return_value


async def case(record, has_trouble, deployments):
    deployment = Deployment(record, control=3, entries=1, agents=EXECUTORS)
    deployments.append(deployment)
    await deployment.start()
    jobs = {job: [{"count": 1, "cpu": 1000, "mem_mb": 1024, "data_rack": "r1-1",
                   "estimate_ms": 6000, "work_s": 6.0}] for job in JOBS}
    agents = deployment.of("agent")
    executors = [
        Executor(f"e{i}", deployment.executor_address(i),
                 agents[i - 1].address("public"), jobs, record,
                 labels=["a", f"r1-{i}"])
        for i in range(1, EXECUTORS + 1)]
    first = executors[0]
    link_port = deployment.ports["link"]
    to_agent = Link(f"{agents[0].ip}:{link_port}", first.agent)
    to_executor = Link(
        f"{first.listen.rpartition(':')[0]}:{link_port}", first.listen)
    first.agent, first.announced = to_agent.listen, to_executor.listen
    for part in (to_agent, to_executor, *executors):
        await part.open()
    if not await deployment.configure(
            deployment.configuration([("work", PREFIX, "svc")])):
        return 2
    for executor in executors:
        await asyncio.wait_for(executor.is_registered.wait(), 10)
    await asyncio.sleep(2)
    # A planned end: draining is acknowledged, and drain_ms passes.
    first.state = "draining"
    if not await first.send_heartbeat():
        return 2
    await asyncio.sleep(2.3)
    sending, is_over = await deregister(first, record, waits_s=2.0)
    if has_trouble:
        record.write("trouble", text="the executor is cut off", for_s=CUT_S)
        to_agent.cut(CUT_S)
        to_executor.cut(CUT_S)
    await is_over
    first.end_life()
    await asyncio.sleep(0.6)
    first.begin_life(keeps_id=True)
    await asyncio.wait_for(first.is_registered.wait(), 8)
    for job in JOBS:
        if await deployment.submit(job, jobs[job]) != 200:
            return 2
        await asyncio.sleep(0.25)
    await sending
    states = [await deployment.wait_for_end(job, 25) for job in JOBS]
    await asyncio.sleep(1)
    breaks = find_twice(record.entries)
    record.write("result", states=states, breaks=len(breaks),
                 first=str(breaks[:1]))
    print(f"{states.count('completed')} jobs completed; {len(breaks)} starts break TWICE")
    return 1 if breaks else 0


run_case(case, sys.argv[1] if len(sys.argv) > 1 else "record.txt")

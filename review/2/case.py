"""A worker's Leave is held up and arrives after it has started again."""

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import is_on, until  # noqa: E402
from http_standin import fetch  # noqa: E402
from scene import HOST, KEY, manifest, play, route, tenant  # noqa: E402
from workers import Fleet  # noqa: E402

NAME = "i-7f3a91c2"
JOB = "5c0e7a21d94b36f8"
WORK_S = 12.0
DRAIN_S = 2.0
HELD_S = 5.5
ANSWER_S = 2.0  # without an ack the worker ends anyway


async def delaying_proxy(ip, target, port, delay_s):
    """Serve a proxy that holds up what it forwards; return its address."""

    async def on_channel(reader, writer):
        data = b""
        while b"}" not in data:
            data += await reader.read(4_096)
        await asyncio.sleep(delay_s)
        behind, forward = await asyncio.open_connection(target, port)
        forward.write(data)
        answer = await behind.read(65_536)
        with suppress(OSError):
            writer.write(answer)
            await writer.drain()
        writer.close()
        forward.close()

    server = await asyncio.start_server(on_channel, ip, 0)
    return f"{ip}:{server.sockets[0].getsockname()[1]}"


async def scene(record, deployment):
    """Drain a worker, start it again under its id, deliver its Leave late."""
    await deployment.start_all()
    fleet = Fleet(
        record, deployment.controls, lambda worker, task, run: (WORK_S, "done")
    )
    try:
        await deployment.put(
            manifest(
                1,
                [route("plans", "/plans/", "plan-desk")],
                [("plan-desk", False)],
                [tenant("dispatch", [KEY])],
            )
        )
        network = f"127.{deployment.network}.1"
        old = await fleet.add(NAME, "plan-desk", f"{network}.1", machine="m-1")
        await asyncio.sleep(2.0)
        old.heartbeats = False
        old.state = "draining"

        async def drains():
            return await old.announce()

        await until(5, drains, "draining acknowledged")
        record.write(f"{old.label} drains")
        await asyncio.sleep(DRAIN_S)
        leader = deployment.ips[await deployment.leader()]
        proxy = await delaying_proxy(
            f"{network}.9", leader, deployment.control_port, HELD_S if is_on() else 0.0
        )
        record.write(f"{old.label} sends its Leave, held up {HELD_S * is_on()} s")
        sent_s = record.now()
        reply = await fetch(
            "POST",
            proxy,
            f"/Instances.Leave/{NAME}",
            {"born": old.born},
            timeout_s=ANSWER_S,
        )
        record.write(f"answer to the Leave: {reply.status} {reply.error}")
        old.crash()
        record.write(f"{old.label} ends")
        await asyncio.sleep(0.3)
        new = await fleet.add(NAME, "plan-desk", f"{network}.1", machine="m-1")
        other = await fleet.add(
            "i-0b11d2e3", "plan-desk", f"{network}.2", machine="m-2"
        )
        await asyncio.sleep(0.7)
        step = {"count": 8, "cpu": 7_000, "memory_limit_mb": 256}
        job = {"task_spec": "plan", "steps": [step | {"estimated_ms": 12_000}]}
        reply = await deployment.call(
            "entry-1", "POST", f"/plans/{JOB}", HOST, KEY, job
        )
        record.write(f"POST of the job: {reply.status}")
        if reply.status != 200:
            raise RuntimeError("the job was not accepted")

        async def all_run():
            return len(new.running) + len(other.running) == 8

        await until(5, all_run, "all subtasks run")
        await asyncio.sleep(0.5)
        record.write(f"on {new.label}: {len(new.running)}, other: {len(other.running)}")
        if record.now() > sent_s + HELD_S:
            raise RuntimeError("the subtasks started too late for the case")
        await asyncio.sleep(sent_s + HELD_S - record.now())
        record.write("the Leave is no longer held up")
        await asyncio.sleep(WORK_S + 4.0)
        reply = await deployment.call("entry-1", "GET", f"/plans/{JOB}", HOST, KEY)
        record.write(f"GET of the job: {reply.status} {reply.body!r}")
        return fleet.twice()
    finally:
        fleet.close()


play(FOLDER, scene)

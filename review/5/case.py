"""An entry freezes while it waits for the leader, and a key is withdrawn meanwhile."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import is_on  # noqa: E402
from scene import HOST, KEY, manifest, play, route, tenant  # noqa: E402
from workers import Fleet  # noqa: E402

OTHER_KEY = "k-dispatch-2"
JOBS = 120
INTERVAL_S = 0.004
FREEZE_S = 1.6
REJECTED = (400, 401, 403, 404, 410, 429, 503)


async def scene(record, deployment):
    """Submit jobs through one entry, freeze it, withdraw their key, thaw it."""
    await deployment.start_all()
    fleet = Fleet(record, deployment.controls, lambda worker, task, run: (0.5, "done"))
    try:
        routes = [route("plans", "/plans/", "plan-desk")]
        services = [("plan-desk", False)]
        keys = [KEY, OTHER_KEY]
        await deployment.put(manifest(1, routes, services, [tenant("dispatch", keys)]))
        for number in range(2):
            ip = f"127.{deployment.network}.1.{number + 1}"
            await fleet.add(f"i-7f3a91{number:02x}", "plan-desk", ip)
        await asyncio.sleep(2.5)
        step = {"count": 1, "cpu": 500, "memory_limit_mb": 64, "estimated_ms": 500}
        value = {"task_spec": "plan", "steps": [step]}
        answers = {}

        async def submit(number):
            job = f"{0x5C0E7A21D94B0000 + number:016x}"
            reply = await deployment.call(
                "entry-1", "POST", f"/plans/{job}", HOST, KEY, value, 3.0
            )
            answers[job] = reply.status
            record.write(f"POST of {job}: {reply.status} {reply.error}")

        calls = []
        for number in range(JOBS):
            calls.append(asyncio.ensure_future(submit(number)))
            await asyncio.sleep(INTERVAL_S)
            if number == JOBS // 2 and is_on():
                deployment.signal("entry-1", signal.SIGSTOP)
                frozen_s = record.now()
        await deployment.put(
            manifest(2, routes, services, [tenant("dispatch", [OTHER_KEY])])
        )
        if is_on():
            await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - record.now()))
            deployment.signal("entry-1", signal.SIGCONT)
        await asyncio.gather(*calls)
        await asyncio.sleep(4.0)
        broken = []
        for job, status in answers.items():
            starts = fleet.starts(job)
            if starts and status in REJECTED:
                broken.append(
                    f"{job}: its only attempt was answered {status}, and"
                    f" {starts[0][2]} started at {starts[0][0]:.3f}"
                )
        return broken
    finally:
        fleet.close()


play(FOLDER, scene)

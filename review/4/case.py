"""Workers shed starts for some seconds, and stay closed to all but one run for good."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import is_on  # noqa: E402
from scene import HOST, KEY, manifest, play, route, tenant  # noqa: E402
from workers import Fleet  # noqa: E402

LASTING, SHORT = "5c0e7a21d94b36f8", "7d1f8b32ea5c47a9"
WORKERS, SHEDDING = 14, 2  # a share of 0.14
SHED_S = 6.5
CALM_S, FINISH_S, IDLE_S = 4.0, 14.0, 3.0  # of the rule


async def scene(record, deployment):
    """Submit a lasting job while two workers shed, and a short one much later."""

    def work(worker, task, run):
        return (None, "") if task.startswith(LASTING) else (1.0, "done")

    await deployment.start_all()
    fleet = Fleet(record, deployment.controls, work)
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
        shedding = []
        for number in range(WORKERS):
            kind = "b" if number < SHEDDING else "a"
            worker = await fleet.add(
                f"i-7f3a91{number:02x}",
                "plan-desk",
                f"{network}.{number + 1}",
                labels=(kind, f"r{number % 4}"),
            )
            if number < SHEDDING:
                shedding.append(worker)
        await asyncio.sleep(2.5)
        for worker in shedding:
            worker.sheds = is_on()
        record.write(
            f"{SHEDDING} of {WORKERS} workers answer starts with 503: {is_on()}"
        )
        shed_from_s = record.now()
        step = {"cpu": 2_000, "memory_limit_mb": 512, "requirements": "b"}
        lasting = step | {"count": 2, "anti_affinity": 1, "long_running": True}
        await submit(record, deployment, LASTING, lasting)
        await asyncio.sleep(shed_from_s + SHED_S - record.now())
        for worker in shedding:
            worker.sheds = False
        record.write("all workers take starts again")
        await asyncio.sleep(CALM_S + 8.0)
        record.write(f"the lasting job has {len(fleet.starts(LASTING))} starts")
        short = step | {"count": 1, "estimated_ms": 1_000}
        await submit(record, deployment, SHORT, short)
        await asyncio.sleep(FINISH_S + IDLE_S)
        reply = await deployment.call("entry-1", "GET", f"/plans/{SHORT}", HOST, KEY)
        record.write(f"GET of the short job: {reply.status} {reply.body!r}")
        starts = fleet.starts(SHORT)
        for worker in shedding:
            record.write(f"{worker.label} runs {list(worker.running)}, state ready")
        if starts:
            return []
        return [
            f"{SHORT}: accepted, nothing of it ran in {FINISH_S + IDLE_S:.0f} s after"
            f" {CALM_S + 8.0:.0f} calm seconds; both workers of its kind were ready and"
            f" had 62 of 64 cores free: {reply.body.decode()}"
        ]
    finally:
        fleet.close()


async def submit(record, deployment, job, step):
    """Submit a job of one step; it has to be accepted."""
    value = {"task_spec": "plan", "steps": [step]}
    reply = await deployment.call("entry-1", "POST", f"/plans/{job}", HOST, KEY, value)
    record.write(f"POST of {job}: {reply.status}")
    if reply.status != 200:
        raise RuntimeError("the job was not accepted")


play(FOLDER, scene)

"""More than 500 ends wait on a worker when a new leader reads its lists."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import is_on, until  # noqa: E402
from scene import HOST, KEY, manifest, play, route, tenant  # noqa: E402
from workers import Fleet  # noqa: E402

JOB = "5c0e7a21d94b36f8"
COUNT = 1_200  # of 50 thousandths of a core: they fit on one worker of 64 cores
END_S = 14.0  # after the first start: all subtasks end about then
SPREAD_S = 0.25
KILL_BEFORE_S = 0.05


async def scene(record, deployment):
    """Submit one job, kill the leader just before its subtasks end."""
    first = []

    def work(worker, task, run):
        now = record.now()
        first.append(now)
        index = int(task.rpartition(".")[2])
        ends_at = first[0] + END_S + SPREAD_S * (index % 100) / 100
        return max(0.3, ends_at - now), "done"

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
        ip = f"127.{deployment.network}.1.1"
        worker = await fleet.add("i-7f3a91c2", "plan-desk", ip)
        await asyncio.sleep(2.0)
        job = {
            "task_spec": "plan",
            "steps": [
                {
                    "count": COUNT,
                    "cpu": 50,
                    "memory_limit_mb": 100,
                    "estimated_ms": int(END_S * 1000),
                }
            ],
        }
        reply = await deployment.call(
            "entry-1", "POST", f"/plans/{JOB}", HOST, KEY, job
        )
        record.write(f"POST of the job: {reply.status}")
        if reply.status != 200:
            raise RuntimeError("the job was not accepted")

        async def all_run():
            return len(worker.running) == COUNT

        await until(END_S - 1, all_run, "all subtasks run", 0.02)
        leader = await deployment.leader()
        await asyncio.sleep(first[0] + END_S - KILL_BEFORE_S - record.now())
        if is_on():
            deployment.kill(leader)
            await asyncio.sleep(1.0)
            deployment.start(leader)
        await asyncio.sleep(12.0)
        reply = await deployment.call("entry-1", "GET", f"/plans/{JOB}", HOST, KEY)
        record.write(f"GET of the job: {reply.status} {reply.body!r}")
        starts = len(fleet.starts(JOB))
        record.write(f"{starts} starts of {COUNT} subtasks")
        return fleet.twice()
    finally:
        fleet.close()


play(FOLDER, scene)

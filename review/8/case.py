"""LOST: an upkeep that cannot begin keeps all other jobs of a service from running."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from cloud import Cloud
from deployment import CannotRun, job_id, manifest, run, step

WAVE_S = 25
WATCH_S = 60.0


def play(deployment, trouble):
    """Begin a wave for the machine of a service's only worker."""
    cloud = Cloud(deployment)
    cloud.add("m-1", "w-1", "rounds")
    cloud.add("m-2", "w-2", "depots")
    cloud.add("m-3", "w-3", "depots")
    cloud.waves[1] = ("m-1",)
    deployment.add_cloud(cloud)
    deployment.run_programs(cores=3, entries=2)
    plain = manifest(1, services=("rounds", "depots"))
    plain["routes"].append(
        plain["routes"][0]
        | {"name": "stock", "path_prefix": "/stock/", "service": "depots"}
    )
    deployment.operate("POST", "/Configuration.Put", plain)
    deployment.wait_until_ready()
    for number, service in enumerate(("rounds", "depots", "depots"), 1):
        deployment.add_worker(f"w-{number}", f"m-{number}", service)
    time.sleep(5.0)
    lasting = job_id()
    steps = [step(1, cpu=1000, long_running=True, may_miss=1)]
    if deployment.submit(lasting, steps, "lasts=1") != 200:
        raise CannotRun("the job that lasts was not accepted")
    first = job_id()
    if deployment.submit(first, [step(2)], "ms=200") != 200:
        raise CannotRun("the first job was not accepted")
    time.sleep(3.0)
    if deployment.state(first) != "completed":
        raise CannotRun("the first job was not completed")
    if trouble:
        wave = {"wave": 1, "machines": ["m-1"], "duration_s": WAVE_S, "upper_limit": 1}
        deployment.operate("POST", "/wave-start", wave)
    time.sleep(1.0)
    job = job_id()
    if deployment.submit(job, [step(2)], "ms=200") != 200:
        raise CannotRun("the job was not accepted")
    handed_in_s = time.monotonic()
    end_s = handed_in_s + WATCH_S
    starts = []
    while time.monotonic() < end_s and not starts:
        time.sleep(0.5)
        starts = [
            event["at"] + deployment.start_s - handed_in_s
            for event in deployment.worker_events()
            if event["what"] == "start" and event["task"].startswith(job)
        ]
    deployment.record(f"state of the job: {deployment.state(job)}; starts: {starts}")
    if trouble:
        deployment.operate("GET", "/wave-get/1")
    if not starts:
        return f"LOST: nothing of the job ran in {WATCH_S:.0f} s beside a free worker"
    return ""


if __name__ == "__main__":
    sys.exit(run(__file__, play))

"""TWICE: a worker starts again behind a cut, under its identifier."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import CannotRun, job_id, manifest, run, step

WORKERS = 8
TASK_MS = 3000
CUT_S = 1.7


def runs_beside_others(events):
    """Return the starts of subtasks beside another run on a worker that was up."""
    found, live = [], {}
    for event in events:
        task, place = event.get("task"), (event["worker"], event.get("run"))
        if event["what"] in ("crash", "left"):  # nothing runs on
            for known in live.values():
                known -= {one for one in known if one[0] == event["worker"]}
        elif event["what"] == "start":
            runs = live.setdefault(task, set())
            if runs:
                found.append((task, *place, sorted(runs)))
            runs.add(place)
        elif event["what"] == "end":
            live.get(task, set()).discard(place)
    return found


def play(deployment, trouble):
    """Cut off an idle worker, crash and restart it, heal the cut, hand in a job."""
    deployment.run_programs(cores=3, entries=2)
    deployment.operate("POST", "/Configuration.Put", manifest(1))
    deployment.wait_until_ready()
    paths, options = deployment.put_behind_proxy("w-1")
    deployment.add_worker("w-1", **options)
    time.sleep(1.0)
    for number in range(2, WORKERS + 1):
        deployment.add_worker(f"w-{number}")
    time.sleep(3.0)
    first = job_id()
    if deployment.submit(first, [step(12, cpu=1000)], "ms=200") != 200:
        raise CannotRun("the first job was not accepted")
    time.sleep(2.0)
    if deployment.state(first) != "completed":
        raise CannotRun("the first job was not completed")
    if trouble:
        for path in paths:
            path.cut()
        deployment.record("worker w-1 is cut off")
        deployment.kill_worker("w-1")
        deployment.add_worker("w-1", **options)
        time.sleep(CUT_S)
        for path in paths:
            path.heal()
        deployment.record("the cut is healed")
    job = job_id()
    if deployment.submit(job, [step(12, cpu=1000)], f"ms={TASK_MS}") != 200:
        raise CannotRun("the job was not accepted")
    time.sleep(10.0)
    deployment.record(f"state of the job: {deployment.state(job)}")
    found = runs_beside_others(deployment.worker_events())
    for task, worker, number, others in found:
        deployment.record(f"{task}: run {number} began on {worker} beside {others}")
    if found:
        return f"TWICE: {len(found)} starts beside another run of the same subtask"
    return ""


if __name__ == "__main__":
    sys.exit(run(__file__, play))

"""Stand-in for the workers of PROTOCOL.md, and a record of what they ran."""

import asyncio
import json
import random
import time

from http_standin import fetch, serve

__all__ = ["Fleet", "Worker"]

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6_000
STOP_S = 0.1  # the pages allow stop_timeout_ms, 200
ENDS_AT_A_TIME = 500  # "The others are returned again (500 at a time)"
STARTUP_S = 0.7  # of a subtask that lasts, until it is at work


GANG_TIMEOUT_S = 3.0
CHECKPOINT_MS = 2_000


class Run:
    """A run in progress; ``started_ms`` is None while its gang isn't complete."""

    def __init__(self, number, started_ms, lasts_ms, checkpoint=""):
        self.number = number
        self.started_ms = started_ms
        self.lasts_ms = lasts_ms
        self.checkpoint = checkpoint
        self.salt = f"{random.getrandbits(32):08x}"
        self.stopping = False

    def saved(self, clock_ms):
        """Return the latest checkpoint: a value for each ``checkpoint_s`` of work."""
        base_ms = int(self.checkpoint[:8], 16) if self.checkpoint else 0
        if self.started_ms is None:
            return self.checkpoint
        steps = (clock_ms - self.started_ms) // CHECKPOINT_MS
        if not steps:
            return self.checkpoint
        return f"{base_ms + steps * CHECKPOINT_MS:08x}{self.salt}"


class Gang:
    """
    The members of one run of a gang.

    They work from the moment when all are present, and all must carry the same
    checkpoint: members with another value aren't present for them.
    """

    def __init__(self, count, work_ms):
        self.count = count
        self.work_ms = work_ms
        self.members = {}

    def join(self, worker, task, run):
        """Add a member; let the gang work if it is complete."""
        self.members[task] = worker, run
        values = {run.checkpoint for _, run in self.members.values()}
        if len(self.members) < self.count or len(values) > 1:
            return
        done_ms = int(run.checkpoint[:8], 16) if run.checkpoint else 0
        for name, (place, member) in self.members.items():
            member.started_ms = place.clock_ms()
            member.lasts_ms = max(1, self.work_ms - done_ms)
            place.later(member.lasts_ms / 1_000, name, member.number, "done")

    def leave(self, task, how):
        """Remove a member; the others end with it."""
        if self.members.pop(task, None) is None or how == "alone":
            return
        others, self.members = self.members, {}
        for name, (worker, member) in others.items():
            run = worker.running.get(name)
            if run is member:
                worker.end(name, "done" if how == "done" else "broken")


class Fleet:
    """
    Owns the workers and the record of their runs.

    Attributes
    ----------
    work : callable
        Takes worker, subtask and run; returns seconds (None for one that lasts) and
        how the run ends.
    events : list of tuple
        (seconds, "start" or "end" or "noted", subtask, run, worker, how).
    """

    def __init__(self, record, controls, work):
        self.record = record
        self.controls = controls
        self.work = work
        self.events = []
        self.workers = []
        self.gang_sizes = {}
        self.gangs = {}

    def note(self, what, task, run, worker, how=""):
        """Record an event."""
        self.events.append((self.record.now(), what, task, run, worker, how))
        self.record.write(f"{what} {task} run {run} on {worker.label} {how}".rstrip())

    async def add(self, name, service, ip, **fields):
        """Start a worker."""
        worker = Worker(self, name, service, ip, **fields)
        await worker.start()
        self.workers.append(worker)
        return worker

    def gang_of(self, task, number):
        """Return the gang that a run belongs to, None for a step without one."""
        step = task.rpartition(".")[0]
        if step not in self.gang_sizes:
            return None
        return self.gangs.setdefault((step, number), Gang(*self.gang_sizes[step]))

    def starts(self, job):
        """Return the starts of a job's subtasks."""
        return [
            event
            for event in self.events
            if event[1] == "start" and event[2].startswith(job)
        ]

    def twice(self):
        """
        Return how the rule TWICE was broken, by the recorded events.

        Two runs of one subtask at once on workers that are up, or a start after a run
        has ended ``done`` whose end was taken note of then or later. An end counts as
        taken note of when ``last_seen`` reaches it, unless the worker's lease lapsed
        between the two.
        """
        noted = {
            (task, run, worker): at
            for at, what, task, run, worker, _ in self.events
            if what == "noted"
        }
        live, done, broken = {}, {}, []
        for at, what, task, run, worker, how in self.events:
            if what == "start":
                for other, number in live.get(task, {}).items():
                    broken.append(
                        f"{at:.3f} {task}: run {run} starts on {worker.label} while"
                        f" run {number} is running on {other.label}"
                    )
                if task in done:
                    number, ended_at, seen_at = done[task]
                    broken.append(
                        f"{at:.3f} {task}: run {run} starts on {worker.label}, run"
                        f" {number} ended done at {ended_at:.3f}, taken note of at"
                        f" {seen_at:.3f}"
                    )
                live.setdefault(task, {})[worker] = run
            elif what == "end":
                live.get(task, {}).pop(worker, None)
                if how == "done" and (task, run, worker) in noted:
                    done.setdefault(task, (run, at, noted[task, run, worker]))
        return broken

    def close(self):
        """Stop all workers."""
        for worker in self.workers:
            worker.crash()


class Worker:
    """One life of a machine that runs subtasks."""

    def __init__(
        self, fleet, name, service, ip, machine="", cpu=64_000, labels=("a", "r1")
    ):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.ip = ip
        self.machine = machine or f"m-{name}"
        self.labels = list(labels)
        self.capacity = {"cpu": cpu, "memory_limit_mb": 131_072, "gpu": 0}
        self.born = time.time_ns() // 1_000_000
        self.label = f"{name}@{self.born}"
        self.clock_start_s = time.monotonic() - random.uniform(100, 1_000)
        self.sequence = 0
        self.state = "ready"
        self.up = False
        self.fence = 0
        self.lease_ms = 0
        self.lapsed_ms = 0
        self.running = {}
        self.ended = []
        self.closed_runs = {}
        self.number = 0
        self.changed = asyncio.Event()
        self.sheds = False
        self.tasks = []
        self.server = None
        self.address = ""
        self.heartbeats = True

    def clock_ms(self):
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self.clock_start_s) * 1_000)

    async def start(self):
        """Serve orders, and announce the worker."""
        self.server = await serve(self.ip, 0, self.answer)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.up = True
        self.tasks = [
            asyncio.ensure_future(self.announce_forever()),
            asyncio.ensure_future(self.watch_lease()),
        ]
        self.fleet.record.write(f"worker {self.label} is up at {self.address}")

    def crash(self):
        """End the process and all that runs on it."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        lost, self.running = self.running, {}
        for task, run in lost.items():
            self.fleet.note("end", task, run.number, self, "gone")
            gang = self.fleet.gang_of(task, run.number)
            if gang is not None:
                gang.leave(task, "gone")

    def report(self):
        """Return the next status report."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def announce(self):
        """Send one status report to the first daemon that acknowledges it."""
        controls = list(self.fleet.controls)
        random.shuffle(controls)
        for control in controls:
            reply = await fetch(
                "POST",
                control,
                f"/Instances.Heartbeat/{self.name}",
                self.report(),
                redirects=2,
            )
            if 200 <= reply.status < 300:
                return True
        return False

    async def announce_forever(self):
        """Send status reports at the usual interval."""
        while True:
            if self.heartbeats:
                await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        """Kill everything once the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            self.check_lease()

    def check_lease(self):
        """Kill everything if the lease has expired."""
        if self.clock_ms() > self.lease_ms:
            self.lapsed_ms = self.clock_ms()
            for task in list(self.running):
                self.end(task, "lapsed")

    def extend(self, deadline_ms):
        """Extend the lease, which never shortens."""
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    async def answer(self, method, path, headers, body):
        """Answer a call."""
        if not self.up:
            return None
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        if path == "/health":
            return 200, {}
        fields = json.loads(body or b"{}")
        self.check_lease()
        fence = fields.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        handler = {
            "/run-start": self.on_start,
            "/run-stop": self.on_stop,
            "/hold": self.on_hold,
            "/pace": self.on_pace,
        }.get(path)
        if handler is None:
            return 404, {}
        self.fence = fence
        return await handler(fields)

    def refusal(self, reason):
        """Return the answer to a start that is rejected."""
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def on_start(self, fields):
        """Start a run."""
        task, number = fields["task"], fields["run"]
        if self.sheds:
            return 503, {}
        if self.clock_ms() > fields["deadline_ms"]:
            return self.refusal("late")
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if known is not None or number <= self.closed_runs.get(task, 0):
            self.extend(fields["deadline_ms"])
            return self.refusal("old")
        self.extend(fields["deadline_ms"])
        checkpoint = fields.get("checkpoint", "")
        gang = self.fleet.gang_of(task, number)
        if gang is not None:
            run = self.running[task] = Run(number, None, None, checkpoint)
            note = f"checkpoint {checkpoint!r}"
            self.fleet.note("start", task, number, self, note)
            self.alone_later(task, run)
            gang.join(self, task, run)
            return 200, {"clock_ms": self.clock_ms()}
        seconds, how = self.fleet.work(self, task, number)
        lasts_ms = None if seconds is None else max(1, int(seconds * 1_000))
        self.running[task] = Run(number, self.clock_ms(), lasts_ms)
        self.fleet.note("start", task, number, self)
        if seconds is not None:
            self.later(seconds, task, number, how)
        return 200, {"clock_ms": self.clock_ms()}

    def later(self, seconds, task, number, how):
        """Schedule the end of a run."""

        def end():
            run = self.running.get(task)
            if self.up and run is not None and run.number == number:
                self.end(task, how)

        asyncio.get_running_loop().call_later(seconds, end)

    def alone_later(self, task, run):
        """End a member as alone unless its gang is complete in time."""

        def check():
            if self.running.get(task) is run and run.started_ms is None:
                self.end(task, "alone")

        asyncio.get_running_loop().call_later(GANG_TIMEOUT_S, check)

    def end(self, task, how):
        """End a run and list it."""
        run = self.running.pop(task)
        saved = run.saved(self.clock_ms())
        gang = self.fleet.gang_of(task, run.number)
        self.closed_runs[task] = max(run.number, self.closed_runs.get(task, 0))
        self.number += 1
        self.ended.append([self.number, task, run.number, how, saved, self.clock_ms()])
        self.fleet.note("end", task, run.number, self, how)
        self.changed.set()
        if gang is not None:
            gang.leave(task, how)

    async def on_stop(self, fields):
        """Stop a run; one that isn't there yet will be rejected."""
        task, number = fields["task"], fields["run"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            if not run.stopping:
                run.stopping = True
                self.later(STOP_S, task, number, "stopped")
        else:
            self.closed_runs[task] = max(number, self.closed_runs.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def on_pace(self, fields):
        """Accept a pace; it makes no difference here."""
        return 200, {"clock_ms": self.clock_ms()}

    async def on_hold(self, fields):
        """Renew the lease, forget the ends that were seen, and return the lists."""
        seen = fields["last_seen"]
        for row in self.ended:
            if row[0] <= seen and row[5] > self.lapsed_ms:
                self.fleet.note("noted", row[1], row[2], self, row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        if "deadline_ms" in fields:
            self.extend(fields["deadline_ms"])
        if fields.get("wait_ms") and not self.ended:
            self.changed.clear()
            try:
                wait_s = fields["wait_ms"] / 1_000
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                pass
        if not self.up:
            return None
        running = [
            [task, run.number, run.saved(self.clock_ms()), self.percent(run), 0]
            for task, run in self.running.items()
        ]
        lists = {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": [row[:5] for row in self.ended[:ENDS_AT_A_TIME]],
        }
        return 200, lists

    def percent(self, run):
        """Return the progress of a run; 100 for one that lasts and is at work."""
        if run.started_ms is None:
            return 0
        passed_ms = self.clock_ms() - run.started_ms
        if run.lasts_ms is None:
            return 100 if passed_ms >= STARTUP_S * 1_000 else 0
        return min(99, int(100 * passed_ms / run.lasts_ms))

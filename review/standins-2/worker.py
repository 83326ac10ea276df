"""
Stand-in for one worker, as a process of its own: PROTOCOL.md, "Running subtasks" and
"Service discovery".

The text of a job tells what its subtasks do: ``ms=500`` for a duration, ``fail=1`` for
an end as failed, ``lasts=1`` for a subtask that runs until it is stopped. The mode file
may hold ``busy``: starts are then answered with 503 and nothing is done. With ``late``
orders get no answer, and are carried out seconds later.
"""

import argparse
import asyncio
import json
import random
import signal
import time
from contextlib import suppress
from pathlib import Path

LATE_S = 2.0, 6.0  # at most 12
STOP_S = 0.05  # below stop_timeout_ms
STARTUP_S = 0.3  # of a subtask that lasts
MAX_ENDS = 500
REPORT_TIMEOUT_S = 1.0


def parse_arguments():
    """Return the settings of the worker."""
    parser = argparse.ArgumentParser()
    for name in ("id", "machine", "address", "service", "zone", "rack", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--listen", default="", help="ip:port, if a proxy is between")
    parser.add_argument("--controls", required=True, help="ip:port,ip:port,...")
    parser.add_argument("--mode", default="", help="file that holds the mode")
    parser.add_argument("--kind", default="a")
    parser.add_argument("--cpu", type=int, default=8000)
    parser.add_argument("--memory", type=int, default=16384)
    parser.add_argument("--heartbeat-ms", type=int, default=1500)
    parser.add_argument("--drain-ms", type=int, default=2000)
    parser.add_argument("--max-hold-ms", type=int, default=6000)
    return parser.parse_args()


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


class Run:
    """One run of a subtask."""

    def __init__(self, task, run, text):
        options = dict(part.split("=") for part in text.split(";") if "=" in part)
        self.task, self.run = task, run
        self.duration_s = int(options.get("ms", "300")) / 1000
        self.lasts = options.get("lasts") == "1"
        self.how = "failed" if options.get("fail") == "1" else "done"
        self.started_s = time.monotonic()
        self.timer = None

    def percent(self):
        """Return the progress; 100 for a subtask that lasts and is at work."""
        age_s = time.monotonic() - self.started_s
        if self.lasts:
            return 100 if age_s >= STARTUP_S else 0
        return min(99, int(100 * age_s / max(0.001, self.duration_s)))


class Worker:
    """One boot of a worker."""

    def __init__(self, options):
        self.options = options
        self.born_ms = int(time.time() * 1000)
        self.start_s = time.monotonic()
        self.fence = 0
        self.deadline_ms = -1
        self.runs = {}
        self.highest_ended = {}
        self.ended = []
        self.end_number = 0
        self.changed = asyncio.Event()
        self.sequence = 0
        self.state = "ready"
        self.lease_timer = None

    def log(self, what, **fields):
        """Append a line to the record of events."""
        line = {"at": round(time.monotonic(), 4), "worker": self.options.id}
        line |= {"born": self.born_ms, "what": what} | fields
        with open(self.options.events, "a") as events:
            events.write(json.dumps(line) + "\n")

    def clock_ms(self):
        """Return the worker's own steady clock, which starts anew in each boot."""
        return int((time.monotonic() - self.start_s) * 1000)

    def extend(self, deadline_ms):
        """Extend the lease of everything that runs here."""
        now = self.clock_ms()
        limited = min(deadline_ms, now + self.options.max_hold_ms)
        self.deadline_ms = max(self.deadline_ms, limited)
        self.watch_lease()

    def watch_lease(self):
        """End what runs when the lease expires."""
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        delay_s = max(0, self.deadline_ms - self.clock_ms()) / 1000
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(delay_s + 0.001, self.check_lease)

    def check_lease(self):
        """End everything once the lease has expired."""
        if self.clock_ms() < self.deadline_ms:
            self.watch_lease()
            return
        for key in list(self.runs):
            self.end(key, "lapsed")

    def end(self, key, how):
        """Record the end of a run."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        task, number = key
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        self.end_number += 1
        self.ended.append([self.end_number, task, number, how, ""])
        self.log("end", task=task, run=number, how=how, number=self.end_number)
        self.changed.set()

    def mode(self):
        """Return the present mode."""
        path = Path(self.options.mode) if self.options.mode else None
        return path.read_text().strip() if path and path.exists() else ""

    def refuse(self, reason):
        """Return a refusal."""
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def is_fenced(self, order):
        """Check the fencing token of an order, and keep the highest."""
        token = order.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def start(self, order):
        """Start a run."""
        task, number = order["task"], order["run"]
        if self.mode() == "busy":
            self.log("refused", task=task, run=number, status=503)
            return 503, {"clock_ms": self.clock_ms()}
        if self.is_fenced(order):
            return self.refuse("fence")
        key = (task, number)
        if key in self.runs:
            self.extend(order["deadline_ms"])
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.highest_ended.get(task, 0):
            self.extend(order["deadline_ms"])
            return self.refuse("old")
        if self.clock_ms() > order["deadline_ms"]:
            return self.refuse("late")
        self.extend(order["deadline_ms"])
        run = self.runs[key] = Run(task, number, order["task_spec"])
        self.log("start", task=task, run=number, token=self.fence)
        if not run.lasts:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(run.duration_s, self.end, key, run.how)
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, order):
        """Stop a run, which takes a moment."""
        if self.is_fenced(order):
            return self.refuse("fence")
        key = (order["task"], order["run"])
        if key in self.runs:
            self.log("stop", task=key[0], run=key[1])
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end, key, "stopped")
        else:
            known = self.highest_ended.get(key[0], 0)
            self.highest_ended[key[0]] = max(known, key[1])
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, order):
        """Renew the lease, and return both lists."""
        if self.is_fenced(order):
            return self.refuse("fence")
        seen = order.get("last_seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if "deadline_ms" in order:
            self.extend(order["deadline_ms"])
        wait_s = min(order.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ended:
            self.changed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        running = [
            [run.task, run.run, "", run.percent(), 10 if run.lasts else 500]
            for run in self.runs.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "ended": self.ended[:MAX_ENDS],
        }

    async def answer(self, line, headers, body):
        """Answer an order."""
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.options.id):
            return 421, {}
        order = json.loads(body or b"{}")
        path = line.split(" ")[1]
        if self.mode() == "late" and path in ("/run-start", "/run-stop"):
            await asyncio.sleep(random.uniform(*LATE_S))
        if path == "/run-start":
            return self.start(order)
        if path == "/run-stop":
            return self.stop(order)
        if path == "/hold":
            return await self.hold(order)
        if path == "/pace":
            return (
                self.refuse("fence")
                if self.is_fenced(order)
                else (200, {"clock_ms": self.clock_ms()})
            )
        return 404, {}

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                status, plain = await self.answer(*await read_message(reader))
                data = json.dumps(plain).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def report(self):
        """Return a status report."""
        self.sequence += 1
        options = self.options
        return {
            "service": options.service,
            "address": options.address,
            "zone": options.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": options.cpu,
                "memory_limit_mb": options.memory,
                "gpu": 0,
            },
            "labels": [options.kind, options.rack],
            "machine": options.machine,
            "born": self.born_ms,
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
        }

    async def post(self, address, path, plain):
        """Send a call to a daemon, which may redirect it twice."""
        for _ in range(3):
            ip, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                data = json.dumps(plain).encode()
                head = f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
                head += "Content-Type: application/json\r\nConnection: close\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                line, headers, body = await read_message(reader)
            finally:
                writer.close()
            status = int(line.split(" ")[1])
            if status != 307:
                return status, body
            address = headers["location"].split("/")[2]
        return 503, b""

    async def tell(self, path, plain, first=""):
        """Send a call to one daemon after the other until one acknowledges it."""
        controls = self.options.controls.split(",")
        for address in [first, *controls] if first else controls:
            try:
                status, body = await asyncio.wait_for(
                    self.post(address, path, plain), REPORT_TIMEOUT_S
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if 200 <= status < 300:
                self.log("told", path=path.split("/")[1], state=self.state)
                return json.loads(body) if body else {}
        return None

    async def announce(self):
        """Send status reports, the first one at once."""
        name = self.options.id
        address = ""
        while True:
            answer = await self.tell(
                f"/Instances.Heartbeat/{name}", self.report(), address
            )
            address = (answer or {}).get("heartbeat_address", "")
            await asyncio.sleep(self.options.heartbeat_ms / 1000)


async def main():
    """Run the worker until it is killed, or until it has left after a SIGTERM."""
    options = parse_arguments()
    worker = Worker(options)
    ip, _, port = (options.listen or options.address).partition(":")
    await asyncio.start_server(worker.serve, ip, int(port))
    worker.log("boot")
    announcing = asyncio.ensure_future(worker.announce())
    leaving = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leaving.set)
    await leaving.wait()
    announcing.cancel()
    worker.state = "draining"
    plain = worker.report() | {"remaining_ms": options.drain_ms}
    await worker.tell(f"/Instances.Heartbeat/{options.id}", plain)
    await asyncio.sleep(options.drain_ms / 1000)
    worker.log("left")  # everything that runs here ends now
    await worker.tell(f"/Instances.Leave/{options.id}", {"born": worker.born_ms})


if __name__ == "__main__":
    asyncio.run(main())

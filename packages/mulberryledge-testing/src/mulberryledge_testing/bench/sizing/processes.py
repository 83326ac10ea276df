"""
mulberryledge_testing.bench.sizing.processes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A real daemon process on loopback, and what it costs its machine.
"""

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import httpx

from mulberryledge_core.codec import to_plain
from mulberryledge_core.commands import Command
from mulberryledge_core.keys import KEY_BYTES, make_key
from mulberryledge_testing.ports import free_ports

__all__ = ["ClientUsage", "DaemonProcess", "client_usage", "open_process"]

START_TIMEOUT_S = 20.0
POLL_S = 0.02
KB = 1_024
OPERATOR = make_key(bytes(KEY_BYTES))
CLIENT_PROGRAM = """
from pathlib import Path
from time import process_time
from mulberryledge_cli.main import make_application
make_application().run()
status = Path("/proc/self/status").read_text()
print(process_time(), status.partition("VmHWM:")[2].split()[0])
"""
SETTINGS = """
[daemon]
name = "entry-1"
{data_folder}
[listen]
operators_port = {port}
[operator]
key_id = "{key_id}"
salt = "{salt}"
digest = "{digest}"
[timing]
target_lease_s = 600.0
"""


@dataclass(frozen=True, slots=True)
class ClientUsage:
    """Processor time in seconds and most memory in megabytes of one run."""

    processor_s: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class DaemonProcess:
    """A running daemon and a client of it."""

    pid: int
    client: httpx.Client
    callers: str
    operators: str

    def propose(self, command: Command) -> None:
        """Send an operators' command; it must succeed."""
        url = f"{self.operators}/v1/commands/{type(command).__name__}"
        headers = {"Authorization": f"Bearer {OPERATOR.text}"}
        response = self.client.post(url, json=to_plain(command), headers=headers)
        assert response.is_success, response.text

    def send(self, method: str, path: str, key: str, body: object = None) -> None:
        """Send a target's or caller's request; it must succeed."""
        headers = {"Authorization": f"Bearer {key}"}
        response = self.client.request(
            method, self.callers + path, json=body, headers=headers
        )
        assert response.is_success, response.text

    def processor_s(self) -> float:
        """Return processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return resident memory in megabytes."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KB
        raise AssertionError("the process has ended")

    def idle_share(self, seconds: float) -> float:
        """Return the share of a core that the process uses by itself."""
        before = self.processor_s()
        time.sleep(seconds)
        return (self.processor_s() - before) / seconds


@contextmanager
def open_process(durable: bool = True) -> Iterator[DaemonProcess]:
    """Start a daemon in a temporary folder, and end it by its own process id."""
    with TemporaryDirectory() as folder:
        text = SETTINGS.format(
            data_folder=f'data_folder = "{folder}/data"' if durable else "",
            port=free_ports(1)[0],
            key_id=OPERATOR.key_id,
            salt=OPERATOR.salt.hex(),
            digest=OPERATOR.digest.hex(),
        )
        path = Path(folder) / "settings.toml"
        path.write_text(text)
        command = [Path(sys.executable).parent / "mulberryledged", "run", path]
        log = Path(folder) / "log"
        with open(log, "wb") as file:
            running = subprocess.Popen(command, stderr=file)
        try:
            callers_port = wait_for_start(log, running)
            operators_port = text.partition("operators_port = ")[2].split()[0]
            with httpx.Client(trust_env=False, timeout=30.0) as client:
                yield DaemonProcess(
                    running.pid,
                    client,
                    f"http://127.0.0.1:{callers_port}",
                    f"http://127.0.0.1:{operators_port}",
                )
        finally:
            running.kill()
            running.wait()


def client_usage() -> ClientUsage:
    """Run the operators' command line once in a process of its own."""
    command = [sys.executable, "-c", CLIENT_PROGRAM]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    processor_s, memory_kb = done.stdout.split()[-2:]
    return ClientUsage(float(processor_s), int(memory_kb) / KB)


def wait_for_start(log: Path, running: subprocess.Popen) -> int:
    """Return the callers' port once the daemon has logged it."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end and running.poll() is None:
        for line in log.read_text().splitlines():
            fields = json.loads(line) if line.endswith("}") else {}
            if fields.get("message") == "started":
                return fields["callers_port"]
        time.sleep(POLL_S)
    raise AssertionError(f"the daemon did not start: {log.read_text()}")

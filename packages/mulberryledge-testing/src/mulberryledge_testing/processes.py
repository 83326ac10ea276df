"""
mulberryledge_testing.processes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Clusters of real daemons as child processes on loopback, for tests and bench::

    with running_cluster(folder, voters=3, learners=2) as cluster:
        cluster.wait_ready()
        cluster.operator().propose(CreatePool("interior"))
        cluster.kill(cluster.leader())
"""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from mulberryledge_cli.client import OperatorClient
from mulberryledge_core.keys import digest_secret
from mulberryledge_testing.ports import free_ports

__all__ = ["Cluster", "DaemonProcess", "running_cluster", "wait_until"]

ADDRESS = "127.0.0.1"
OPERATOR_KEY = "mlk_operator_test"
SALT = bytes(16)
ZONES = ("nizwa", "bahla", "izki", "samail")
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02
LOG_CHARS = 2_000
HTTP_TIMEOUT_S = 2.0


@dataclass(slots=True)
class DaemonProcess:
    """
    One daemon and, while it runs, its process.

    Attributes
    ----------
    callers_port, operators_port, peers_port : int
        TCP ports on loopback, the same in each life of the daemon.
    data_folder : Path or None
        Folder of a voter; None for a learner.
    dialled_port : int
        Port that the others dial, such as a relay's; zero for the daemon's own.
    """

    name: str
    folder: Path
    callers_port: int
    operators_port: int
    peers_port: int
    availability_zone: str
    data_folder: Path | None
    process: subprocess.Popen | None = None
    dialled_port: int = 0

    @property
    def callers_url(self) -> str:
        """Base URL for callers and targets."""
        return f"http://{ADDRESS}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Base URL for operators."""
        return f"http://{ADDRESS}:{self.operators_port}"

    @property
    def settings_path(self) -> Path:
        """Settings file."""
        return self.folder / f"{self.name}.toml"

    @property
    def log_path(self) -> Path:
        """File that the daemon's logs go to."""
        return self.folder / f"{self.name}.log"

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def is_ready(self) -> bool:
        """Return whether the daemon answers /readyz with 200."""
        return self.get("/readyz") == 200

    def get(self, path: str) -> int:
        """Return the status of a GET on the callers' port; 0 without an answer."""
        try:
            url = self.callers_url + path
            return httpx.get(url, timeout=HTTP_TIMEOUT_S, trust_env=False).status_code
        except httpx.TransportError:
            return 0

    def log_lines(self, message: str) -> list[dict]:
        """Return the log lines with the given message."""
        found = []
        for line in self.log_path.read_text().splitlines():
            if line.startswith("{"):
                fields = json.loads(line)
                if fields["message"] == message:
                    found.append(fields)
        return found


@dataclass(slots=True)
class Cluster:
    """
    The daemons of one cluster, by name.

    Attributes
    ----------
    extra : str
        TOML text that is added to the settings of each daemon.
    """

    folder: Path
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)
    extra: str = ""

    def add(self, name: str, voter: bool) -> DaemonProcess:
        """Make the settings of one more daemon, without starting it."""
        ports = free_ports(3)
        zone = ZONES[len(self.daemons) % len(ZONES)]
        data_folder = self.folder / f"{name}.data" if voter else None
        daemon = DaemonProcess(name, self.folder, *ports, zone, data_folder)
        self.daemons[name] = daemon
        return daemon

    def write_settings(self, name: str, peers: tuple[str, ...] | None = None) -> None:
        """Write the settings file of a daemon; its peers are all others."""
        daemon = self.daemons[name]
        others = peers if peers is not None else tuple(self.daemons)
        parts = [settings_text(daemon), self.extra]
        for other in others:
            if other != name:
                parts.append(peer_text(self.daemons[other]))
        daemon.settings_path.write_text("\n".join(parts))

    def start(self, *names: str) -> None:
        """Start the named daemons, or all."""
        for name in names or tuple(self.daemons):
            daemon = self.daemons[name]
            binary = Path(sys.executable).with_name("mulberryledged")
            with open(daemon.log_path, "ab") as log:
                daemon.process = subprocess.Popen(
                    [binary, "run", daemon.settings_path],
                    stdout=log,
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                )

    def kill(self, name: str) -> None:
        """End a daemon with SIGKILL."""
        process = self.daemons[name].process
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stop a daemon with SIGTERM and return its exit code."""
        process = self.daemons[name].process
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Stop a daemon's processor time; its connections stay open."""
        os.kill(self.daemons[name].process.pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused daemon run again."""
        os.kill(self.daemons[name].process.pid, signal.SIGCONT)

    def running(self) -> tuple[DaemonProcess, ...]:
        """Return the daemons whose process runs."""
        return tuple(one for one in self.daemons.values() if one.is_running())

    def wait_ready(self, *names: str, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the named daemons, or all that run, are ready."""
        daemons = [self.daemons[name] for name in names] or list(self.running())
        try:
            wait_until(
                lambda: all(one.is_ready() for one in daemons), "ready", timeout_s
            )
        except TimeoutError as error:
            logs = [
                f"{one.name}: {one.log_path.read_text()[-LOG_CHARS:]}"
                for one in daemons
            ]
            raise TimeoutError("\n".join((str(error), *logs))) from error

    def leader(self, timeout_s: float = READY_TIMEOUT_S) -> str:
        """Return the name of the daemon that leads; wait for one."""
        found = []

        def find() -> bool:
            found[:] = [one.name for one in self.running() if self.leads(one)]
            return bool(found)

        wait_until(find, "a leader", timeout_s)
        return found[0]

    def leads(self, daemon: DaemonProcess) -> bool:
        """Return whether a daemon says that it leads."""
        url = f"{daemon.operators_url}/v1/cluster"
        return status(url).get("leads", False)

    def operator(self, *names: str) -> OperatorClient:
        """Return an operators' client of the named daemons, or of all that run."""
        daemons = [self.daemons[name] for name in names] or list(self.running())
        return OperatorClient(tuple(one.operators_url for one in daemons), OPERATOR_KEY)

    def close(self) -> None:
        """End every process that runs."""
        for daemon in self.running():
            daemon.process.kill()
            daemon.process.wait()


@contextmanager
def running_cluster(
    folder: Path, voters: int = 3, learners: int = 2, extra: str = ""
) -> Iterator[Cluster]:
    """
    Start daemons ``v1..`` with data folders and ``e1..`` without; end them after.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, logs and data folders.
    extra : str
        TOML text that is added to the settings of each daemon.
    """
    cluster = Cluster(folder, extra=extra)
    for number in range(1, voters + 1):
        cluster.add(f"v{number}", voter=True)
    for number in range(1, learners + 1):
        cluster.add(f"e{number}", voter=False)
    for name in cluster.daemons:
        cluster.write_settings(name)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()


def wait_until(
    condition: Callable[[], bool], text: str, timeout_s: float = READY_TIMEOUT_S
) -> float:
    """
    Wait for a condition and return the seconds that it took.

    Raises
    ------
    TimeoutError
        If it does not hold in time.
    """
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > timeout_s:
            raise TimeoutError(f"not within {timeout_s} s: {text}")
        time.sleep(POLL_S)
    return time.monotonic() - begin


def status(url: str) -> dict:
    """Return a JSON document; an empty one without an answer."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    try:
        response = httpx.get(
            url, headers=headers, timeout=HTTP_TIMEOUT_S, trust_env=False
        )
    except httpx.TransportError:
        return {}
    return response.json() if response.is_success else {}


def settings_text(daemon: DaemonProcess) -> str:
    """Return the settings of a daemon as TOML, without its peers."""
    digest = digest_secret(SALT, "test").hex()
    return f"""
[daemon]
name = "{daemon.name}"
region = "dakhiliyah"
availability_zone = "{daemon.availability_zone}"
data_folder = "{daemon.data_folder or ""}"

[listen]
address = "{ADDRESS}"
callers_port = {daemon.callers_port}
operators_port = {daemon.operators_port}
peers_port = {daemon.peers_port}

[operator]
key_id = "operator"
salt = "{SALT.hex()}"
digest = "{digest}"
"""


def peer_text(daemon: DaemonProcess) -> str:
    """Return a daemon as a peer in the settings of another one."""
    return f"""
[[peers]]
name = "{daemon.name}"
address = "{ADDRESS}"
port = {daemon.dialled_port or daemon.peers_port}
voter = {str(daemon.data_folder is not None).lower()}
availability_zone = "{daemon.availability_zone}"
"""

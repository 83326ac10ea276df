"""
mulberryledge_testing.demo
~~~~~~~~~~~~~~~~~~~~~~~~~~

The main job from operator to answer, with one embedded daemon on loopback.
"""

import json
import os
import signal
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester
from result import Err
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.task import LoopingCall, deferLater
from twisted.internet.threads import deferToThread

from mulberryledge_cli.main import make_application
from mulberryledge_core.keys import split_key
from mulberryledge_daemon.daemon import Daemon, open_daemon
from mulberryledge_daemon.settings import PlatformSection, Settings, load_settings
from mulberryledge_testing.callers import Caller
from mulberryledge_testing.platform import StandInPlatform
from mulberryledge_testing.targets import StandInTarget

__all__ = ["main"]

OPERATOR_KEY = "mlk_operator_demo"
STEP_TIMEOUT_S = 20.0
LONG_CALL_S = 0.5
RENEW_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Scene:
    """What the example folder is about."""

    folder: Path
    service: str
    team: str
    pool: str
    request: bytes


SCENES = {
    "falaj": ("route-plans", "dispatch", "interior", b"plan for van 7"),
    "yayla": ("weighings", "intake", "stands", b"churn 41: 18.2 kg"),
}


class StepFailed(Exception):
    """A step of the demo did not give what it should."""


class Demo:
    """Runs the steps against one daemon."""

    def __init__(self, scene: Scene, daemon: Daemon, platform: StandInPlatform):
        self.scene = scene
        self.daemon = daemon
        self.platform = platform
        self.started = time.monotonic()
        self.targets: dict[str, StandInTarget] = {}
        self.caller: Caller | None = None
        self.exit_code: int | None = None
        platform.on_reboot = self.on_reboot

    def say(self, text: str) -> None:
        """Print one step with its time."""
        print(f"{time.monotonic() - self.started:7.3f} s  {text}", flush=True)

    def expect(self, condition: object, text: str) -> None:
        """Print a step that went well, or fail."""
        if not condition:
            raise StepFailed(text)
        self.say(text)

    async def until(self, condition: Callable[[], object], text: str) -> None:
        """Wait for a condition, then print it."""
        end = time.monotonic() + STEP_TIMEOUT_S
        while not condition() and time.monotonic() < end:
            await deferLater(reactor, 0.02)
        self.expect(condition(), text)

    async def operate(self, line: str) -> str:
        """Run the operators' command line."""
        entry = f"http://127.0.0.1:{self.daemon.operators_port}"
        tester = ApplicationTester(make_application())
        full = f"{line} --entries {entry} --key {OPERATOR_KEY}"
        code = await deferToThread(tester.execute, full)
        if code:
            raise StepFailed(f"{line}: {tester.io.fetch_error()}")
        shown = tester.io.fetch_output().strip()
        self.say(f"mulberryledge {line}: {shown.partition('_')[0] or shown}")
        return shown

    async def run(self) -> None:
        """Run all steps."""
        await self.daemon.start()
        self.say(f"daemon {self.daemon.settings.daemon.name} listens")
        await self.set_up()
        await self.call()
        await self.run_job()
        await self.maintain()
        await self.leave()
        await self.withdraw_key()
        await self.stop()

    async def set_up(self) -> None:
        """Operators create what the service needs, targets announce themselves."""
        scene = self.scene
        await self.operate(f"pool create {scene.pool}")
        for number, zone in ((1, "a"), (2, "b")):
            line = f"host add host-{number} {scene.pool} --zone {zone} --rack {zone}1"
            await self.operate(line)
        await self.operate(f"team create {scene.team} --share 2 --limit 8")
        document = scene.folder / "services" / f"{scene.service}.toml"
        await self.operate(f"service apply {document}")
        self.key = await self.operate(f"key give {scene.team}")
        url = f"http://127.0.0.1:{self.daemon.callers_port}"
        self.caller = Caller(reactor, url, self.key)
        for number in (1, 2):
            target = StandInTarget(
                reactor, f"t{number}", f"host-{number}", scene.service, self.caller
            )
            target.listen()
            response = await target.announce()
            self.expect(response.status == 200, f"target t{number} announced itself")
            self.targets[target.name] = target
        self.renewals = LoopingCall(self.renew)
        self.renewals.start(RENEW_INTERVAL_S)

    def renew(self) -> None:
        """Renew the leases of the targets that are up."""
        for target in self.targets.values():
            ensureDeferred(target.renew())

    def path(self) -> str:
        """Return the path of the service's calls."""
        return f"/v1/services/{self.scene.service}/calls/today"

    async def call(self) -> None:
        """Send a call and get its own whole answer."""
        response = await self.caller.send("POST", self.path(), self.scene.request)
        self.expect(
            (response.status, response.body) == (200, b"echo:" + self.scene.request),
            f"a call was answered: {response.body.decode()}",
        )

    async def run_job(self) -> None:
        """Queue a job, take it under a lease, end it and fetch the result."""
        path = f"/v1/queues/{self.scene.service}/jobs"
        response = await self.caller.send("POST", path, b"settle the month")
        job_id = json.loads(response.body)["job_id"]
        self.expect(response.status == 202, "a job was queued")
        taken = await self.targets["t1"].take(wait_s=5)
        self.expect(taken and taken["job_id"] == job_id, "t1 took it under a lease")
        await self.targets["t1"].end(taken, "done", b"settled")
        result = await self.caller.send("GET", f"/v1/jobs/{job_id}/result?wait_s=5")
        self.expect(result.body == b"settled", "the job's result was fetched")

    async def maintain(self) -> None:
        """Drain and reboot one host while it answers a call."""
        await self.start_long_call("t2")
        await self.operate(f"wave start monday {self.scene.pool} host-2 --ignore-quiet")
        state = self.daemon.log.state
        await self.until(
            lambda: state.hosts["host-2"].phase == "rebooting",
            "host-2 is drained and reboots",
        )
        self.expect(self.long_call.called, "its running call had ended before")
        self.expect((await self.long_call).status == 200, "with its whole answer")
        await self.until(
            lambda: state.waves["monday"].phase == "done",
            "host-2 announced itself, proved itself and serves again",
        )

    def on_reboot(self, host: str) -> None:
        """Take the targets of a rebooting host down for a moment."""
        for target in list(self.targets.values()):
            if target.host == host:
                del self.targets[target.name]
                reactor.callLater(0.3, self.come_back, target)

    def come_back(self, target: StandInTarget) -> None:
        """Announce a target after the reboot of its host."""
        target.instance += "-again"
        self.targets[target.name] = target
        ensureDeferred(target.announce())

    async def start_long_call(self, name: str) -> None:
        """Start calls until one runs on the named target."""
        target = self.targets[name]
        for one in self.targets.values():
            one.delay_s = LONG_CALL_S
        calls = []
        while not target.running:
            sent = self.caller.send("POST", self.path(), b"long")
            calls.append(ensureDeferred(sent))
            await deferLater(reactor, 0.02)
        for one in self.targets.values():
            one.delay_s = 0.0
        self.long_call = gatherResults(calls)
        self.long_call.addCallback(worst)
        self.say(f"a long call runs on {name}")

    async def leave(self) -> None:
        """Have a target leave while it answers a call."""
        target = self.targets["t1"]
        await self.start_long_call("t1")
        response = await target.leave()
        self.expect(response.status == 200, "t1 said that it leaves")
        before = len(target.calls)
        for _ in range(10):
            await self.call()
        self.expect(len(target.calls) == before, "t1 got none of the ten calls since")
        self.expect(
            (await self.long_call).status == 200, "its running call ended whole"
        )

    async def withdraw_key(self) -> None:
        """Withdraw the key; the next call is refused."""
        await self.start_long_call("t2")
        await self.operate(f"key withdraw {split_key(self.key)[0]}")
        response = await self.caller.send("POST", self.path(), b"again")
        said = json.loads(response.body)
        self.expect(
            (response.status, said["outcome"]) == (401, "not-run"),
            f"the next call was refused: {said['message']}",
        )

    async def stop(self) -> None:
        """Stop the daemon by SIGTERM while it has a running call."""
        self.renewals.stop()
        signal.signal(signal.SIGTERM, self.on_term)
        os.kill(os.getpid(), signal.SIGTERM)
        await self.until(lambda: self.exit_code is not None, "SIGTERM: daemon ended")
        self.expect(self.exit_code == 0, "it cut off nothing")
        self.expect((await self.long_call).status == 200, "its last call ended whole")

    def on_term(self, number, frame) -> None:
        """Stop the daemon."""
        reactor.callFromThread(self.start_stop)

    def start_stop(self) -> None:
        """Start the planned stop and keep its outcome."""
        stopped = Deferred.fromCoroutine(self.daemon.stop())
        stopped.addCallback(lambda cut_off: setattr(self, "exit_code", cut_off))


def worst(responses: Iterable) -> object:
    """Return the response with the highest status."""
    return max(responses, key=lambda response: response.status)


def demo_settings(folder: Path, url: str) -> Settings:
    """Return the example settings with the stand-in platform."""
    loaded = load_settings(folder / "settings.toml")
    if isinstance(loaded, Err):
        raise StepFailed(loaded.err_value.message)
    return replace(loaded.ok_value, platform=PlatformSection(url))


def main(names: list[str]) -> int:
    """Run the demo of each named example; return the exit code."""
    failures = []

    async def run_all() -> None:
        for name in names:
            service, team, pool, request = SCENES[name]
            folder = Path("examples") / name
            scene = Scene(folder, service, team, pool, request)
            print(f"--- {name}")
            platform = StandInPlatform(reactor, lambda host: None)
            settings = demo_settings(folder, platform.url)
            with open_daemon(reactor, settings) as daemon:
                await Demo(scene, daemon, platform).run()

    def fail(failure) -> None:
        failures.append(failure)
        print(f"FAILED  {failure.getErrorMessage()}\n{failure.getTraceback()}")

    def begin() -> None:
        running = Deferred.fromCoroutine(run_all())
        running.addErrback(fail)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    print("demo failed" if failures else "demo passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:] or ["falaj", "yayla"]))

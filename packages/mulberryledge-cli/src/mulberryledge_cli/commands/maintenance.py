"""
mulberryledge_cli.commands.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on maintenance waves and on holds.
"""

from datetime import UTC, datetime

from cleo.helpers import argument, option
from result import Err, Ok, Result

from mulberryledge_cli.client import Failure
from mulberryledge_cli.commands.base import (
    COMMON_OPTIONS,
    EXIT_OK,
    EXIT_REFUSED,
    OperatorCommand,
)
from mulberryledge_cli.views import fetch_state, now_ms
from mulberryledge_core.commands.maintenance import (
    HoldHost,
    HoldService,
    ReleaseHost,
    SetWavePhase,
    StartWave,
)
from mulberryledge_core.decisions.rollouts import rollout_duration_ms, rollout_waves
from mulberryledge_core.decisions.waves import (
    WavePlan,
    WaveStatus,
    plan_wave,
    wave_progress,
)
from mulberryledge_core.model.maintenance import LongJobs, Wave, WavePhase
from mulberryledge_core.state import ClusterState

__all__ = ["COMMANDS"]

WAVE = argument("wave", "Name of the wave.")
REASON = option("reason", None, "Why, for others to read.", flag=False, default="")
HOSTS = argument(
    "hosts", "Hosts; all of the pool if none.", multiple=True, optional=True
)
IGNORE_QUIET = option("ignore-quiet", None, "Also run outside the quiet time.")


class MaintenanceCommand(OperatorCommand):
    """A command that looks at the fleet before it acts."""

    def state(self) -> Result[ClusterState, Failure]:
        """Fetch the tables that waves depend on."""
        return fetch_state(self.client())

    def fail(self, failure: Failure) -> int:
        """Print why a command failed."""
        self.line_error(f"{failure.code}: {failure.message}")
        return EXIT_REFUSED

    def hosts(self, state: ClusterState) -> tuple[str, ...]:
        """Return the hosts given, or all of the pool."""
        named = tuple(self.argument("hosts"))
        pool = self.argument("pool")
        return named or tuple(
            host.name for host in state.hosts.values() if host.pool == pool
        )

    def wave(self, state: ClusterState) -> Result[Wave, Failure]:
        """Return the wave given."""
        name = self.argument("wave")
        if name not in state.waves:
            return Err(Failure("not-found", f"wave {name!r} does not exist"))
        return Ok(state.waves[name])


class WaveStart(MaintenanceCommand):
    """Start a wave."""

    name = "wave start"
    description = "Starts the maintenance of hosts of one pool."
    help = "Example: <c1>mulberryledge wave start monday interior host-1 host-2</c1>"
    arguments = [WAVE, argument("pool", "Pool of the hosts."), HOSTS]
    options = [
        *COMMON_OPTIONS,
        IGNORE_QUIET,
        option("skip-long-jobs", None, "Skip hosts whose drain a long job holds."),
    ]

    def handle(self) -> int:
        """Start the wave."""
        state = self.state()
        if isinstance(state, Err):
            return self.fail(state.err_value)
        skip = self.option("skip-long-jobs")
        command = StartWave(
            self.argument("wave"),
            self.argument("pool"),
            self.hosts(state.ok_value),
            self.option("ignore-quiet"),
            LongJobs.SKIP if skip else LongJobs.WAIT,
        )
        return self.show(self.client().propose(command), f"wave {command.name} runs")


class WaveRollOut(MaintenanceCommand):
    """Roll a service document out."""

    name = "wave roll-out"
    description = "Restarts the hosts of a service by waves, for its version in force."
    help = "Example: <c1>mulberryledge wave roll-out route-plans</c1>"
    arguments = [argument("service", "The service.")]

    def handle(self) -> int:
        """Start a wave in each pool that has hosts of the service."""
        fetched = self.state()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        state = fetched.ok_value
        name = self.argument("service")
        if name not in state.services:
            failure = Failure("not-found", f"service {name!r} does not exist")
            return self.fail(failure)
        codes = [EXIT_OK]
        for command in rollout_waves(state, state.services[name]):
            outcome = self.client().propose(command)
            codes.append(self.show(outcome, f"wave {command.name} runs"))
        return max(codes)


class WavePreview(MaintenanceCommand):
    """Show what a wave would do."""

    name = "wave preview"
    description = "Shows rounds, expected end and the budget that binds."
    help = "Example: <c1>mulberryledge wave preview interior</c1>"
    arguments = [argument("pool", "Pool of the hosts."), HOSTS]
    options = [*COMMON_OPTIONS, IGNORE_QUIET]

    def handle(self) -> int:
        """Plan the wave and print the plan."""
        fetched = self.state()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        state = fetched.ok_value
        pool = self.argument("pool")
        if pool not in state.pools:
            return self.fail(Failure("not-found", f"pool {pool!r} does not exist"))
        ignore_quiet = self.option("ignore-quiet")
        wave = Wave("preview", pool, self.hosts(state), ignore_quiet=ignore_quiet)
        for line in plan_lines(plan_wave(state, wave, now_ms())):
            self.line(line)
        return 0


class WaveProgress(MaintenanceCommand):
    """Show how far a wave is."""

    name = "wave progress"
    description = "Shows how far a wave is and when it is expected to end."
    help = "Example: <c1>mulberryledge wave progress monday</c1>"
    arguments = [WAVE]

    def handle(self) -> int:
        """Print the progress."""
        fetched = self.state()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        wave = self.wave(fetched.ok_value)
        if isinstance(wave, Err):
            return self.fail(wave.err_value)
        progress = wave_progress(fetched.ok_value, wave.ok_value, now_ms())
        for line in progress_lines(progress):
            self.line(line)
        took_ms = rollout_duration_ms(fetched.ok_value, wave.ok_value)
        if took_ms is not None:
            version = wave.ok_value.version
            text = f"version {version} reached the last host after {took_ms / 1_000} s"
            self.line(text)
        return 0


class WavePhaseCommand(MaintenanceCommand):
    """Change the phase of a wave, unless somebody else has just done so."""

    arguments = [WAVE]
    options = [*COMMON_OPTIONS, REASON]
    phase: WavePhase

    def handle(self) -> int:
        """Send the change with the revision that was seen."""
        fetched = self.state()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        found = self.wave(fetched.ok_value)
        if isinstance(found, Err):
            return self.fail(found.err_value)
        wave = found.ok_value
        reason = self.option("reason")
        command = SetWavePhase(wave.name, wave.phase, self.phase, reason, wave.revision)
        text = f"wave {wave.name} is {self.phase}"
        return self.show(self.client().propose(command), text)


class WavePause(WavePhaseCommand):
    """Pause a wave."""

    name = "wave pause"
    description = "Takes no further host out; hosts that are out finish."
    help = "Example: <c1>mulberryledge wave pause monday</c1>"
    phase = WavePhase.PAUSED


class WaveResume(WavePhaseCommand):
    """Resume a wave."""

    name = "wave resume"
    description = "Lets a paused or stopped wave go on, after a stop with a canary."
    help = "Example: <c1>mulberryledge wave resume monday</c1>"
    phase = WavePhase.RUNNING


class WaveAbandon(WavePhaseCommand):
    """Abandon a wave."""

    name = "wave abandon"
    description = "Ends a wave; draining hosts serve again, rebooting ones finish."
    help = "Example: <c1>mulberryledge wave abandon monday</c1>"
    phase = WavePhase.ABANDONED


class HoldCommand(OperatorCommand):
    """Hold something out of maintenance, or end the hold."""

    arguments = [
        argument("kind", "host or service."),
        argument("name", "Name of the host or service."),
    ]
    options = [*COMMON_OPTIONS, REASON]
    kinds = {"host": HoldHost, "service": HoldService}

    def change(self, reason: str, text: str) -> int:
        """Send the change."""
        kind = self.kinds.get(self.argument("kind"))
        if kind is None:
            given = self.argument("kind")
            self.line_error(f"bad-request: kind {given!r}: use host or service")
            return EXIT_REFUSED
        name = self.argument("name")
        command = kind(name, reason)
        return self.show(self.client().propose(command), f"{name} is {text}")


class HoldSet(HoldCommand):
    """Hold a host or service out."""

    name = "hold set"
    description = "Holds a host, or the hosts of a service, out of maintenance."
    help = "Example: <c1>mulberryledge hold set host host-1 --reason disk</c1>"

    def handle(self) -> int:
        """Begin the hold."""
        return self.change(self.option("reason") or "held by an operator", "held")


class HoldEnd(HoldCommand):
    """End a hold."""

    name = "hold end"
    description = "Ends the hold of a host or service."
    help = "Example: <c1>mulberryledge hold end host host-1</c1>"

    def handle(self) -> int:
        """End the hold."""
        return self.change("", "no longer held")


class HostRelease(OperatorCommand):
    """Stop counting a host that will not come back."""

    name = "host release"
    description = "Counts a host that is out for a service no longer."
    help = "Example: <c1>mulberryledge host release host-1 route-plans</c1>"
    arguments = [argument("host", "The host."), argument("service", "The service.")]

    def handle(self) -> int:
        """Release the host."""
        command = ReleaseHost(self.argument("host"), self.argument("service"))
        text = f"host {command.host} no longer counts for {command.service}"
        return self.show(self.client().propose(command), text)


def plan_lines(plan: WavePlan) -> list[str]:
    """Return the lines that show a plan."""
    lines = [
        f"{len(plan.rounds)} rounds, least {plan.min_rounds.rounds}"
        f" ({plan.min_rounds.cause})",
        f"from {clock_time(plan.start_ms)} to {clock_time(plan.end_ms)} expected",
    ]
    if plan.cause:
        lines.append(f"more than the least: {plan.cause}")
    for number, hosts in enumerate(plan.rounds, 1):
        lines.append(f"round {number}: {' '.join(hosts)}")
    lines.extend(f"cannot go: {one.host}: {one.cause}" for one in plan.unplannable)
    return lines


def progress_lines(progress: WaveStatus) -> list[str]:
    """Return the lines that show how far a wave is."""
    reason = f": {progress.reason}" if progress.reason else ""
    counts = ", ".join(f"{count} {step}" for step, count in progress.steps.items())
    lines = [f"wave {progress.wave} is {progress.phase}{reason}", counts]
    if progress.end_ms is not None:
        lines.append(f"expected end {clock_time(progress.end_ms)}")
    return lines


def clock_time(ms: int) -> str:
    """Return a time in UTC."""
    return datetime.fromtimestamp(ms / 1_000, UTC).isoformat(timespec="seconds")


COMMANDS = (
    WaveStart,
    WaveRollOut,
    WavePreview,
    WaveProgress,
    WavePause,
    WaveResume,
    WaveAbandon,
    HoldSet,
    HoldEnd,
    HostRelease,
)

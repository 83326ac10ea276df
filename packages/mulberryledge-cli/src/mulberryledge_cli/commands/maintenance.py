"""
mulberryledge_cli.commands.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on maintenance waves, holds and host releases.
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
REASON = option(
    "reason", None, "Reason, shown to other operators.", flag=False, default=""
)
HOSTS = argument(
    "hosts", "Hosts; all hosts of the pool by default.", multiple=True, optional=True
)
IGNORE_QUIET = option("ignore-quiet", None, "Also run outside the quiet time.")


class MaintenanceCommand(OperatorCommand):
    """Command that needs the state of the fleet."""

    def load_state(self) -> Result[ClusterState, Failure]:
        """Fetch the tables that wave plans need."""
        return fetch_state(self.client())

    def fail(self, failure: Failure) -> int:
        """Print a failure on standard error and return the exit code."""
        self.line_error(f"{failure.code}: {failure.message}")
        return EXIT_REFUSED

    def selected_hosts(self, state: ClusterState) -> tuple[str, ...]:
        """Return the hosts given, or all hosts of the pool."""
        named = tuple(self.argument("hosts"))
        pool = self.argument("pool")
        return named or tuple(
            host.name for host in state.hosts.values() if host.pool == pool
        )

    def find_wave(self, state: ClusterState) -> Result[Wave, Failure]:
        """Return the wave named by the argument."""
        name = self.argument("wave")
        if name not in state.waves:
            return Err(Failure("not-found", f"wave {name!r} does not exist"))
        return Ok(state.waves[name])


class WaveStart(MaintenanceCommand):
    """Start a wave."""

    name = "wave start"
    description = "Starts a maintenance wave over hosts of one pool."
    help = "Example: <c1>mulberryledge wave start monday interior host-1 host-2</c1>"
    arguments = [WAVE, argument("pool", "Pool of the hosts."), HOSTS]
    options = [
        *COMMON_OPTIONS,
        IGNORE_QUIET,
        option("skip-long-jobs", None, "Skip hosts whose drain waits for a long job."),
    ]

    def handle(self) -> int:
        """Start the wave."""
        state = self.load_state()
        if isinstance(state, Err):
            return self.fail(state.err_value)
        skip = self.option("skip-long-jobs")
        command = StartWave(
            self.argument("wave"),
            self.argument("pool"),
            self.selected_hosts(state.ok_value),
            self.option("ignore-quiet"),
            LongJobs.SKIP if skip else LongJobs.WAIT,
        )
        return self.show(self.client().propose(command), f"wave {command.name} runs")


class WaveRollOut(MaintenanceCommand):
    """Roll a service document out."""

    name = "wave roll-out"
    description = (
        "Rolls out the version in force by restarting the service's hosts in waves."
    )
    help = "Example: <c1>mulberryledge wave roll-out route-plans</c1>"
    arguments = [argument("service", "The service.")]

    def handle(self) -> int:
        """Start a wave in each pool with hosts of the service."""
        fetched = self.load_state()
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
    """Show the plan of a wave without starting it."""

    name = "wave preview"
    description = "Shows the rounds, the expected end and the limiting budget."
    help = "Example: <c1>mulberryledge wave preview interior</c1>"
    arguments = [argument("pool", "Pool of the hosts."), HOSTS]
    options = [*COMMON_OPTIONS, IGNORE_QUIET]

    def handle(self) -> int:
        """Plan the wave and print the plan."""
        fetched = self.load_state()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        state = fetched.ok_value
        pool = self.argument("pool")
        if pool not in state.pools:
            return self.fail(Failure("not-found", f"pool {pool!r} does not exist"))
        ignore_quiet = self.option("ignore-quiet")
        wave = Wave(
            "preview", pool, self.selected_hosts(state), ignore_quiet=ignore_quiet
        )
        for line in plan_lines(plan_wave(state, wave, now_ms())):
            self.line(line)
        return 0


class WaveProgress(MaintenanceCommand):
    """Show the progress of a wave."""

    name = "wave progress"
    description = "Shows the progress of a wave and its expected end."
    help = "Example: <c1>mulberryledge wave progress monday</c1>"
    arguments = [WAVE]

    def handle(self) -> int:
        """Print the progress."""
        fetched = self.load_state()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        wave = self.find_wave(fetched.ok_value)
        if isinstance(wave, Err):
            return self.fail(wave.err_value)
        progress = wave_progress(fetched.ok_value, wave.ok_value, now_ms())
        for line in progress_lines(progress):
            self.line(line)
        duration_ms = rollout_duration_ms(fetched.ok_value, wave.ok_value)
        if duration_ms is not None:
            version = wave.ok_value.version
            text = (
                f"version {version} reached the last host after {duration_ms / 1_000} s"
            )
            self.line(text)
        return 0


class WavePhaseCommand(MaintenanceCommand):
    """Change the phase of a wave, unless it was changed concurrently."""

    arguments = [WAVE]
    options = [*COMMON_OPTIONS, REASON]
    phase: WavePhase

    def handle(self) -> int:
        """Send the change with the phase and revision that were read."""
        fetched = self.load_state()
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        wave_result = self.find_wave(fetched.ok_value)
        if isinstance(wave_result, Err):
            return self.fail(wave_result.err_value)
        wave = wave_result.ok_value
        reason = self.option("reason")
        command = SetWavePhase(wave.name, wave.phase, self.phase, reason, wave.revision)
        text = f"wave {wave.name} is {self.phase}"
        return self.show(self.client().propose(command), text)


class WavePause(WavePhaseCommand):
    """Pause a wave."""

    name = "wave pause"
    description = "Takes no further host out of service; hosts already out finish."
    help = "Example: <c1>mulberryledge wave pause monday</c1>"
    phase = WavePhase.PAUSED


class WaveResume(WavePhaseCommand):
    """Resume a wave."""

    name = "wave resume"
    description = "Resumes a paused or stopped wave, after a stop with a canary."
    help = "Example: <c1>mulberryledge wave resume monday</c1>"
    phase = WavePhase.RUNNING


class WaveAbandon(WavePhaseCommand):
    """Abandon a wave."""

    name = "wave abandon"
    description = (
        "Ends a wave; draining hosts return to service, rebooting hosts finish."
    )
    help = "Example: <c1>mulberryledge wave abandon monday</c1>"
    phase = WavePhase.ABANDONED


class HoldCommand(OperatorCommand):
    """Set or end a hold, which excludes hosts from maintenance."""

    arguments = [
        argument("kind", "host or service."),
        argument("name", "Name of the host or service."),
    ]
    options = [*COMMON_OPTIONS, REASON]
    commands_by_kind = {"host": HoldHost, "service": HoldService}

    def set_hold(self, reason: str, text: str) -> int:
        """Set the hold, or end it if the reason is empty."""
        kind = self.commands_by_kind.get(self.argument("kind"))
        if kind is None:
            given = self.argument("kind")
            self.line_error(f"bad-request: kind {given!r}: use host or service")
            return EXIT_REFUSED
        name = self.argument("name")
        command = kind(name, reason)
        return self.show(self.client().propose(command), f"{name} is {text}")


class HoldSet(HoldCommand):
    """Hold a host or service out of maintenance."""

    name = "hold set"
    description = "Holds a host, or the hosts of a service, out of maintenance."
    help = "Example: <c1>mulberryledge hold set host host-1 --reason disk</c1>"

    def handle(self) -> int:
        """Set the hold."""
        return self.set_hold(self.option("reason") or "held by an operator", "held")


class HoldEnd(HoldCommand):
    """End a hold."""

    name = "hold end"
    description = "Ends the hold of a host or service."
    help = "Example: <c1>mulberryledge hold end host host-1</c1>"

    def handle(self) -> int:
        """End the hold."""
        return self.set_hold("", "no longer held")


class HostRelease(OperatorCommand):
    """Stop counting a host that will not return."""

    name = "host release"
    description = "Stops counting an absent host for a service."
    help = "Example: <c1>mulberryledge host release host-1 route-plans</c1>"
    arguments = [argument("host", "The host."), argument("service", "The service.")]

    def handle(self) -> int:
        """Release the host."""
        command = ReleaseHost(self.argument("host"), self.argument("service"))
        text = f"host {command.host} no longer counts for {command.service}"
        return self.show(self.client().propose(command), text)


def plan_lines(plan: WavePlan) -> list[str]:
    """Return a plan as lines of text."""
    lines = [
        f"{len(plan.rounds)} rounds, least {plan.min_rounds.rounds}"
        f" ({plan.min_rounds.cause})",
        f"from {iso_time(plan.start_ms)} to {iso_time(plan.end_ms)} expected",
    ]
    if plan.cause:
        lines.append(f"above the minimum: {plan.cause}")
    for number, hosts in enumerate(plan.rounds, 1):
        lines.append(f"round {number}: {' '.join(hosts)}")
    lines.extend(
        f"cannot be scheduled: {blocked.host}: {blocked.cause}"
        for blocked in plan.unplannable
    )
    return lines


def progress_lines(progress: WaveStatus) -> list[str]:
    """Return the progress of a wave as lines of text."""
    reason = f": {progress.reason}" if progress.reason else ""
    counts = ", ".join(f"{count} {step}" for step, count in progress.steps.items())
    lines = [f"wave {progress.wave} is {progress.phase}{reason}", counts]
    if progress.end_ms is not None:
        lines.append(f"expected end {iso_time(progress.end_ms)}")
    return lines


def iso_time(ms: int) -> str:
    """Return a time in UTC as ISO 8601 text."""
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

"""
mulberryledge_core.state.invariants
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What must hold after each applied command; a broken invariant stops the process.
"""

from collections.abc import Callable

from result import Ok

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import AddHost, MoveHost
from mulberryledge_core.commands.work import Lend, StartJob
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_core.state.limits import slots_in_use, team_in_use
from mulberryledge_core.state.tables import ClusterState

__all__ = ["assert_after"]


def assert_after(state: ClusterState, command: Command, outcome: ApplyResult) -> None:
    """Check the invariants that a successful command could have broken."""
    check = CHECKS.get(type(command))
    if check is not None and isinstance(outcome, Ok):
        check(state, command)


def assert_team(state: ClusterState, team: str) -> None:
    """Check that a team that was given more stays within its upper limit."""
    limit = state.teams[team].upper_limit
    used = team_in_use(state, team)
    assert used <= limit, f"team {team!r} may run {used}, its upper limit is {limit}"


def assert_target(state: ClusterState, name: str) -> None:
    """Check that a target that was given more stays within its slots."""
    slots = state.targets[name].slots
    used = slots_in_use(state, name)
    assert used <= slots, f"target {name!r} may run {used} in {slots} slots"


def after_lend(state: ClusterState, command: Lend) -> None:
    """Check the limits of what was lent."""
    for grant in command.slots:
        assert_target(state, grant.target)
    for grant in command.permits:
        assert_team(state, grant.team)


def after_start_job(state: ClusterState, command: StartJob) -> None:
    """Check the limits of the job's team and target."""
    job = state.jobs[command.job_id]
    assert_target(state, job.target)
    assert_team(state, job.team)


def after_host(state: ClusterState, command: AddHost | MoveHost) -> None:
    """Check that a host belongs to exactly one pool, and that it exists."""
    host = state.hosts[command.name]
    assert host.pool == command.pool, f"host {host.name!r} is in {host.pool!r}"
    assert host.pool in state.pools, f"pool {host.pool!r} does not exist"


CHECKS: dict[type, Callable[[ClusterState, Command], None]] = {
    Lend: after_lend,
    StartJob: after_start_job,
    AddHost: after_host,
    MoveHost: after_host,
}

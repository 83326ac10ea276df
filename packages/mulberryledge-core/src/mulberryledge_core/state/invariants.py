"""
mulberryledge_core.state.invariants
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Invariants checked after each applied command; a violation stops the process.
"""

from collections.abc import Callable

from result import Ok

from mulberryledge_core.commands import Command
from mulberryledge_core.commands.fleet import AddHost, MoveHost
from mulberryledge_core.commands.work import Lend, StartJob
from mulberryledge_core.outcomes import ApplyResult
from mulberryledge_core.state.limits import slots_in_use, team_permits_in_use
from mulberryledge_core.state.tables import ClusterState

__all__ = ["assert_invariants"]


def assert_invariants(
    state: ClusterState, command: Command, outcome: ApplyResult
) -> None:
    """Check the invariants that a successful command could have violated."""
    check = CHECKS.get(type(command))
    if check is not None and isinstance(outcome, Ok):
        check(state, command)


def assert_team_limit(state: ClusterState, team: str) -> None:
    """Check that a team whose use has grown is within its upper limit."""
    limit = state.teams[team].upper_limit
    used = team_permits_in_use(state, team)
    assert used <= limit, f"team {team!r} uses {used}, its upper limit is {limit}"


def assert_target_slots(state: ClusterState, name: str) -> None:
    """Check that a target whose use has grown is within its slots."""
    slots = state.targets[name].slots
    used = slots_in_use(state, name)
    assert used <= slots, f"target {name!r} uses {used} of {slots} slots"


def check_lend(state: ClusterState, command: Lend) -> None:
    """Check the limits of each target and team of the loan."""
    for grant in command.slots:
        assert_target_slots(state, grant.target)
    for grant in command.permits:
        assert_team_limit(state, grant.team)


def check_start_job(state: ClusterState, command: StartJob) -> None:
    """Check the limits of the job's team and target."""
    job = state.jobs[command.job_id]
    assert_target_slots(state, job.target)
    assert_team_limit(state, job.team)


def check_host(state: ClusterState, command: AddHost | MoveHost) -> None:
    """Check that the host belongs to the given pool, and that the pool exists."""
    host = state.hosts[command.name]
    assert host.pool == command.pool, f"host {host.name!r} is in {host.pool!r}"
    assert host.pool in state.pools, f"pool {host.pool!r} does not exist"


CHECKS: dict[type, Callable[[ClusterState, Command], None]] = {
    Lend: check_lend,
    StartJob: check_start_job,
    AddHost: check_host,
    MoveHost: check_host,
}

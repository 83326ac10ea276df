"""
mulberryledge_core.state.appliers.loans
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on sessions and loans.
"""

from collections import Counter
from dataclasses import replace

from mulberryledge_core.commands.work import (
    CloseSession,
    Lend,
    OpenSession,
    Recall,
    ReturnLoan,
)
from mulberryledge_core.model.jobs import ReservationPhase
from mulberryledge_core.model.sessions import Session, SlotGrant, TeamGrant
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.budgets import usable_slots
from mulberryledge_core.state.limits import slots_in_use, team_headroom
from mulberryledge_core.state.results import not_found, ok, refuse
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS"]


def open_session(
    state: ClusterState, command: OpenSession, ctx: Context
) -> ApplyResult:
    """Open a session of a daemon."""
    if command.session not in state.sessions:
        state.sessions[command.session] = Session(command.daemon, command.session)
    return ok(ctx.index, command.session)


def close_session(
    state: ClusterState, command: CloseSession, ctx: Context
) -> ApplyResult:
    """Close a session; its running reservations become unknown."""
    state.sessions.pop(command.session, None)
    for name, item in list(state.reservations.items()):
        if item.session != command.session:
            continue
        if item.phase == ReservationPhase.RUNNING:
            state.reservations[name] = replace(item, phase=ReservationPhase.UNKNOWN)
    return ok(ctx.index)


def lend(state: ClusterState, command: Lend, ctx: Context) -> ApplyResult:
    """Increase a session's loan if every target and team has enough capacity."""
    session = state.sessions.get(command.session)
    if session is None:
        return not_found("session", command.session)
    refusal = _amount_refusal(command)
    if refusal is None:
        refusal = _slots_refusal(state, command.slots)
    if refusal is None:
        refusal = _permits_refusal(state, command.permits)
    if refusal is not None:
        return refusal
    state.sessions[session.session] = _adjusted(session, command, sign=1)
    return ok(ctx.index)


def return_loan(state: ClusterState, command: ReturnLoan, ctx: Context) -> ApplyResult:
    """Decrease a session's loan."""
    session = state.sessions.get(command.session)
    if session is None:
        return not_found("session", command.session)
    refusal = _amount_refusal(command)
    if refusal is not None:
        return refusal
    if command.sequence and command.sequence <= session.returns:
        return ok(ctx.index, "present")
    lowered = _adjusted(session, command, sign=-1)
    returns = max(session.returns, command.sequence)
    state.sessions[session.session] = replace(lowered, returns=returns)
    return ok(ctx.index)


def recall(state: ClusterState, command: Recall, ctx: Context) -> ApplyResult:
    """Change nothing: the session's daemon reacts when it applies the command."""
    if command.session not in state.sessions:
        return not_found("session", command.session)
    return ok(ctx.index)


def _amount_refusal(change: Lend | ReturnLoan) -> ApplyResult | None:
    for grant in change.slots:
        if grant.slots < 1:
            return refuse(Code.BAD_REQUEST, f"slots: {grant.slots} is below one")
    for grant in change.permits:
        if grant.permits < 1:
            return refuse(Code.BAD_REQUEST, f"permits: {grant.permits} is below one")
    return None


def _slots_refusal(
    state: ClusterState, grants: tuple[SlotGrant, ...]
) -> ApplyResult | None:
    requested: Counter[str] = Counter()
    for grant in grants:
        target = state.targets.get(grant.target)
        if target is None or target.generation != grant.generation:
            return not_found("target", grant.target)
        if not state.target_accepts_work(target.name):
            return refuse(Code.CONFLICT, f"target {target.name!r} takes no new work")
        requested[target.name] += grant.slots
    for name, count in requested.items():
        usable = usable_slots(state, state.targets[name])
        if slots_in_use(state, name) + count > usable:
            return refuse(
                Code.LIMIT, f"target {name!r} has fewer than {count} free slots"
            )
    return None


def _permits_refusal(
    state: ClusterState, grants: tuple[TeamGrant, ...]
) -> ApplyResult | None:
    requested: Counter[str] = Counter()
    for grant in grants:
        requested[grant.team] += grant.permits
    for team, count in requested.items():
        if team_headroom(state, team) < count:
            return refuse(Code.LIMIT, f"team {team!r} is at its upper limit")
    return None


def _adjusted(session: Session, change: Lend | ReturnLoan, sign: int) -> Session:
    slots: Counter[tuple[str, int]] = Counter()
    for grant in session.slots:
        slots[grant.target, grant.generation] += grant.slots
    for grant in change.slots:
        slots[grant.target, grant.generation] += sign * grant.slots
    permits: Counter[str] = Counter()
    for grant in session.permits:
        permits[grant.team] += grant.permits
    for grant in change.permits:
        permits[grant.team] += sign * grant.permits
    return replace(
        session,
        slots=tuple(SlotGrant(t, g, n) for (t, g), n in sorted(slots.items()) if n > 0),
        permits=tuple(TeamGrant(t, n) for t, n in sorted(permits.items()) if n > 0),
    )


APPLIERS = {
    OpenSession: open_session,
    CloseSession: close_session,
    Lend: lend,
    ReturnLoan: return_loan,
    Recall: recall,
}

"""
mulberryledge_core.state.appliers.teams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on teams, keys and service documents.
"""

from collections.abc import Iterable
from dataclasses import replace

from result import Err

from mulberryledge_core.commands.teams import (
    ApplyDocument,
    CreateTeam,
    GiveKey,
    RemoveService,
    RemoveTeam,
    SetTeamQuota,
    WithdrawKey,
)
from mulberryledge_core.documents import invalid_document, is_name, read_document
from mulberryledge_core.keys import KEY_ID_RULE, is_key_id
from mulberryledge_core.model.services import Service, ServiceDocument, ServiceVersion
from mulberryledge_core.model.teams import Team, TeamKey
from mulberryledge_core.outcomes import ApplyResult, Code
from mulberryledge_core.state.absences import remove_service_from_hosts
from mulberryledge_core.state.limits import team_permits_in_use
from mulberryledge_core.state.references import reference_faults
from mulberryledge_core.state.results import invalid_name, not_found, ok, refuse
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS", "MAX_HISTORY_VERSIONS", "next_version"]

MAX_HISTORY_VERSIONS = 20
FIRST_VERSION = 1
MAX_WITHDRAWN_KEYS = 10_000
MAX_REMOVED_SERVICES = 1_000


def create_team(state: ClusterState, command: CreateTeam, ctx: Context) -> ApplyResult:
    """Create a team."""
    if not is_name(command.name):
        return invalid_name("team", command.name)
    refusal = _quota_refusal(command.share, command.upper_limit)
    if refusal is not None:
        return refusal
    team = Team(command.name, command.share, command.upper_limit)
    present = state.teams.get(team.name)
    if present is not None and present != team:
        return refuse(
            Code.EXISTS, f"team {team.name!r} exists with other values: {present}"
        )
    state.teams[team.name] = team
    return ok(ctx.index)


def set_team_quota(
    state: ClusterState, command: SetTeamQuota, ctx: Context
) -> ApplyResult:
    """Change a team's share and upper limit."""
    team = state.teams.get(command.name)
    if team is None:
        return not_found("team", command.name)
    refusal = _quota_refusal(command.share, command.upper_limit)
    if refusal is not None:
        return refusal
    state.teams[team.name] = replace(
        team, share=command.share, upper_limit=command.upper_limit
    )
    return ok(ctx.index)


def remove_team(state: ClusterState, command: RemoveTeam, ctx: Context) -> ApplyResult:
    """Remove a team and its keys."""
    if command.name not in state.teams:
        return not_found("team", command.name)
    for service in state.services.values():
        if service.document.service.team == command.name:
            text = f"team {command.name!r} owns service {service.name!r}"
            return refuse(Code.IN_USE, text)
    for job in state.jobs.values():
        if job.team == command.name and job.ended_ms == 0:
            text = f"team {command.name!r} has unfinished job {job.job_id!r}"
            return refuse(Code.IN_USE, text)
    if team_permits_in_use(state, command.name):
        return refuse(Code.IN_USE, f"team {command.name!r} has running calls")
    del state.teams[command.name]
    key_ids = [key.key_id for key in state.keys.values() if key.team == command.name]
    for key_id in key_ids:
        del state.keys[key_id]
    _record_withdrawn(state, key_ids, ctx)
    return ok(ctx.index)


def give_key(state: ClusterState, command: GiveKey, ctx: Context) -> ApplyResult:
    """Store a new key; a late resend does not revive a withdrawn one."""
    if not is_key_id(command.key_id):
        return refuse(Code.BAD_REQUEST, f"key {command.key_id!r}: {KEY_ID_RULE}")
    if command.key_id in state.withdrawn_keys:
        return refuse(Code.CONFLICT, f"key {command.key_id!r} was withdrawn")
    if command.team not in state.teams:
        return not_found("team", command.team)
    key = TeamKey(
        command.key_id, command.team, command.salt, command.digest, ctx.now_ms
    )
    present = state.keys.get(command.key_id)
    if present is None:
        state.keys[key.key_id] = key
        return ok(ctx.index, key.key_id)
    if replace(present, given_ms=key.given_ms) != key:
        return refuse(Code.EXISTS, f"key {command.key_id!r} exists")
    return ok(ctx.index, key.key_id)


def withdraw_key(
    state: ClusterState, command: WithdrawKey, ctx: Context
) -> ApplyResult:
    """Withdraw a key; an identifier that never was a key is refused."""
    key_id = command.key_id
    if key_id in state.keys:
        del state.keys[key_id]
        _record_withdrawn(state, (key_id,), ctx)
        return ok(ctx.index, key_id)
    if key_id in state.withdrawn_keys:
        return ok(ctx.index, key_id)
    return not_found("key", key_id)


def _record_withdrawn(
    state: ClusterState, key_ids: Iterable[str], ctx: Context
) -> None:
    for key_id in key_ids:
        state.withdrawn_keys[key_id] = ctx.now_ms
    while len(state.withdrawn_keys) > MAX_WITHDRAWN_KEYS:
        del state.withdrawn_keys[next(iter(state.withdrawn_keys))]


def apply_document(
    state: ClusterState, command: ApplyDocument, ctx: Context
) -> ApplyResult:
    """Put a service document in force."""
    reading = read_document(command.text)
    name = reading.section("service").get("name")
    present = state.services.get(name) if isinstance(name, str) else None
    history = present.history if present is not None else ()
    for past in history:
        if (past.version, past.text) == (command.version, command.text):
            return ok(past.index, _resend_detail(command, history))
    faults = (*reading.faults, *reference_faults(state, reading))
    if faults or reading.document is None:
        return Err(invalid_document(faults))
    expected = next_version(state, name)
    if command.version != expected:
        return refuse(
            Code.CONFLICT, _version_conflict(name, command, history, expected)
        )
    if present is not None and _owner(reading.document) != _owner(present.document):
        text = f"service.team: {name!r} is owned by {_owner(present.document)!r}"
        return refuse(Code.CONFLICT, text)
    return _accept(state, reading.document, command, history, ctx)


def next_version(state: ClusterState, name: str) -> int:
    """Return the version number of the next text of a service."""
    present = state.services.get(name)
    latest = state.removed_services.get(name, 0) if present is None else present.version
    return latest + 1


def _resend_detail(command: ApplyDocument, history: tuple[ServiceVersion, ...]) -> str:
    latest = history[-1].version
    return "present" if command.version == latest else f"superseded by {latest}"


def _version_conflict(
    name: str,
    command: ApplyDocument,
    history: tuple[ServiceVersion, ...],
    expected: int,
) -> str:
    if history:
        taken = "; another text has that version" if command.version < expected else ""
        now = f"is at version {expected - 1}"
    else:
        taken = ""
        removed = f"was removed at version {expected - 1}"
        now = "does not exist" if expected == FIRST_VERSION else removed
    return (
        f"service {name!r} {now}, so the next is {expected},"
        f" not {command.version}{taken}"
    )


def _owner(document: ServiceDocument) -> str:
    return document.service.team


def remove_service(
    state: ClusterState, command: RemoveService, ctx: Context
) -> ApplyResult:
    """Remove a service that has neither targets nor unfinished jobs."""
    if command.name not in state.services:
        return not_found("service", command.name)
    for target in state.targets.values():
        if target.service == command.name:
            return refuse(
                Code.IN_USE, f"service {command.name!r} has target {target.name!r}"
            )
    for job in state.jobs.values():
        if job.service == command.name and job.ended_ms == 0:
            return refuse(
                Code.IN_USE, f"service {command.name!r} has job {job.job_id!r}"
            )
    state.removed_services.pop(command.name, None)
    state.removed_services[command.name] = state.services[command.name].version
    while len(state.removed_services) > MAX_REMOVED_SERVICES:
        del state.removed_services[next(iter(state.removed_services))]
    del state.services[command.name]
    state.service_removed_ms = ctx.now_ms
    remove_service_from_hosts(state, command.name, ctx)
    return ok(ctx.index)


def _quota_refusal(share: float, upper_limit: int) -> ApplyResult | None:
    if not share > 0:
        return refuse(Code.BAD_REQUEST, f"share {share} is not above zero")
    if upper_limit < 0:
        return refuse(Code.BAD_REQUEST, f"upper_limit {upper_limit} is below zero")
    return None


def _accept(
    state: ClusterState,
    document: ServiceDocument,
    command: ApplyDocument,
    history: tuple[ServiceVersion, ...],
    ctx: Context,
) -> ApplyResult:
    accepted = ServiceVersion(command.version, command.text, ctx.index, ctx.now_ms)
    kept = (*history, accepted)[-MAX_HISTORY_VERSIONS:]
    name = document.service.name
    hold = state.services[name].hold if name in state.services else ""
    state.services[name] = Service(name, document, kept, hold)
    return ok(ctx.index, name)


APPLIERS = {
    CreateTeam: create_team,
    SetTeamQuota: set_team_quota,
    RemoveTeam: remove_team,
    GiveKey: give_key,
    WithdrawKey: withdraw_key,
    ApplyDocument: apply_document,
    RemoveService: remove_service,
}

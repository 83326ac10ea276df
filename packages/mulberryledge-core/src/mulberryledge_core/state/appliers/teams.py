"""
mulberryledge_core.state.appliers.teams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appliers of the commands on teams, keys and service documents.
"""

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
from mulberryledge_core.documents import is_name, parse_document
from mulberryledge_core.model.services import Service, ServiceDocument, ServiceVersion
from mulberryledge_core.model.teams import Team, TeamKey
from mulberryledge_core.outcomes import ApplyResult, Code, Fault, Refusal
from mulberryledge_core.state.absences import forget_service
from mulberryledge_core.state.answers import bad_name, missing, ok, refuse
from mulberryledge_core.state.limits import team_in_use
from mulberryledge_core.state.tables import ClusterState, Context

__all__ = ["APPLIERS", "HISTORY_VERSIONS"]

HISTORY_VERSIONS = 20


def create_team(state: ClusterState, command: CreateTeam, ctx: Context) -> ApplyResult:
    """Create a team."""
    if not is_name(command.name):
        return bad_name("team", command.name)
    refusal = _quota_refusal(command.share, command.upper_limit)
    if refusal is not None:
        return refusal
    team = Team(command.name, command.share, command.upper_limit)
    present = state.teams.get(team.name)
    if present is not None and present != team:
        return refuse(Code.EXISTS, f"team {team.name!r} exists as {present}")
    state.teams[team.name] = team
    return ok(ctx.index)


def set_team_quota(
    state: ClusterState, command: SetTeamQuota, ctx: Context
) -> ApplyResult:
    """Change a team's share and upper limit."""
    team = state.teams.get(command.name)
    if team is None:
        return missing("team", command.name)
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
        return missing("team", command.name)
    for service in state.services.values():
        if service.document.service.team == command.name:
            text = f"team {command.name!r} owns service {service.name!r}"
            return refuse(Code.IN_USE, text)
    for job in state.jobs.values():
        if job.team == command.name and job.ended_ms == 0:
            text = f"team {command.name!r} has unfinished job {job.job_id!r}"
            return refuse(Code.IN_USE, text)
    if team_in_use(state, command.name):
        return refuse(Code.IN_USE, f"team {command.name!r} has running calls")
    del state.teams[command.name]
    state.keys.keep(lambda key: key.team != command.name)
    return ok(ctx.index)


def give_key(state: ClusterState, command: GiveKey, ctx: Context) -> ApplyResult:
    """Store a new key."""
    if command.team not in state.teams:
        return missing("team", command.team)
    present = state.keys.get(command.key_id)
    if present is not None and present.digest != command.digest:
        return refuse(Code.EXISTS, f"key {command.key_id!r} exists")
    if present is not None:
        return ok(ctx.index, command.key_id)
    state.keys[command.key_id] = TeamKey(
        command.key_id, command.team, command.salt, command.digest, ctx.now_ms
    )
    return ok(ctx.index, command.key_id)


def withdraw_key(
    state: ClusterState, command: WithdrawKey, ctx: Context
) -> ApplyResult:
    """Withdraw a key."""
    state.keys.pop(command.key_id, None)
    return ok(ctx.index, command.key_id)


def apply_document(
    state: ClusterState, command: ApplyDocument, ctx: Context
) -> ApplyResult:
    """Put a service document in force."""
    parsed = parse_document(command.text)
    if isinstance(parsed, Err):
        return parsed
    document = parsed.ok_value
    faults = _reference_faults(state, document)
    if faults:
        summary = "; ".join(f"{fault.place}: {fault.problem}" for fault in faults)
        return Err(Refusal(Code.INVALID_DOCUMENT, summary, faults))
    name = document.service.name
    present = state.services.get(name)
    if present is None:
        return _accept(state, document, command, (), ctx)
    for past in present.history:
        if past.version == command.version and past.text == command.text:
            return ok(past.index, "present")
    if command.version != present.version + 1:
        text = (
            f"service {name!r} is at version {present.version}, so the next is"
            f" {present.version + 1}, not {command.version}; in force:\n{present.text}"
        )
        return refuse(Code.CONFLICT, text)
    if document.service.team != present.document.service.team:
        owner = present.document.service.team
        return refuse(Code.CONFLICT, f"service.team: {name!r} is owned by {owner!r}")
    return _accept(state, document, command, present.history, ctx)


def remove_service(
    state: ClusterState, command: RemoveService, ctx: Context
) -> ApplyResult:
    """Remove a service that has neither targets nor unfinished jobs."""
    if command.name not in state.services:
        return missing("service", command.name)
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
    del state.services[command.name]
    forget_service(state, command.name, ctx)
    return ok(ctx.index)


def _quota_refusal(share: float, upper_limit: int) -> ApplyResult | None:
    if not share > 0:
        return refuse(Code.BAD_REQUEST, f"share {share} is not above zero")
    if upper_limit < 0:
        return refuse(Code.BAD_REQUEST, f"upper_limit {upper_limit} is below zero")
    return None


def _reference_faults(
    state: ClusterState, document: ServiceDocument
) -> tuple[Fault, ...]:
    section = document.service
    faults = []
    if section.team not in state.teams:
        faults.append(Fault("service.team", f"team {section.team!r} does not exist"))
    if section.pool not in state.pools:
        faults.append(Fault("service.pool", f"pool {section.pool!r} does not exist"))
    return tuple(faults)


def _accept(
    state: ClusterState,
    document: ServiceDocument,
    command: ApplyDocument,
    history: tuple[ServiceVersion, ...],
    ctx: Context,
) -> ApplyResult:
    accepted = ServiceVersion(command.version, command.text, ctx.index, ctx.now_ms)
    kept = (*history, accepted)[-HISTORY_VERSIONS:]
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

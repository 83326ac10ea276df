"""
mulberryledge_daemon.http.operators
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP interface: typed commands, and tables of the state.
"""

from result import Err, Ok, Result
from twisted.web.http import Request

from mulberryledge_core.codec import from_plain, to_plain
from mulberryledge_core.commands import fleet, maintenance, teams
from mulberryledge_core.keys import matches, split_key
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.http.routing import (
    Reply,
    Route,
    header_of,
    json_body,
    json_reply,
    query_of,
    refusal_reply,
)
from mulberryledge_daemon.ports import ReplicatedLog
from mulberryledge_daemon.settings import OperatorSection

__all__ = ["OperatorInterface", "operator_routes"]

OPERATOR_COMMANDS = {
    kind.__name__: kind
    for kind in (
        fleet.CreatePool,
        fleet.RemovePool,
        fleet.AddHost,
        fleet.RemoveHost,
        fleet.MoveHost,
        fleet.SetHostPhase,
        *teams.COMMANDS,
        maintenance.StartWave,
        maintenance.SetWavePhase,
        maintenance.HoldHost,
        maintenance.HoldService,
        maintenance.ReleaseHost,
    )
}
TABLES = (
    "pools",
    "hosts",
    "targets",
    "teams",
    "services",
    "sessions",
    "waves",
    "permits",
)
IN_FORCE_TIMEOUT_S = 8.0


class OperatorInterface:
    """Handlers of the operators' routes."""

    def __init__(self, log: ReplicatedLog, operator: OperatorSection):
        self.log = log
        self.key = TeamKey(
            operator.key_id,
            "",
            bytes.fromhex(operator.salt),
            bytes.fromhex(operator.digest),
        )

    def admit(self, request: Request) -> Result[None, Refusal]:
        """Check the operators' key."""
        text = header_of(request, "Authorization").removeprefix("Bearer ")
        key_id, secret = split_key(text)
        if key_id == self.key.key_id and matches(self.key, secret):
            return Ok(None)
        return Err(Refusal(Code.BAD_KEY, "the operators' key is wrong or missing"))

    async def command(self, request: Request, name: str) -> Reply:
        """Propose a command and wait until it is in force everywhere."""
        admitted = self.admit(request)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        kind = OPERATOR_COMMANDS.get(name)
        if kind is None:
            text = f"command {name!r}: use one of {', '.join(OPERATOR_COMMANDS)}"
            return refusal_reply(Refusal(Code.NOT_FOUND, text))
        body = json_body(request).and_then(lambda plain: from_plain(plain, kind))
        if isinstance(body, Err):
            return refusal_reply(body.err_value)
        outcome = await self.log.propose(body.ok_value)
        if isinstance(outcome, Err):
            return refusal_reply(outcome.err_value)
        applied = outcome.ok_value
        in_force = await self.log.in_force(applied.index, IN_FORCE_TIMEOUT_S)
        return json_reply(
            {
                "index": applied.index,
                "detail": applied.detail,
                "waiting": list(in_force.waiting),
            }
        )

    async def table(self, request: Request, table: str) -> Reply:
        """Return one table of the state, or one row of it."""
        admitted = self.admit(request)
        if isinstance(admitted, Err):
            return refusal_reply(admitted.err_value)
        if table == "keys":
            return json_reply(self.keys())
        if table not in TABLES:
            text = f"table {table!r}: use one of {', '.join((*TABLES, 'keys'))}"
            return refusal_reply(Refusal(Code.NOT_FOUND, text))
        rows = getattr(self.log.state, table)
        name = query_of(request, "name")
        if name and name not in rows:
            text = f"{table}: {name!r} does not exist"
            return refusal_reply(Refusal(Code.NOT_FOUND, text))
        if name:
            return json_reply(to_plain(rows[name]))
        return json_reply({key: to_plain(row) for key, row in rows.items()})

    def keys(self) -> dict[str, object]:
        """Return the keys without salt and hash."""
        return {
            key.key_id: {"team": key.team, "given_ms": key.given_ms}
            for key in self.log.state.keys.values()
        }


def operator_routes(interface: OperatorInterface) -> tuple[Route, ...]:
    """Return the operators' routes."""
    return (
        Route("POST", "/v1/commands/{name}", interface.command),
        Route("GET", "/v1/tables/{table}", interface.table),
    )

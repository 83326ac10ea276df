"""
mulberryledge_daemon.http.operators
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP interface: commands, document checks and state tables.
"""

from collections.abc import Awaitable, Callable

from result import Err, Ok, Result
from twisted.web.http import Request

from mulberryledge_core.codec import from_plain, to_plain
from mulberryledge_core.commands import fleet, maintenance, teams, work
from mulberryledge_core.consensus.steps import MEMBER_COMMANDS
from mulberryledge_core.documents import (
    document_diff,
    invalid_document,
    read_document,
)
from mulberryledge_core.keys import secret_matches, split_key
from mulberryledge_core.model.jobs import Job
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state.references import reference_faults
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
    command_class.__name__: command_class
    for command_class in (
        fleet.CreatePool,
        fleet.RemovePool,
        fleet.AddHost,
        fleet.RemoveHost,
        fleet.MoveHost,
        fleet.SetHostPhase,
        *teams.COMMANDS,
        work.CancelJobs,
        maintenance.StartWave,
        maintenance.SetWavePhase,
        maintenance.HoldHost,
        maintenance.HoldService,
        maintenance.ReleaseHost,
        *MEMBER_COMMANDS,
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
MAX_IN_FORCE_WAIT_S = 8.0
MAX_TABLE_ROWS = 20_000
JOB_FILTERS = ("service", "team", "phase")


class OperatorInterface:
    """Handlers of the operators' routes."""

    def __init__(self, log: ReplicatedLog, operator: OperatorSection):
        self.log = log
        self.key = operator_key(operator)

    def set_key(self, operator: OperatorSection) -> None:
        """Replace the operators' key."""
        self.key = operator_key(operator)

    def admit(self, request: Request) -> Result[None, Refusal]:
        """Authenticate a request by the operators' key."""
        text = header_of(request, "Authorization").removeprefix("Bearer ")
        key_id, secret = split_key(text)
        if key_id == self.key.key_id and secret_matches(self.key, secret):
            return Ok(None)
        return Err(Refusal(Code.BAD_KEY, "the operators' key is wrong or missing"))

    def require_key(self, handler: Callable[..., Awaitable[Reply]]) -> Callable:
        """Wrap a handler so that it requires the operators' key."""

        async def admitted(request: Request, **fields: str) -> Reply:
            admission = self.admit(request)
            if isinstance(admission, Err):
                return refusal_reply(admission.err_value)
            return await handler(request, **fields)

        return admitted

    async def command(self, request: Request, name: str) -> Reply:
        """Propose a command and wait until it is in force on every daemon."""
        command_class = OPERATOR_COMMANDS.get(name)
        if command_class is None:
            text = f"command {name!r}: use one of {', '.join(OPERATOR_COMMANDS)}"
            return refusal_reply(Refusal(Code.NOT_FOUND, text))
        wait_s = parse_wait_s(request)
        body = json_body(request).and_then(
            lambda plain: from_plain(plain, command_class)
        )
        for checked in (wait_s, body):
            if isinstance(checked, Err):
                return refusal_reply(checked.err_value)
        command = body.ok_value
        outcome = await self.log.propose(command)
        if isinstance(outcome, Err):
            return refusal_reply(self.with_document_diff(command, outcome.err_value))
        applied = outcome.ok_value
        in_force = await self.log.wait_in_force(applied.index, wait_s.ok_value)
        return json_reply(
            {
                "index": applied.index,
                "detail": applied.detail,
                "waiting": list(in_force.waiting),
            }
        )

    def with_document_diff(self, command: object, refusal: Refusal) -> Refusal:
        """Add a diff against the conflicting version to a document conflict."""
        if refusal.code != Code.CONFLICT or not isinstance(
            command, teams.ApplyDocument
        ):
            return refusal
        name = read_document(command.text).section("service").get("name")
        service = self.log.state.services.get(name)
        if service is None:
            return refusal
        conflicting = next(
            (one for one in service.history if one.version == command.version),
            service.history[-1],
        )
        diff = document_diff(
            conflicting.text, command.text, f"version {conflicting.version}", "yours"
        )
        text = f"{refusal.message}\n{diff or 'your text is the one in force'}"
        return Refusal(refusal.code, text, refusal.faults)

    async def in_force(self, request: Request, index: str) -> Reply:
        """Wait until an index is in force; the reply lists the missing daemons."""
        wait_s = parse_wait_s(request)
        if isinstance(wait_s, Err):
            return refusal_reply(wait_s.err_value)
        if not (index.isascii() and index.isdigit()):
            text = f"index {index!r} is not a whole number"
            return refusal_reply(Refusal(Code.BAD_REQUEST, text))
        found = await self.log.wait_in_force(int(index), wait_s.ok_value)
        return json_reply({"index": int(index), "waiting": list(found.waiting)})

    async def check(self, request: Request) -> Reply:
        """Validate a service document against the state without applying it."""
        text = request.content.read().decode("utf-8", "replace")
        reading = read_document(text)
        faults = (*reading.faults, *reference_faults(self.log.state, reading))
        if faults:
            return refusal_reply(invalid_document(faults))
        return json_reply({"index": self.log.state.applied_index, "detail": "good"})

    async def table(self, request: Request, table: str) -> Reply:
        """Return a table of the state or one row of it, with the applied index."""
        if not self.log.is_fresh() and query_of(request, "stale") != "1":
            text = "this entry may be out of date: try another one, or add stale=1"
            return refusal_reply(Refusal(Code.NOT_FRESH, text))
        rows = self.rows(table)
        if rows is None:
            names = ", ".join((*TABLES, "keys", "jobs"))
            text = f"table {table!r}: use one of {names}"
            return refusal_reply(Refusal(Code.NOT_FOUND, text))
        name = query_of(request, "name")
        if name and name not in rows:
            text = f"{table}: {name!r} does not exist"
            return refusal_reply(Refusal(Code.NOT_FOUND, text))
        if name:
            rows = {name: rows[name]}
        if table == "jobs":
            rows = filter_jobs(request, rows)
        shown = dict(list(rows.items())[-MAX_TABLE_ROWS:])
        return json_reply(
            {
                "index": self.log.state.applied_index,
                "total": len(rows),
                "rows": {key: row_for_operators(row) for key, row in shown.items()},
            }
        )

    def rows(self, table: str) -> dict[str, object] | None:
        """Return the rows of a table, or None for an unknown table."""
        if table in (*TABLES, "jobs", "keys"):
            return getattr(self.log.state, table)
        return None


def filter_jobs(request: Request, jobs: dict[str, Job]) -> dict[str, Job]:
    """Return the jobs that match all filters of the query string."""
    filters = [
        (field, value) for field in JOB_FILTERS if (value := query_of(request, field))
    ]
    return {
        job_id: job
        for job_id, job in jobs.items()
        if all(getattr(job, field) == value for field, value in filters)
    }


def operator_key(operator: OperatorSection) -> TeamKey:
    """Return the operators' key record from the settings."""
    salt, digest = bytes.fromhex(operator.salt), bytes.fromhex(operator.digest)
    return TeamKey(operator.key_id, "", salt, digest)


def row_for_operators(row: object) -> dict[str, object]:
    """Return a row without key salts and digests, job bodies and results."""
    if isinstance(row, TeamKey):
        return {"team": row.team, "given_ms": row.given_ms}
    if isinstance(row, Job):
        sizes = {"body_bytes": len(row.body), "result_bytes": len(row.result)}
        plain = to_plain(row)
        columns = {
            name: plain[name] for name in plain if name not in ("body", "result")
        }
        return columns | sizes
    return to_plain(row)


def parse_wait_s(request: Request) -> Result[float, Refusal]:
    """Return the requested wait for an index to be in force, in seconds."""
    text = query_of(request, "wait_s", str(MAX_IN_FORCE_WAIT_S))
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = -1.0
    if 0 <= wait_s <= MAX_IN_FORCE_WAIT_S:
        return Ok(wait_s)
    message = f"wait_s {text!r} is out of range: use 0 to {MAX_IN_FORCE_WAIT_S:g}"
    return Err(Refusal(Code.BAD_REQUEST, message))


def operator_routes(interface: OperatorInterface) -> tuple[Route, ...]:
    """Return the operators' routes."""
    require_key = interface.require_key
    return (
        Route("POST", "/v1/commands/{name}", require_key(interface.command)),
        Route("GET", "/v1/in-force/{index}", require_key(interface.in_force)),
        Route("POST", "/v1/checks/service", require_key(interface.check)),
        Route("GET", "/v1/tables/{table}", require_key(interface.table)),
    )

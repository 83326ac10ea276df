"""
mulberryledge_daemon.http.routing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routes from method and path to coroutine handlers that return replies.
"""

import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import unquote

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from mulberryledge_core.codec import to_plain
from mulberryledge_core.outcomes import Code, Refusal, RunOutcome
from mulberryledge_daemon.ports import Header

__all__ = [
    "Reply",
    "Route",
    "Router",
    "header_of",
    "json_body",
    "json_reply",
    "query_of",
    "refusal_reply",
]

RETRY_AFTER_S = 1
STATUS = {
    Code.BAD_REQUEST: 400,
    Code.INVALID_DOCUMENT: 422,
    Code.BAD_KEY: 401,
    Code.NOT_ALLOWED: 403,
    Code.NOT_FOUND: 404,
    Code.EXISTS: 409,
    Code.CONFLICT: 409,
    Code.IN_USE: 409,
    Code.STALE: 409,
    Code.BUDGET: 409,
    Code.TOO_LARGE: 413,
    Code.LIMIT: 429,
    Code.TARGET_FAILED: 502,
    Code.DEADLINE: 504,
    Code.OVERLOADED: 503,
    Code.UNAVAILABLE: 503,
    Code.NOT_FRESH: 503,
    Code.NO_LEADER: 503,
    Code.DISK: 503,
    Code.STOPPING: 503,
}
RETRY_STATUSES = frozenset((429, 503))

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[Header, ...] = ()


Handler = Callable[..., Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class Route:
    """
    A method and a path pattern with its handler.

    A segment ``{name}`` matches one segment and ``{name*}`` the rest of the path;
    both are handed to the handler by name.
    """

    method: str
    pattern: str
    handler: Handler


class Router(Resource):
    """A resource that serves a table of routes."""

    isLeaf = True

    def __init__(self, routes: tuple[Route, ...]):
        super().__init__()
        self.routes = routes

    def render(self, request: Request):
        """Find the route and start its handler."""
        path = request.path.decode("ascii", "replace")
        method = request.method.decode("ascii", "replace")
        for route in self.routes:
            if route.method not in (method, "*"):
                continue
            fields = match(route.pattern, path)
            if fields is not None:
                start(request, route.handler, fields)
                return NOT_DONE_YET
        reply = refusal_reply(Refusal(Code.NOT_FOUND, f"no route {method} {path}"))
        return write(request, reply)


def match(pattern: str, path: str) -> dict[str, str] | None:
    """Return the fields of a path that matches the pattern, or None."""
    wanted, given = pattern.split("/"), path.split("/")
    fields = {}
    for position, segment in enumerate(wanted):
        if segment.endswith("*}"):
            fields[segment[1:-2]] = "/" + "/".join(given[position:])
            return fields
        if position >= len(given):
            return None
        if segment.startswith("{"):
            fields[segment[1:-1]] = unquote(given[position])
        elif segment != given[position]:
            return None
    return fields if len(wanted) == len(given) else None


def start(request: Request, handler: Handler, fields: dict[str, str]) -> None:
    """Run a handler and write its reply unless the client went away."""
    running = Deferred.fromCoroutine(handler(request, **fields))
    gone = request.notifyFinish()
    gone.addErrback(lambda _: running.cancel())
    running.addCallback(lambda reply: finish(request, reply))
    running.addErrback(lambda failure: fail(request, failure))


def finish(request: Request, reply: Reply) -> None:
    """Write a reply and finish the request."""
    if not request._disconnected:
        request.write(write(request, reply))
        request.finish()


def fail(request: Request, failure) -> None:
    """Log a failed handler; what became of its request is not known."""
    if failure.check(CancelledError):
        return
    logger.error("handler failed", extra={"failure": failure.getTraceback()})
    refusal = Refusal(Code.UNAVAILABLE, "internal error: see the daemon's log")
    reply = refusal_reply(refusal, RunOutcome.UNKNOWN)
    finish(request, Reply(500, reply.body))


def write(request: Request, reply: Reply) -> bytes:
    """Set status and headers, and return the body."""
    request.setResponseCode(reply.status)
    request.setHeader("Content-Type", reply.content_type)
    request.setHeader("Content-Length", str(len(reply.body)))
    for header in reply.headers:
        request.setHeader(header.name, header.value)
    return reply.body


def header_of(request: Request, name: str, default: str = "") -> str:
    """Return a request header."""
    return request.getHeader(name) or default


def query_of(request: Request, name: str, default: str = "") -> str:
    """Return a query parameter."""
    values = request.args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else default


def json_body(request: Request) -> Result[dict, Refusal]:
    """Parse the request body as a JSON object."""
    try:
        value = json.loads(request.content.read() or b"{}")
    except ValueError as error:
        return Err(Refusal(Code.BAD_REQUEST, f"body: not JSON: {error}"))
    if not isinstance(value, dict):
        return Err(Refusal(Code.BAD_REQUEST, "body: not a JSON object"))
    return Ok(value)


def json_reply(value: object, status: int = 200) -> Reply:
    """Return a reply with frozen data or plain values as JSON."""
    return Reply(status, json.dumps(to_plain(value)).encode() + b"\n")


def refusal_reply(
    refusal: Refusal,
    run: RunOutcome = RunOutcome.NOT_RUN,
    headers: tuple[Header, ...] = (),
) -> Reply:
    """Return a refusal as a JSON error with its outcome word."""
    status = STATUS[refusal.code]
    body = {
        "code": refusal.code,
        "outcome": run,
        "message": refusal.message,
        "faults": to_plain(refusal.faults),
    }
    if status in RETRY_STATUSES:
        headers = (*headers, Header("Retry-After", str(RETRY_AFTER_S)))
    return Reply(status, json.dumps(body).encode() + b"\n", headers=headers)

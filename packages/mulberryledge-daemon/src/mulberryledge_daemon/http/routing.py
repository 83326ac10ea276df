"""
mulberryledge_daemon.http.routing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routing of requests by method and path to coroutine handlers that return replies.
"""

import json
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import unquote

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from mulberryledge_core.codec import to_plain
from mulberryledge_core.outcomes import Code, Refusal, RunOutcome
from mulberryledge_daemon.http.headers import Header

__all__ = [
    "Reply",
    "Route",
    "Router",
    "header_of",
    "json_body",
    "json_reply",
    "parse_number",
    "parse_whole_number",
    "query_of",
    "refusal_reply",
]

RETRY_AFTER_S = 1
STATUS_BY_CODE = {
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
    """
    An HTTP reply.

    Attributes
    ----------
    written : bool
        Whether the handler has already written the reply or aborted it.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[Header, ...] = ()
    written: bool = False


Handler = Callable[..., Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class Route:
    """
    A method and a path pattern with its handler.

    A segment ``{name}`` matches one segment and ``{name*}`` the rest of the path;
    both are passed to the handler as keyword arguments.
    """

    method: str
    pattern: str
    handler: Handler


@dataclass(frozen=True, slots=True)
class Pattern:
    """A route with its parsed path pattern."""

    route: Route
    segments: tuple[str, ...]
    matches_rest: bool


class Router(Resource):
    """
    A resource that serves a set of routes.

    Attributes
    ----------
    stopping : callable
        Returns whether connections are closed after their current request.
    running_handlers : int
        Number of handlers in progress.
    """

    isLeaf = True

    def __init__(
        self, routes: tuple[Route, ...], stopping: Callable[[], bool] = lambda: False
    ):
        super().__init__()
        self.stopping = stopping
        self.running_handlers = 0
        self.patterns: dict[tuple[str, str], list[Pattern]] = {}
        for route in routes:
            segments = tuple(route.pattern.split("/"))
            pattern = Pattern(route, segments, segments[-1].endswith("*}"))
            self.patterns.setdefault(fixed_segments(segments), []).append(pattern)

    def render(self, request: Request):
        """Find the route and start its handler."""
        path = request.path.decode("ascii", "replace")
        method = request.method.decode("ascii", "replace")
        path_segments = path.split("/")
        for pattern in self.patterns.get(fixed_segments(path_segments), ()):
            if pattern.route.method not in (method, "*"):
                continue
            fields = match_path(pattern, path_segments)
            if fields is not None:
                self.start(request, pattern.route.handler, fields)
                return NOT_DONE_YET
        reply = refusal_reply(Refusal(Code.NOT_FOUND, f"no route {method} {path}"))
        return set_head(request, reply)

    def start(self, request: Request, handler: Handler, fields: dict[str, str]) -> None:
        """
        Run a handler and write its reply unless the client has disconnected.

        The handler runs to its end even then, so that it releases its resources and
        records the outcome of the request.
        """
        self.running_handlers += 1
        running = Deferred.fromCoroutine(handler(request, **fields))
        running.addCallback(self.finish, request)
        running.addErrback(self.fail, request)

    def finish(self, reply: Reply, request: Request) -> None:
        """Write a reply and finish the request."""
        self.running_handlers -= 1
        if reply.written or request._disconnected:
            return
        if self.stopping():
            request.setHeader("Connection", "close")
            request.channel.persistent = False
        request.write(set_head(request, reply))
        request.finish()

    def fail(self, failure, request: Request) -> None:
        """Log a failed handler and reply that the outcome is unknown."""
        logger.error("handler failed", extra={"failure": failure.getTraceback()})
        refusal = Refusal(Code.UNAVAILABLE, "internal error: see the daemon's log")
        reply = refusal_reply(refusal, RunOutcome.UNKNOWN)
        self.finish(Reply(500, reply.body), request)


def fixed_segments(segments: tuple[str, ...] | list[str]) -> tuple[str, str]:
    """Return the first two segments, which are fixed in every pattern."""
    return segments[1], segments[2] if len(segments) > 2 else ""


def match_path(pattern: Pattern, path_segments: list[str]) -> dict[str, str] | None:
    """Return the named segments of a matching path, or None."""
    count = len(pattern.segments)
    if len(path_segments) < count or (
        len(path_segments) > count and not pattern.matches_rest
    ):
        return None
    fields = {}
    for position, segment in enumerate(pattern.segments):
        if segment.endswith("*}"):
            fields[segment[1:-2]] = "/" + "/".join(path_segments[position:])
        elif segment.startswith("{"):
            fields[segment[1:-1]] = unquote(path_segments[position])
        elif segment != path_segments[position]:
            return None
    return fields


def set_head(request: Request, reply: Reply) -> bytes:
    """Set the status and the headers of a reply, and return its body."""
    request.setResponseCode(reply.status)
    request.setHeader("Content-Type", reply.content_type)
    request.setHeader("Content-Length", str(len(reply.body)))
    for header in reply.headers:
        request.setHeader(header.name, header.value)
    return reply.body


def header_of(request: Request, name: str, default: str = "") -> str:
    """Return the value of a request header."""
    return request.getHeader(name) or default


def query_of(request: Request, name: str, default: str = "") -> str:
    """Return the first value of a query parameter."""
    values = request.args.get(name.encode())
    return values[0].decode("utf-8", "replace") if values else default


def parse_number(
    place: str, text: str, min_value: float, max_value: float
) -> Result[float, Refusal]:
    """Parse a number in a range; the refusal names its place and value."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not min_value <= value <= max_value:
        problem = f"{place}: {text!r} is no number from {min_value:g} to {max_value:g}"
        return Err(Refusal(Code.BAD_REQUEST, problem))
    return Ok(value)


def parse_whole_number(
    place: str, text: str, min_value: int, max_value: int
) -> Result[int, Refusal]:
    """Parse a whole number in a range; the refusal names its place and value."""
    if text.isdecimal() and min_value <= int(text) <= max_value:
        return Ok(int(text))
    problem = f"{place}: {text!r} is no whole number from {min_value} to {max_value}"
    return Err(Refusal(Code.BAD_REQUEST, problem))


def json_body(request: Request) -> Result[dict, Refusal]:
    """Parse the request body as a JSON object."""
    try:
        value = json.loads(request.content.read() or b"{}")
    except (ValueError, RecursionError) as error:
        return Err(Refusal(Code.BAD_REQUEST, f"body: not JSON: {error}"))
    if not isinstance(value, dict):
        return Err(Refusal(Code.BAD_REQUEST, "body: not a JSON object"))
    return Ok(value)


def json_reply(value: object, status: int = 200) -> Reply:
    """Return a reply with a data class or plain value as JSON."""
    return Reply(status, json.dumps(to_plain(value)).encode() + b"\n")


def refusal_reply(
    refusal: Refusal,
    run: RunOutcome = RunOutcome.NOT_RUN,
    headers: tuple[Header, ...] = (),
) -> Reply:
    """Return a refusal and the outcome of the run as a JSON error."""
    status = STATUS_BY_CODE[refusal.code]
    body = {
        "code": refusal.code,
        "outcome": run,
        "message": refusal.message,
        "faults": to_plain(refusal.faults),
    }
    if status in RETRY_STATUSES:
        headers = (*headers, Header("Retry-After", str(RETRY_AFTER_S)))
    return Reply(status, json.dumps(body).encode() + b"\n", headers=headers)

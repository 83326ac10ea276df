"""
mulberryledge_daemon.http.routing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routes from method and path to coroutine handlers that return replies.
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
    "number",
    "query_of",
    "refusal_reply",
    "whole_number",
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
    """
    An HTTP reply.

    Attributes
    ----------
    written : bool
        Whether the handler has written the reply itself, or cut it off.
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
    both are handed to the handler by name.
    """

    method: str
    pattern: str
    handler: Handler


@dataclass(frozen=True, slots=True)
class Pattern:
    """A route with its path pattern taken apart."""

    route: Route
    segments: tuple[str, ...]
    open_end: bool


class Router(Resource):
    """
    A resource that serves a table of routes.

    Attributes
    ----------
    stopping : callable
        Whether connections close after their present request.
    running : int
        Requests whose handlers have not ended.
    """

    isLeaf = True

    def __init__(
        self, routes: tuple[Route, ...], stopping: Callable[[], bool] = lambda: False
    ):
        super().__init__()
        self.stopping = stopping
        self.running = 0
        self.patterns: dict[tuple[str, str], list[Pattern]] = {}
        for route in routes:
            segments = tuple(route.pattern.split("/"))
            pattern = Pattern(route, segments, segments[-1].endswith("*}"))
            self.patterns.setdefault(prefix(segments), []).append(pattern)

    def render(self, request: Request):
        """Find the route and start its handler."""
        path = request.path.decode("ascii", "replace")
        method = request.method.decode("ascii", "replace")
        given = path.split("/")
        for pattern in self.patterns.get(prefix(given), ()):
            if pattern.route.method not in (method, "*"):
                continue
            fields = match(pattern, given)
            if fields is not None:
                self.start(request, pattern.route.handler, fields)
                return NOT_DONE_YET
        reply = refusal_reply(Refusal(Code.NOT_FOUND, f"no route {method} {path}"))
        return write(request, reply)

    def start(self, request: Request, handler: Handler, fields: dict[str, str]) -> None:
        """
        Run a handler and write its reply unless the client went away.

        A handler whose client went away runs on: it gives back what it holds
        and records what became of the request.
        """
        self.running += 1
        running = Deferred.fromCoroutine(handler(request, **fields))
        running.addCallback(self.finish, request)
        running.addErrback(self.fail, request)

    def finish(self, reply: Reply, request: Request) -> None:
        """Write a reply and finish the request."""
        self.running -= 1
        if reply.written or request._disconnected:
            return
        if self.stopping():
            request.setHeader("Connection", "close")
            request.channel.persistent = False
        request.write(write(request, reply))
        request.finish()

    def fail(self, failure, request: Request) -> None:
        """Log a failed handler; what became of its request is not known."""
        logger.error("handler failed", extra={"failure": failure.getTraceback()})
        refusal = Refusal(Code.UNAVAILABLE, "internal error: see the daemon's log")
        reply = refusal_reply(refusal, RunOutcome.UNKNOWN)
        self.finish(Reply(500, reply.body), request)


def prefix(segments: tuple[str, ...] | list[str]) -> tuple[str, str]:
    """Return the first two segments of a path, which every pattern has fixed."""
    return segments[1], segments[2] if len(segments) > 2 else ""


def match(pattern: Pattern, given: list[str]) -> dict[str, str] | None:
    """Return the fields of a path that matches the pattern, or None."""
    count = len(pattern.segments)
    if len(given) < count or (len(given) > count and not pattern.open_end):
        return None
    fields = {}
    for position, segment in enumerate(pattern.segments):
        if segment.endswith("*}"):
            fields[segment[1:-2]] = "/" + "/".join(given[position:])
        elif segment.startswith("{"):
            fields[segment[1:-1]] = unquote(given[position])
        elif segment != given[position]:
            return None
    return fields


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


def number(place: str, text: str, least: float, most: float) -> Result[float, Refusal]:
    """Parse a number from a header, query or path, or name its place and value."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not least <= value <= most:
        problem = f"{place}: {text!r} is no number from {least:g} to {most:g}"
        return Err(Refusal(Code.BAD_REQUEST, problem))
    return Ok(value)


def whole_number(place: str, text: str, least: int, most: int) -> Result[int, Refusal]:
    """Parse a whole number, or name its place and value."""
    if text.isdecimal() and least <= int(text) <= most:
        return Ok(int(text))
    problem = f"{place}: {text!r} is no whole number from {least} to {most}"
    return Err(Refusal(Code.BAD_REQUEST, problem))


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

"""
mulberryledge_daemon.http.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP routes for liveness, readiness and metrics.
"""

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST
from twisted.web.http import Request

from mulberryledge_daemon.http.routing import Reply, Route

__all__ = ["health_routes"]


def health_routes(
    ready: Callable[[], bool], metrics_text: Callable[[], bytes]
) -> tuple[Route, ...]:
    """Return the routes for load balancers and monitoring."""

    async def livez(request: Request) -> Reply:
        return Reply(200, b"alive\n", "text/plain")

    async def readyz(request: Request) -> Reply:
        if ready():
            return Reply(200, b"ready\n", "text/plain")
        return Reply(503, b"not ready\n", "text/plain")

    async def metrics(request: Request) -> Reply:
        return Reply(200, metrics_text(), CONTENT_TYPE_LATEST)

    return (
        Route("GET", "/livez", livez),
        Route("GET", "/readyz", readyz),
        Route("GET", "/metrics", metrics),
    )

"""An HTTP service in this process, and callers that connect to it."""

import socket

from mulberryledge_platform.http_server import WebReply

__all__ = ["REQUEST", "WAIT_S", "answer", "connect"]

REQUEST = b"GET /x HTTP/1.1\r\nHost: example\r\n\r\n"
WAIT_S = 5.0


async def answer(request):
    """Answer each request alike."""
    return WebReply(200, {"state": "running"})


def connect(context):
    """Return a new connection to the service at ``context.address``."""
    caller = socket.create_connection(context.address, WAIT_S)
    context.scenario_stack.callback(caller.close)
    return caller

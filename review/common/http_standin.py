"""Minimal HTTP/1.1 client and server of the review's stand-ins, without libraries."""

import asyncio
import json

__all__ = ["Reply", "body_of", "fetch", "serve"]

MAX_REDIRECTS = 2  # callers of `control` follow a 307 twice


class Reply:
    """An answer, or the lack of one (status 0)."""

    def __init__(self, status, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error

    def json(self):
        """Return the decoded body, None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


def body_of(value):
    """Encode a value as JSON; bytes stay as they are, None is an empty body."""
    if value is None:
        return b""
    return value if isinstance(value, bytes) else json.dumps(value).encode()


async def read_message(reader):
    """Read one message; return its first line, headers and body, None at the end."""
    first = await reader.readline()
    if not first.strip():
        return None
    headers = {}
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return first.decode("latin-1").strip(), headers, body


async def fetch_once(method, address, path, value, headers, timeout_s):
    """Send one request on a channel of its own."""

    async def exchange():
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            body = body_of(value)
            lines = [f"{method} {path} HTTP/1.1"]
            if "Host" not in headers:
                lines.append(f"Host: {address}")
            lines += [f"{name}: {text}" for name, text in headers.items()]
            lines += ["Connection: close", f"Content-Length: {len(body)}"]
            if body:
                lines.append("Content-Type: application/json")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            found = await read_message(reader)
            if found is None:
                return Reply(0, error="closed")
            first, answer_headers, answer = found
            return Reply(int(first.split()[1]), answer_headers, answer)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Reply(0, error=type(error).__name__)


async def fetch(
    method, address, path, value=None, headers=None, timeout_s=1.0, redirects=0
):
    """Send a request, and follow up to ``redirects`` answers 307."""
    reply = await fetch_once(method, address, path, value, headers or {}, timeout_s)
    while reply.status == 307 and redirects:
        redirects -= 1
        target, _, path = reply.headers["location"][len("http://") :].partition("/")
        reply = await fetch_once(
            method, target, "/" + path, value, headers or {}, timeout_s
        )
    return reply


async def serve(ip, port, handler):
    """
    Serve requests at an address.

    Parameters
    ----------
    handler : coroutine function
        Takes method, path, headers and body; returns status and value, or None to
        leave the request without an answer.
    """

    async def on_channel(reader, writer):
        try:
            while (found := await read_message(reader)) is not None:
                first, headers, body = found
                method, path, _ = first.split()
                answer = await handler(method, path, headers, body)
                if answer is None:
                    break
                status, value = answer
                data = body_of(value)
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_channel, ip, port, backlog=1024)

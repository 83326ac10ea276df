"""
mulberryledge_testing.bench.path.load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A light load generator: keep-alive clients on asyncio and httptools.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from httptools import HttpResponseParser

__all__ = ["Load", "closed_loop", "open_loop", "percentile"]

CONNECT_TRIES = 50


@dataclass(slots=True)
class Load:
    """
    What a run gave.

    Attributes
    ----------
    seconds : float
        Length of the run.
    latencies_s : list of float
        Time to each whole answer with status 200, in seconds.
    statuses : Counter
        Answers by status.
    """

    seconds: float = 0.0
    latencies_s: list[float] = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)

    @property
    def good_per_s(self) -> float:
        """Good answers a second."""
        return len(self.latencies_s) / self.seconds


class Client(asyncio.Protocol):
    """One keep-alive connection."""

    def __init__(self, request: bytes):
        self.request = request
        self.answered: asyncio.Future | None = None
        self.transport = None
        self.parser = HttpResponseParser(self)

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Report the status of a whole answer."""
        status = self.parser.get_status_code()
        self.parser = HttpResponseParser(self)
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(status)

    def connection_lost(self, error) -> None:
        """Report a lost connection as status zero."""
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(0)

    async def send(self) -> int:
        """Send the request; return the status of the answer."""
        self.answered = asyncio.get_running_loop().create_future()
        self.transport.write(self.request)
        return await self.answered


async def connect(port: int, request: bytes) -> Client:
    """Open one connection."""
    loop = asyncio.get_running_loop()
    _, client = await loop.create_connection(lambda: Client(request), "127.0.0.1", port)
    return client


def closed_loop(
    port: int,
    request: bytes,
    clients: int,
    seconds: float,
    pause_s: Callable[[], float] | None = None,
) -> Load:
    """
    Send from each client again as soon as the answer is there.

    Parameters
    ----------
    pause_s : callable or None
        Time to wait before each next request of a client, in seconds.
    """
    return asyncio.run(run_closed(port, request, clients, seconds, pause_s))


async def run_closed(port, request, clients, seconds, pause_s) -> Load:
    """Run the clients of a closed loop."""
    load = Load()
    opened = [await connect(port, request) for _ in range(clients)]
    started = time.perf_counter()
    end = started + seconds

    async def repeat(client: Client) -> None:
        while time.perf_counter() < end:
            if pause_s is not None:
                await asyncio.sleep(pause_s())
            await timed(client, load)

    await asyncio.gather(*(repeat(client) for client in opened))
    load.seconds = time.perf_counter() - started
    return load


async def timed(client: Client, load: Load) -> None:
    """Send one request and take note of the answer."""
    begun = time.perf_counter()
    status = await client.send()
    load.statuses[status] += 1
    if status == 200:
        load.latencies_s.append(time.perf_counter() - begun)


def open_loop(port: int, request: bytes, rate: float, seconds: float) -> Load:
    """Send at a fixed rate, whatever the answers take."""
    return asyncio.run(run_open(port, request, rate, seconds))


async def run_open(port: int, request: bytes, rate: float, seconds: float) -> Load:
    """Send each request on an idle connection, or on a new one."""
    load = Load()
    idle: list[Client] = []
    running: set[asyncio.Task] = set()

    async def one() -> None:
        client = idle.pop() if idle else await connect(port, request)
        await timed(client, load)
        if not client.transport.is_closing():
            idle.append(client)

    started = time.perf_counter()
    for number in range(int(rate * seconds)):
        wait_s = started + number / rate - time.perf_counter()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        task = asyncio.create_task(one())
        running.add(task)
        task.add_done_callback(running.discard)
    load.seconds = time.perf_counter() - started
    await asyncio.gather(*running)
    return load


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

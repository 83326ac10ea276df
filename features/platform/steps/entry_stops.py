"""Steps on an entry that stops in this process, and its callers."""

import logging
import socket
import threading
import time
import tomllib

from behave import given, then, when
from mulberryledge_testing.ports import free_ports
from mulberryledge_testing.reactor_thread import run_coroutine
from twisted.internet import reactor
from twisted.internet.error import ConnectionLost
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from mulberryledge_core.consensus.members import Configuration
from mulberryledge_daemon.peers.messages import MemberDirectory
from mulberryledge_platform import http_server
from mulberryledge_platform.entry import Entry
from mulberryledge_platform.http_server import WebReply
from mulberryledge_platform.settings import decode_settings
from mulberryledge_platform_testing.programs import SETTINGS

IP = "127.0.0.1"
LEADER = "127.0.0.2"
GRACE_S = 6.0
CALLER_WAIT_S = 8.0
LOSS_SLACK_S = 0.2  # the platform's loss_slack_ms
BIG_BODY = b"x" * 16_000_000  # more than the buffers of both sockets hold
SMALL_BUFFER_BYTES = 4_096
READ_BYTES = 65_536
JOB = b'{"task_spec":"","steps":[{"count":1,"cpu":1000,"estimated_ms":100}]}'
HEAD = (
    b"POST /plans/%016x HTTP/1.1\r\nHost: example\r\nX-Deadline-Ms: 3000\r\n"
    b"Content-Length: %d\r\n\r\n"
)
REQUEST = HEAD % (1, len(JOB)) + JOB


class Caller:
    """
    One connection to the entry, which sends parts at given times.

    Attributes
    ----------
    received : bytes
        All that came until the connection's end.
    lost : bool
        Whether the connection ended without an answer, later than the slack after its
        request had been sent.
    """

    def __init__(self, address, parts, read_after_s=0.0, answers=1):
        self.address = address
        self.parts = parts
        self.read_after_s = read_after_s
        self.answers = answers
        self.received = b""
        self.lost = False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        started_s = time.monotonic()
        with socket.socket() as connection:
            if self.read_after_s:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
                )
            connection.settimeout(CALLER_WAIT_S)
            try:
                connection.connect(self.address)
                for after_s, part in self.parts:
                    time.sleep(max(0.0, started_s + after_s - time.monotonic()))
                    connection.sendall(part)
            except OSError:
                return  # refused, or closed before the request had been sent
            sent_s = time.monotonic()
            self.read(connection, started_s)
            ended_s = time.monotonic()
        answered = self.received.count(b"HTTP/1.1 ") == self.answers
        self.lost = not answered and ended_s - sent_s > LOSS_SLACK_S

    def read(self, connection, started_s):
        """Read to the end of the connection."""
        time.sleep(max(0.0, started_s + self.read_after_s - time.monotonic()))
        parts = []
        try:
            while data := connection.recv(READ_BYTES):
                parts.append(data)
        except OSError:
            pass  # what came before counts
        self.received = b"".join(parts)


@given("an entry that {answers}")
def running_entry(context, answers):
    callers, readiness = free_ports(2)
    listen = f'front = "{IP}:{callers}"\nreadiness = "{IP}:{readiness}"'
    text = SETTINGS.format(
        name="entry-1",
        role="entry",
        ip=IP,
        peers=1,
        peers_end=2,
        seeds="",
        first="false",
        folder="",
        listen=listen,
        status_s=120,
    )
    context.address = (IP, callers)
    context.callers = []
    context.cut_off = record_cut_offs(context)

    async def answer_big(request):
        return WebReply(200, BIG_BODY)

    async def answer_slowly(request):
        await deferLater(reactor, 0.4)
        return WebReply(200, b"")

    async def start():
        entry = Entry(reactor, decode_settings(tomllib.loads(text)))
        if answers == "gives large replies":
            entry.callers_server.handler = answer_big
        elif answers == "takes 0.4 seconds to answer":
            entry.callers_server.handler = answer_slowly
        elif answers == "waits for a leader that is silent":
            entry.gateway.directory = MemberDirectory(1, LEADER, Configuration())
            entry.gateway.channel.send = lambda leader, message: True
        else:
            raise ValueError(answers)
        entry.start()
        return entry

    context.entry = run_coroutine(start)


def record_cut_offs(context):
    """Return the log records of requests that are cut off, as they come."""
    records = []

    class Recorder(logging.Handler):
        def emit(self, record):
            if record.getMessage() == "cut off":
                records.append(record)

    logger, recorder = logging.getLogger(http_server.__name__), Recorder()
    logger.addHandler(recorder)
    context.scenario_stack.callback(logger.removeHandler, recorder)
    return records


def stop(context):
    """Stop the entry as its program does, which closes all connections at the end."""

    async def stop_and_end():
        started_s = reactor.seconds()
        await context.entry.stop()
        context.stop_s = reactor.seconds() - started_s
        for channel in list(context.entry.callers_server.site.open):
            channel.transport.connectionLost(Failure(ConnectionLost()))
        await context.entry.readiness_server.port.stopListening()

    run_coroutine(stop_and_end)
    for caller in context.callers:
        caller.thread.join()


@when("it stops after a request of a caller that reads {seconds:g} seconds later")
def stop_with_slow_reader(context, seconds):
    context.callers.append(Caller(context.address, [(0, REQUEST)], seconds))
    stop(context)


@when("it stops while a caller sends a request from second {first:g} to {last:g}")
def stop_during_request(context, first, last):
    parts = [(first, REQUEST[:-10]), (last, REQUEST[-10:])]
    context.callers.append(Caller(context.address, parts))
    stop(context)


@when("it stops after a caller has sent two requests at once in second {second:g}")
def stop_with_pipelined_request(context, second):
    context.callers.append(
        Caller(context.address, [(second, REQUEST + REQUEST)], answers=2)
    )
    stop(context)


@when(
    "it stops while a caller connects in second {first:g} and sends its request in"
    " second {last:g}"
)
def stop_with_new_connection(context, first, last):
    def connect_later():
        context.callers.append(Caller(context.address, [(last - first, REQUEST)]))

    timer = threading.Timer(first, connect_later)
    timer.start()
    stop(context)
    timer.join()
    for caller in context.callers:
        caller.thread.join()


@when("it stops while callers send a request every {interval_ms:d} milliseconds")
def stop_under_load(context, interval_ms):
    ended = threading.Event()

    def send_requests():
        while not ended.wait(interval_ms / 1_000):
            context.callers.append(Caller(context.address, [(0, REQUEST)]))

    sender = threading.Thread(target=send_requests)
    sender.start()
    try:
        stop(context)
    finally:
        ended.set()
        sender.join()
    for caller in context.callers:
        caller.thread.join()


@when(
    "it stalls for {seconds:g} seconds from second {first:g} of its stop, with callers"
    " all the time"
)
def stop_with_stall(context, seconds, first):
    reactor.callFromThread(reactor.callLater, first, time.sleep, seconds)
    stop_under_load(context, 50)


@then("the caller gets the whole reply")
def whole_reply(context):
    (caller,) = context.callers
    head, _, body = caller.received.partition(b"\r\n\r\n")
    assert b" 200 " in head, caller.received[:200]
    assert len(body) == len(BIG_BODY), len(body)


@then("the caller gets {count:d} replies")
@then("the caller gets {count:d} reply")
def replies(context, count):
    (caller,) = context.callers
    found = caller.received.count(b"HTTP/1.1 200 ")
    assert found == count, caller.received[:400]


@then("no request that it has read ends without an answer")
def none_lost(context):
    lost = [caller.received[:100] for caller in context.callers if caller.lost]
    assert not lost, f"{len(lost)} of {len(context.callers)} requests: {lost[:3]}"
    assert any(caller.received for caller in context.callers)


@then("the stop is over before the grace period")
def within_grace(context):
    assert context.stop_s < GRACE_S - 0.5, context.stop_s


@then("the log names the request that was cut off, and how much of its reply was left")
def cut_off_logged(context):
    (record,) = context.cut_off
    assert record.path == f"/plans/{1:016x}", record.path
    assert 0 < record.unsent_bytes < len(BIG_BODY) + 1_000, record.unsent_bytes

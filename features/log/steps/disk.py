"""Steps on the files of a data folder."""

import errno
import logging
import tempfile
from contextlib import ExitStack, suppress
from pathlib import Path
from random import Random
from unittest.mock import patch

import cbor2
from behave import given, step, then, when
from result import Err
from twisted.internet.defer import Deferred, ensureDeferred, maybeDeferred
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from mulberryledge_core.commands.fleet import CreatePool
from mulberryledge_core.consensus import steps
from mulberryledge_core.consensus.entries import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
)
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_daemon.log import invariant_guard
from mulberryledge_daemon.log.disk import Disk
from mulberryledge_daemon.log.frames import LogRecord, encode_frame
from mulberryledge_daemon.log.replicated import ReplicatedLog
from mulberryledge_daemon.log.storage import StorageError, open_storage
from mulberryledge_daemon.peers.messages import Propose
from mulberryledge_daemon.settings import (
    DaemonSection,
    ListenSection,
    PeerSection,
    Settings,
)

STEP_S = 0.05
WAIT_STEPS = 300


class FaultyDisk(Disk):
    """A disk that fills up, or fails at its n-th operation."""

    def __init__(self):
        self.full = False
        self.left = None

    def append(self, descriptor, data):
        self.count()
        if self.full:
            super().append(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().append(descriptor, data)

    def sync_folder(self, folder):
        self.count()
        super().sync_folder(folder)

    def count(self):
        if self.left is not None:
            self.left -= 1
            if self.left <= 0:
                raise OSError(errno.EIO, "Input/output error")


class Lines(logging.Handler):
    """Keeps the messages of a logger."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


@given('a data folder of daemon "{name}"')
def step_folder(context, name):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    context.folder = Path(scratch.name) / "data"
    context.lines = Lines()
    logger = logging.getLogger("mulberryledge_daemon")
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)
    with open_storage(context.folder, name):
        pass


def entry(index):
    return Entry(index, 1, index * 10, data=b"x" * 50)


@given("{count:d} records are written")
def step_write(context, count):
    with open_storage(context.folder, "v1") as storage:
        for index in range(1, count + 1):
            storage.write(LogRecord(HardState(1, "v1"), (entry(index),)))


@given("{count:d} records are written, each with the one before committed")
def step_write_committed(context, count):
    with open_storage(context.folder, "v1") as storage:
        for index in range(1, count + 1):
            one = Entry(index, 1, index * 10, EntryKind.NOOP)
            storage.write(LogRecord(HardState(1, "v1"), (one,), commit=index - 1))


@when("a daemon begins with the folder, and reaches no other")
def step_begin_alone(context):
    step_open(context)
    peers = (PeerSection("v2", "127.0.0.1", 1, voter=True),)
    settings = Settings(
        DaemonSection("v1", data_folder="data"),
        ListenSection(peers_port=0),
        peers=peers,
    )
    reactor = MemoryReactorClock()
    context.log = ReplicatedLog(
        reactor, settings, context.storage, Random(1), maybeDeferred
    )
    started = ensureDeferred(context.log.start())
    assert started.called, "it starts without waiting"


@then("it has applied {count:d} entries")
def step_applied(context, count):
    found = context.log.state.applied_index
    assert found == count, found


@given("a snapshot is written")
def step_snapshot(context):
    with open_storage(context.folder, "v1") as storage:
        snapshot = Snapshot(2, 1, 20, data=b"state")
        storage.write_snapshot(snapshot, LogRecord(HardState(1, "v1"), (entry(3),)))


@when("the last {count:d} bytes of the log are {fault}")
def step_tear(context, count, fault):
    path = context.folder / "log"
    data = path.read_bytes()
    tail = bytes(count) if fault == "zeroed" else b""
    path.write_bytes(data[:-count] + tail)


@when("a byte of the second record changes")
def step_damage(context):
    first = len(encode_frame(LogRecord(HardState(1, "v1"), (entry(1),))))
    flip(context.folder / "log", first + 40)


@when("a byte of the snapshot changes")
def step_damage_snapshot(context):
    flip(context.folder / "snapshot", 20)


def flip(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


@when("the folder is opened again")
def step_open(context):
    manager = open_storage(context.folder, "v1")
    context.storage = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)


@then("{count:d} records are found")
def step_found(context, count):
    assert [one.index for one in context.storage.entries] == [1, 2][:count]
    assert context.storage.hard_state == HardState(1, "v1")


@then('the log says "{message}"')
def step_said(context, message):
    assert message in context.lines.messages, context.lines.messages


@then("1 more record can be written and read back")
def step_write_more(context):
    context.storage.write(LogRecord(HardState(2), (entry(3),)))
    fresh = type(context.storage)(context.folder, Disk(), context.storage.identity)
    fresh.load()
    assert [one.index for one in fresh.entries] == [1, 2, 3]
    fresh.close()


@then('the storage is damaged at "{file}"')
def step_damaged(context, file):
    assert f"/{file}: " in context.storage.damage, context.storage.damage
    assert "data folder is damaged: not voting" in context.lines.messages


@then("a daemon with the folder does not vote and says so")
def step_not_voting(context):
    peers = (PeerSection("v2", "127.0.0.1", 1, voter=True),)
    settings = Settings(DaemonSection("v1", data_folder="data"), peers=peers)
    log = ReplicatedLog(Clock(), settings, context.storage, Random(1), maybeDeferred)
    assert not log.node.is_voter() and log.node.folder == ""
    assert "is damaged" in log.status().disk


@when("the disk fails at operation {operation:d} of writing a snapshot")
def step_fail_snapshot(context, operation):
    disk = FaultyDisk()
    with open_storage(context.folder, "v1", disk) as storage:
        disk.left = operation
        snapshot = Snapshot(2, 1, 20, data=b"state")
        try:
            storage.write_snapshot(snapshot, LogRecord(HardState(1), (entry(3),)))
            raise AssertionError("the disk did not fail")
        except OSError as error:
            assert error.errno == errno.EIO


@when("the disk fails at operation {operation:d} of writing a leader's snapshot at 3")
def step_fail_leader_snapshot(context, operation):
    disk = FaultyDisk()
    with open_storage(context.folder, "v1", disk) as storage:
        disk.left = operation
        snapshot = Snapshot(3, 2, 30, data=b"state")
        try:
            storage.write_snapshot(snapshot, LogRecord(HardState(2)))
            raise AssertionError("the disk did not fail")
        except OSError as error:
            assert error.errno == errno.EIO


@then("a daemon begins at entry {index:d}, without the replaced ones")
def step_begins_at(context, index):
    log = EntryLog(context.storage.snapshot, context.storage.entries)
    assert (log.last_index, log.last_term) == (index, 2), log.entries


@then("entries {first:d} to {last:d} are covered")
def step_covered(context, first, last):
    storage = context.storage
    assert not storage.damage
    held = [one.index for one in storage.entries]
    assert held == list(range(storage.snapshot.index + 1, last + 1)), held


@when('it is opened as the folder of daemon "{name}"')
def step_foreign(context, name):
    context.fault = fault_of(context.folder, name)


@when("it is opened twice")
def step_twice(context):
    with open_storage(context.folder, "v1"):
        context.fault = fault_of(context.folder, "v1")


def fault_of(folder, name):
    try:
        with open_storage(folder, name):
            return ""
    except StorageError as fault:
        return str(fault)


@when("the identity file is removed")
def step_no_identity(context):
    (context.folder / "identity.json").unlink()


@then('it is refused with "{text}"')
def step_refused(context, text):
    assert text in context.fault, context.fault


class Alone:
    """One daemon without peers on a clock that the steps advance."""

    def __init__(self, folder, disk):
        self.stack = ExitStack()
        self.clock = Clock()
        storage = self.stack.enter_context(open_storage(folder, "v1", disk))
        settings = Settings(DaemonSection("v1", data_folder=str(folder)))
        self.log = ReplicatedLog(
            self.clock, settings, storage, Random(1), maybeDeferred
        )
        self.result_of(self.log.start())
        self.advance(1.0)

    def advance(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def result_of(self, coroutine):
        results = []
        Deferred.fromCoroutine(coroutine).addCallback(results.append)
        for _ in range(WAIT_STEPS):
            if not results:
                self.clock.advance(STEP_S)
        return results[0]

    def close(self):
        self.result_of(self.log.stop())
        self.stack.close()


@given('a daemon alone with pool "{pool}" and a disk that fills up')
def step_alone(context, pool):
    context.disk = FaultyDisk()
    context.alone = Alone(context.folder, context.disk)
    assert context.alone.result_of(context.alone.log.propose(CreatePool(pool))).is_ok()
    context.disk.full = True
    context.alone.result_of(context.alone.log.propose(CreatePool("unknown")))


@when('pool "{pool}" is proposed')
def step_propose(context, pool):
    outcome = context.alone.log.propose(CreatePool(pool))
    context.outcome = context.alone.result_of(outcome)


@then('it is refused as "{code}"')
def step_code(context, code):
    assert isinstance(context.outcome, Err), context.outcome
    assert context.outcome.err_value.code == code, context.outcome


@when("a pool with a name of {count:d} characters is proposed")
def step_propose_large(context, count):
    step_propose(context, "x" * count)


@when("a daemon of a later release proposes a command that is not known yet")
def step_future(context):
    data = cbor2.dumps(["FromTheFuture", {}])
    context.sent = []
    log = context.alone.log
    log.network.send = lambda to, message: context.sent.append(message)
    log.on_message("v9", Propose("session", 1, 1, False, data))


@then('the proposer is told "{text}"')
def step_told(context, text):
    assert text in context.sent[0].refusal.message, context.sent


class Ended(BaseException):
    """Stands for the end of the process."""


@when("an invariant is broken while time passes")
def step_break(context):
    context.codes = []

    def end(code):
        context.codes.append(code)
        raise Ended

    log = context.alone.log
    log.node.applied += 1
    log.node.storage_ok = True
    with (
        patch.object(invariant_guard.os, "_exit", end),
        patch.object(steps, "tick", lambda node, now: node.advance_commit(99)),
        suppress(Ended),
    ):
        log.node.log.append(Entry(log.node.log.last_index + 1, log.node.term, 1 << 50))
        log.tick()


@when("a write raises what is no error of the disk")
def step_break_write(context):
    context.codes = []
    log = context.alone.log
    raising = patch.object(context.disk, "append", side_effect=ValueError("broken"))
    with patch.object(invariant_guard.os, "_exit", context.codes.append), raising:
        ensureDeferred(log.propose(CreatePool("after")))
        context.alone.advance(0.5)


@then('the process ends with code {code:d} and the log says "{message}"')
def step_ended(context, code, message):
    assert context.codes == [code], context.codes
    assert message in context.lines.messages, context.lines.messages


@then('pool "{pool}" can be read and the daemon is fresh')
def step_read(context, pool):
    assert pool in context.alone.log.state.pools
    assert context.alone.log.is_fresh()
    assert context.alone.log.status().disk == "full"


@step("the disk has room again")
def step_room(context):
    context.disk.full = False
    context.alone.advance(3.0)


@then("it is accepted")
def step_accepted(context):
    assert context.outcome.is_ok(), context.outcome


@when("the daemon starts again")
def step_restart(context):
    context.alone.close()
    context.alone = Alone(context.folder, Disk())
    context.add_cleanup(context.alone.close)


@then('it has the pools "{one}" and "{other}" only')
def step_pools(context, one, other):
    found = set(context.alone.log.state.pools) - {"unknown"}
    assert found == {one, other}, found

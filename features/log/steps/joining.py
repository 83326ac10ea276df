"""Whom a daemon dials, without a socket."""

from random import Random

from behave import given, then, when

from mulberryledge_core.consensus.entries import Snapshot
from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_core.consensus.memory import EntryLog
from mulberryledge_core.consensus.node import Node
from mulberryledge_daemon.log.joining import Joining
from mulberryledge_daemon.settings import DaemonSection, PeerSection, Settings

ADDRESS, PORT = "10.0.0.1", 7_000


class DialledPeers:
    """A network that only remembers whom it was told to dial."""

    def __init__(self, name):
        self.name = name
        self.names = set()

    def listen(self, address, port):
        pass

    def set_peers(self, peers):
        self.names = {peer.name for peer in peers} - {self.name}


@given('daemon "{name}" of a cluster of "{names}"')
def step_daemon(context, name, names):
    members = [Member(one, ADDRESS, PORT, folder=one) for one in names.split()]
    peers = [PeerSection(one.name, ADDRESS, PORT) for one in members]
    settings = Settings(
        DaemonSection(name), peers=tuple(one for one in peers if one.name != name)
    )
    log = EntryLog(Snapshot(members=Configuration(tuple(members))))
    context.now_ms = 10_000
    context.node = Node(name, name, log, Random(1).random, context.now_ms)
    context.network = DialledPeers(name)
    context.joining = Joining(
        settings, "session", context.node, None, lambda: context.now_ms
    )


@when("it begins")
def step_begin(context):
    context.joining.start(context.network)


@when("{seconds:g} seconds pass under a leader")
def step_led(context, seconds):
    context.now_ms += int(seconds * 1_000)
    context.node.contact_ms = context.now_ms
    context.joining.notice_loneliness()


@when("{seconds:g} seconds pass without a leader")
def step_leaderless(context, seconds):
    context.now_ms += int(seconds * 1_000)
    context.joining.notice_loneliness()


@then('it dials "{names}"')
def step_dials(context, names):
    assert context.network.names == set(names.split()), context.network.names

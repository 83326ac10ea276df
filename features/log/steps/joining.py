"""Whom a daemon dials, without a socket."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from mulberryledge_testing.virtual_network import VirtualNetwork
from twisted.internet.task import Clock
from twisted.internet.testing import (
    MemoryReactorClock,
    StringTransportWithDisconnection,
)

from mulberryledge_core.consensus.entries import Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_core.consensus.node import Node, Role
from mulberryledge_daemon.batch.gateway import Gateway
from mulberryledge_daemon.log import cluster_joiner
from mulberryledge_daemon.log.cluster_joiner import ClusterJoiner
from mulberryledge_daemon.log.options import LogOptions
from mulberryledge_daemon.log.replicated import ReplicatedLog
from mulberryledge_daemon.peers.link import LinkTiming
from mulberryledge_daemon.peers.messages import Hello, MemberDirectory
from mulberryledge_daemon.peers.network import Network, NetworkHandlers, PeerAddress
from mulberryledge_daemon.settings import DaemonSection, PeerSection, Settings
from mulberryledge_platform.core import Core
from mulberryledge_platform.http_server import WebRequest
from mulberryledge_platform.settings import Address

CONTROL_PORT = 8_000
ADDRESS, PORT = "10.0.0.1", 7_000
TIMING = LinkTiming(ping_after_s=0.5, silence_timeout_s=1.5, check_interval_s=0.25)


class DialledPeers:
    """A network that only remembers whom it was told to dial."""

    def __init__(self, name):
        self.name = name
        self.names = set()
        self.addresses = {}
        self.links = {}

    def listen(self, address, port):
        pass

    def send(self, to, message):
        return False

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
    context.joining = ClusterJoiner(
        settings, "session", context.node, None, lambda: context.now_ms
    )


@given('daemon "{name}" that knows "{names}" as members and "{former}" as removed')
def step_removed(context, name, names, former):
    step_daemon(context, name, names)
    members = context.node.log.members.members
    configuration = Configuration(members, former=(former,))
    context.node.log = EntryLog(Snapshot(members=configuration))


@given('daemon "{name}" that is no member and was told of the founders "{names}"')
def step_newcomer(context, name, names):
    step_daemon(context, name, names)
    step_begin(context)


@when('"{sender}" tells it of "{names}" under leader "{leader}"')
def step_told(context, sender, names, leader):
    context.joining.on_directory(sender, directory(names, leader))


def directory(names, leader):
    """Return the directory of a cluster in its second term."""
    members = tuple(Member(one, ADDRESS, PORT, folder=one) for one in names.split())
    return MemberDirectory(2, leader, Configuration(members))


@when('"{sender}" tells it of "{names}" under leader "{leader}" as of entry {index:d}')
def step_told_as_of(context, sender, names, leader, index):
    message = replace(directory(names, leader), index=index)
    context.joining.on_directory(sender, message)


@given("an entry")
def step_entry(context):
    wires = VirtualNetwork(Clock())
    context.entry = Gateway(wires.add_host(ADDRESS), "e1", (), TIMING, Random(1))


@when(
    '"{sender}" tells the entry of "{names}" under leader "{leader}"'
    " as of entry {index:d}"
)
def step_tells_entry(context, sender, names, leader, index):
    message = replace(directory(names, leader), index=index)
    context.entry.on_message(sender, message)


@when(
    '"{sender}" tells the entry of "{names}" and the standby "{standby}"'
    ' under leader "{leader}"'
)
def step_tells_standby(context, sender, names, standby, leader):
    message = directory(names, leader)
    members = (*message.members.members, Member(standby, ADDRESS, PORT))
    context.entry.on_message(sender, replace(message, members=Configuration(members)))


@then('the entry dials "{names}"')
def step_entry_dials(context, names):
    dialled = set(context.entry.network.addresses)
    assert dialled == set(names.split()), dialled


@when('it followed "{leader}" in term {term:d}')
def step_followed(context, leader, term):
    context.node.become_follower(term, leader, context.now_ms)


@then('it names "{names}" under leader "{leader}"')
def step_names(context, names, leader):
    known = context.joining.known_directory()
    expected = directory(names, leader)
    assert (known.leader, known.members) == (leader, expected.members), known


@then('it logs that it is no member under leader "{leader}"')
def step_logs_no_member(context, leader):
    with patch.object(cluster_joiner.logger, "info") as info:
        context.joining.report_join()
    lines = [(one.args[0], one.kwargs["extra"]["leader"]) for one in info.mock_calls]
    assert lines == [("not a member yet", leader)], lines


@then("it redirects a target to the leader")
def step_redirects(context):
    core = Core.__new__(Core)
    core.log = SimpleNamespace(
        name=context.joining.name, node=context.node, cluster_joiner=context.joining
    )
    core.settings = SimpleNamespace(control=Address(ADDRESS, CONTROL_PORT))
    request = WebRequest("POST", "", "/Instances.Heartbeat/t1", b"")
    reply = core.redirect_to_leader(request)
    location = f"http://{ADDRESS}:{CONTROL_PORT}{request.path}"
    assert (reply.status, reply.headers) == (307, (("Location", location),)), reply


class RecordedNetwork:
    """A network with open links that only remembers what was sent."""

    def __init__(self):
        self.links = {}
        self.sent = []

    def set_peers(self, peers):
        pass

    def send(self, to, message):
        self.sent.append((to, message))
        return True


@given("a newcomer that knows no member")
def step_recorded_newcomer(context):
    make_log(context, "n8")


def make_log(context, name):
    """Make a log that records what it sends."""
    settings = Settings(DaemonSection(name))
    options = LogOptions(min_voters=3)
    context.log = ReplicatedLog(
        MemoryReactorClock(), settings, None, Random(1), None, options
    )
    context.log.network = context.log.cluster_joiner.network = RecordedNetwork()
    context.log.cluster_joiner.cluster = "cluster"


@when('"{sender}" tells the newcomer of "{names}" under leader "{leader}"')
def step_tells_newcomer(context, sender, names, leader):
    context.log.on_message(sender, directory(names, leader))


@given('a follower of "{leader}" in a cluster of "{names}"')
def step_follower(context, leader, names):
    make_log(context, names.split()[0])
    members = directory(names, leader).members
    context.log.node.log = EntryLog(Snapshot(members=members))
    context.log.node.become_follower(2, leader, context.log.now())
    context.log.check_changes()


@when('daemon "{name}" that is no member connects')
def step_connects(context, name):
    context.log.network.links[name] = None
    hello = Hello(name, "cluster", 1, f"disk-{name}", "session", ADDRESS, PORT)
    context.log.on_hello(name, replace(hello, reads_directories=True))


@when('daemon "{name}" of an earlier release connects')
def step_earlier_release(context, name):
    context.log.network.links[name] = None
    hello = Hello(name, "cluster", 1, f"disk-{name}", "session", ADDRESS, PORT)
    context.log.on_hello(name, hello)


@then('"{name}" was told {count:d} times')
def step_told_times(context, name, count):
    told = [message for to, message in context.log.network.sent if to == name]
    assert sum(isinstance(one, MemberDirectory) for one in told) == count, told


@then('"{name}" is told of no leader')
def step_told_nothing(context, name):
    told = [message for to, message in context.log.network.sent if to == name]
    assert not any(isinstance(one, MemberDirectory) for one in told), told


@when('"{leader}" is elected')
def step_elected(context, leader):
    context.log.node.become_follower(3, leader, context.log.now())
    context.log.check_changes()


@then('"{name}" is told of "{names}" under leader "{leader}"')
def step_is_told(context, name, names, leader):
    told = [message for to, message in context.log.network.sent if to == name]
    directories = [one for one in told if isinstance(one, MemberDirectory)]
    assert directories, told
    assert directories[-1].leader == leader, directories
    assert directories[-1].members == directory(names, leader).members


@when("{seconds:g} seconds pass while it leads")
def step_leads(context, seconds):
    context.now_ms += int(seconds * 1_000)
    context.node.role = Role.LEADER
    context.node.lease_until_ms = context.now_ms + 1_000
    context.joining.update_dials_all()


@when("it begins")
def step_begin(context):
    context.joining.start(context.network)


@when("{seconds:g} seconds pass under a leader")
def step_led(context, seconds):
    context.now_ms += int(seconds * 1_000)
    context.node.leader_contact_ms = context.now_ms
    context.joining.update_dials_all()


@when("{seconds:g} seconds pass without a leader")
def step_leaderless(context, seconds):
    context.now_ms += int(seconds * 1_000)
    context.joining.update_dials_all()


@then('it dials "{names}"')
def step_dials(context, names):
    assert context.network.names == set(names.split()), context.network.names


class QuietTransport(StringTransportWithDisconnection):
    """A connection on which nothing arrives."""

    def setTcpNoDelay(self, enabled):
        pass


@when("a connection to a peer opens, and the peer never says a word")
def step_silent_peer(context):
    context.reactor = MemoryReactorClock()
    hello = Hello("v3", "cluster", 1, "", "session", ADDRESS, PORT, "")
    handlers = NetworkHandlers(
        lambda: hello, lambda _: "", lambda *_: None, lambda _: None
    )
    network = Network(context.reactor, "v3", handlers, Random(1), timing=TIMING)
    network.start_link_checks()
    network.set_peers((PeerAddress("v4", ADDRESS, PORT),))
    factory = context.reactor.tcpClients[0][2]
    protocol = factory.buildProtocol(None)
    context.transport = QuietTransport()
    context.transport.protocol = protocol
    protocol.makeConnection(context.transport)


def pass_time(context, seconds, check):
    """Let time pass until a check holds; return whether it does."""
    for _ in range(int(seconds / TIMING.check_interval_s)):
        context.reactor.advance(TIMING.check_interval_s)
        if check():
            return True
    return False


@then("the connection is given up within {seconds:d} seconds")
def step_given_up(context, seconds):
    transport = context.transport
    assert pass_time(context, seconds, lambda: not transport.connected)


@then("the peer is dialled again within {seconds:d} seconds")
def step_dialled_again(context, seconds):
    clients = context.reactor.tcpClients
    assert pass_time(context, seconds, lambda: len(clients) > 1)


@when(
    "a peer refuses connections for {seconds:d} seconds"
    " while the peers change {count:d} times"
)
def step_refuses(context, seconds, count):
    context.wires = VirtualNetwork(Clock())
    handlers = NetworkHandlers(None, None, None, None)
    host = context.wires.add_host("10.0.0.3")
    context.wires.add_host(ADDRESS)
    network = Network(host, "v3", handlers, Random(1), timing=TIMING)
    for _ in range(count):
        network.set_peers((PeerAddress("v4", ADDRESS, PORT),))
        context.wires.advance(seconds / count)


@then("it is dialled at most {count:d} times in the {seconds:d} seconds after")
def step_dials_bounded(context, count, seconds):
    context.wires.dials.clear()
    context.wires.advance(seconds)
    assert 0 < len(context.wires.dials) <= count, len(context.wires.dials)

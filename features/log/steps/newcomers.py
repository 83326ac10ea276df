"""Core machines in virtual time that are replaced one after the other."""

import logging
from contextlib import contextmanager
from random import Random
from unittest.mock import patch

from behave import given, then, when
from mulberryledge_testing.virtual_network import VirtualNetwork
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from mulberryledge_core.consensus.leading import CATCH_UP_ENTRIES
from mulberryledge_daemon.batch.gateway import Gateway
from mulberryledge_daemon.log import replicated
from mulberryledge_daemon.log.address_bootstrap import AddressBootstrap
from mulberryledge_daemon.log.options import LogOptions
from mulberryledge_daemon.log.replicated import ReplicatedLog
from mulberryledge_daemon.peers.network import PeerAddress
from mulberryledge_daemon.settings import (
    DaemonSection,
    ListenSection,
    PeerSection,
    Settings,
)
from mulberryledge_platform.programs import (
    ENTRY_LINK_TIMING,
    LINK_TIMING,
    LOG_TICK_S,
    LOG_TIMING,
)

PORT = 7_000
START_S = 1_000.0
SETTLE_S = 3.0
CATCH_UP_S = 4.0  # bound on joining, also of the platform
LIST_DELAY_S = (2.0, 5.0)  # between a change of the machines and new settings
PAUSE_S = (0.5, 4.0)  # between a successor's time to join and the next loss
SEED_COUNT = 3
REMOVED_S = 32.0  # silence after which a learner is removed, and a margin


class VirtualLog(ReplicatedLog):
    """A log whose clock is the virtual one, with a disk in memory."""

    def now(self):
        return int(self.reactor.seconds() * 1_000)


class Machines:
    """
    Owns the core machines in virtual time.

    Attributes
    ----------
    logs : dict of str to VirtualLog
        The machines that are up, by address, oldest first.
    listed : list of (float, tuple of str)
        From when settings are written from which addresses.
    late : list of str
        Successors that had not joined in time, with the reason.
    """

    def __init__(self, count, seed):
        self.random = Random(seed)
        clock = Clock()
        clock.advance(START_S)
        self.network = VirtualNetwork(clock)
        self.logs = {}
        self.number = 0
        self.late = []
        self.failures = []
        names = tuple(self.next_name() for _ in range(count))
        self.listed = [(0.0, names)]
        for name in names:
            self.start(name, names[:SEED_COUNT], first_start=True)

    def next_name(self):
        """Return the address of a machine that was never up."""
        self.number += 1
        # Neither the order of names nor that of zones is that of their starts.
        return f"10.{self.random.randint(1, 4)}.0.{20 + self.number}"

    def start(self, name, seeds, first_start=False, disk=None):
        """Start a machine."""
        host = self.network.add_host(name)
        voters = tuple(PeerAddress(one, one, PORT) for one in seeds)
        bootstrap = AddressBootstrap(voters, first_start)
        settings = Settings(
            DaemonSection(name, availability_zone=name.split(".")[1]),
            ListenSection(name, peers_port=PORT),
            peers=peer_sections(name, seeds),
        )
        options = LogOptions(
            address_bootstrap=bootstrap,
            min_voters=5,
            link_timing=LINK_TIMING,
            timing=LOG_TIMING,
            tick_s=LOG_TICK_S,
        )
        random = Random(self.random.random())
        log = VirtualLog(host, settings, None, random, None, options)
        folder = bootstrap.initial_folder(name) or f"disk-{name}"
        log.node.folder = log.cluster_joiner.settings_bootstrap.folder = folder
        if disk is not None:
            log.node.log, log.node.hard_state = disk.node.log, disk.node.hard_state
            log.node.durable = disk.node.log.last_index
            log.node.advance_commit(disk.node.commit)
            log.cluster_joiner.cluster = disk.cluster_joiner.cluster
        self.logs[name] = log
        Deferred.fromCoroutine(log.start()).addErrback(self.failures.append)
        return log

    def lose(self, name):
        """Lose a machine for good; return its log."""
        self.network.lose(name)
        return self.logs.pop(name)

    def list_machines(self):
        """Write later settings from the machines of now."""
        delay_s = self.random.uniform(*LIST_DELAY_S)
        self.listed.append((self.network.clock.seconds() + delay_s, tuple(self.logs)))

    def give_seeds(self, name):
        """Give a machine the seeds of now."""
        sections = peer_sections(name, self.seeds())
        self.logs[name].cluster_joiner.set_peers(sections)

    def seeds(self):
        """Return the seeds of settings written now, none of which leads."""
        now_s = self.network.clock.seconds()
        names = [names for since_s, names in self.listed if since_s <= now_s][-1]
        leader = self.leader()
        others = [one for one in names if leader is None or one != leader.name]
        return tuple(self.random.sample(others, min(SEED_COUNT, len(others))))

    def reload(self):
        """Give the machines that are up the seeds of now."""
        for name in self.logs:
            self.give_seeds(name)

    def check_joins(self, *names):
        """Check that machines join in time, from now on."""
        self.network.advance(CATCH_UP_S)
        for name in names:
            problem = self.problem(name)
            if problem:
                self.late.append(f"{name}: {problem}")

    def leader(self):
        """Return the log that leads, None if none does."""
        leading = [log for log in self.logs.values() if log.is_leader()]
        return max(leading, key=lambda log: log.node.term, default=None)

    def replace(self, which, reloads):
        """Replace a machine, and check that its successor joins in time."""
        self.lose(self.choose(which))
        name = self.next_name()
        self.start(name, self.seeds())
        self.list_machines()
        self.check_joins(name)
        self.network.advance(self.random.uniform(*PAUSE_S))
        if reloads:
            self.reload()

    def choose(self, which):
        """Return the machine to lose."""
        if which == "the oldest":
            return next(iter(self.logs))
        if which == "the leader" and self.leader() is not None:
            return self.leader().name
        return self.random.choice(list(self.logs))

    def problem(self, name):
        """Return why a machine is neither a voter nor a standby, empty if it is."""
        leader = self.leader()
        if leader is None:
            return "nobody leads"
        if name == leader.name:
            return ""
        member = leader.node.log.members.find(name)
        if member is None:
            dialled = sorted(self.logs[name].network.addresses)
            return f"no member under {leader.name}, dials {dialled}"
        progress = leader.node.progress[name]
        behind = leader.node.commit - progress.match
        is_heard = progress.reported_ms is not None
        is_heard = is_heard and leader.now() - progress.reported_ms < 1_000
        if not is_heard or behind > CATCH_UP_ENTRIES:
            return f"not caught up under {leader.name}: {progress}"
        return ""


def peer_sections(name, seeds):
    """Return the seeds other than the machine itself as peer settings."""
    return tuple(PeerSection(one, one, PORT) for one in seeds if one != name)


@contextmanager
def failures_kept(machines):
    """Keep failures that would end the process of a daemon."""

    @contextmanager
    def keep():
        try:
            yield
        except Exception as error:
            machines.failures.append(error)
            raise

    logger = logging.getLogger("websockets")
    level = logger.level
    logger.setLevel(logging.WARNING)
    try:
        with patch.object(replicated, "exit_on_exception", keep):
            yield
    finally:
        logger.setLevel(level)


@given("{count:d} core machines and seed {seed:d}")
def step_machines(context, count, seed):
    context.machines = Machines(count, seed)
    manager = failures_kept(context.machines)
    manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.machines.network.advance(SETTLE_S)
    assert context.machines.leader() is not None


@when(
    "{count:d} machines are replaced one by one, always {which}, with seeds {turnover}"
)
def step_replace(context, count, which, turnover):
    for _ in range(count):
        context.machines.replace(which, reloads=turnover == "that lag")


@then("each successor was a voter or a standby within 4 seconds of its start")
def step_joined(context):
    assert not context.machines.late, context.machines.late


@then("nothing failed")
def step_nothing_failed(context):
    assert not context.machines.failures, context.machines.failures


@when("two newcomers start, of which one knows the other, and both lost machines")
def step_two_newcomers(context):
    machines = context.machines
    lost = [one for one in machines.network.hosts if one not in machines.logs]
    context.newcomers = machines.next_name(), machines.next_name()
    first, second = context.newcomers
    machines.start(first, (second, *lost[:2]))
    machines.start(second, lost[:SEED_COUNT])


@when("{seconds:d} seconds later the other one gets seeds that don't lead")
def step_late_seeds(context, seconds):
    context.machines.network.advance(seconds)
    context.machines.give_seeds(context.newcomers[1])
    context.machines.check_joins(*context.newcomers)


@when("a member is {lost}")
def step_lose_member(context, lost):
    machines = context.machines
    leader = machines.leader().name
    name = next(one for one in machines.logs if one != leader)
    if lost == "cut off":
        machines.network.cut_off.add(name)
        context.lost = machines.logs.pop(name)
    else:
        context.lost = machines.lose(name)


@when("the member is removed")
def step_removed(context):
    machines = context.machines
    machines.network.advance(REMOVED_S)
    assert machines.leader().node.log.members.find(context.lost.name) is None


@when("the member returns {how}")
def step_return_member(context, how):
    machines, name = context.machines, context.lost.name
    if how == "before it gets seeds":
        machines.network.cut_off.discard(name)
        machines.logs[name] = context.lost
        machines.network.advance(LIST_DELAY_S[0])
        machines.give_seeds(name)
    else:
        disk = context.lost if how == "with its old disk" else None
        machines.start(name, machines.seeds(), disk=disk)
    machines.check_joins(name)


@when("an entry is cut off")
def step_entry(context):
    machines = context.machines
    name = "10.9.0.1"
    seeds = tuple(PeerAddress(one, one, PORT) for one in machines.seeds())
    host = machines.network.add_host(name)
    random = Random(machines.random.random())
    context.entry = Gateway(host, name, seeds, ENTRY_LINK_TIMING, random)
    context.entry.start()
    machines.network.advance(1.0)
    assert context.entry.reaches_leader()
    machines.network.cut_off.add(name)


@when("the entry returns, and gets seeds that don't lead {seconds:d} seconds later")
def step_entry_returns(context, seconds):
    machines = context.machines
    machines.network.cut_off.discard(context.entry.name)
    machines.network.advance(seconds)
    seeds = tuple(PeerAddress(one, one, PORT) for one in machines.seeds())
    context.entry.set_seeds(seeds)


@then("it reaches the leader within {seconds:d} seconds")
def step_reaches(context, seconds):
    context.machines.network.advance(seconds)
    assert context.entry.directory.leader == context.machines.leader().name
    assert context.entry.reaches_leader()

"""
mulberryledge_daemon.log.cluster_joiner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a daemon joins its cluster: handshakes, bootstrap, and the peers it dials.
"""

import logging
from collections.abc import Callable
from dataclasses import replace
from uuid import uuid4

from mulberryledge_core.consensus import steps
from mulberryledge_core.consensus.entries import Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.leases import is_fresh
from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_core.consensus.messages import NotMember
from mulberryledge_core.consensus.node import Node, Role
from mulberryledge_daemon.log.address_bootstrap import (
    BOOTSTRAP_FOLDER,
    AddressBootstrap,
)
from mulberryledge_daemon.log.settings_bootstrap import SettingsBootstrap
from mulberryledge_daemon.log.storage import Storage
from mulberryledge_daemon.peers.messages import Form, Hello, MemberDirectory
from mulberryledge_daemon.peers.network import Network, PeerAddress
from mulberryledge_daemon.settings import PeerSection, Settings

__all__ = ["ClusterJoiner"]

DIAL_ALL_MS = 3_000  # longest redial delay of a peer
JOIN_REPORT_MIN_MS = 1_000
JOIN_REPORT_MAX_MS = 60_000
MEMORY_FOLDER = "memory"

logger = logging.getLogger(__name__)


class ClusterJoiner:
    """
    Owns the identity of this daemon's cluster and the choice of peers to dial.

    Attributes
    ----------
    cluster : str
        Identity of the cluster; empty as long as the daemon belongs to none.
    dials_all : bool
        Whether every peer is dialled, including those that dial this daemon: after
        the start, without contact with a leader, and while leading.
    directories : dict of str to MemberDirectory
        What each peer has told this daemon, as long as it does not follow a leader
        as a member.
    join_report_ms : int
        When it is checked next whether to log that this daemon is no member.
    join_report_interval_ms : int
        Doubles with each of these lines, until this daemon is a member.
    """

    def __init__(
        self,
        settings: Settings,
        session: str,
        node: Node,
        storage: Storage | None,
        now: Callable[[], int],
        address_bootstrap: AddressBootstrap | None = None,
    ):
        self.address_bootstrap = address_bootstrap
        self.peers = settings.peers
        self.settings = settings
        self.name = settings.daemon.name
        self.session = session
        self.node = node
        self.storage = storage
        self.now = now
        self.network: Network | None = None
        self.cluster = storage.identity.cluster if storage is not None else ""
        self.generation = storage.identity.generation if storage is not None else 1
        self.settings_bootstrap = SettingsBootstrap(settings, node.folder)
        self.members: Configuration | None = None
        self.dials_all = True
        self.directories: dict[str, MemberDirectory] = {}
        self.join_report_ms = node.started_ms + JOIN_REPORT_MIN_MS
        self.join_report_interval_ms = JOIN_REPORT_MIN_MS

    def start(self, network: Network) -> None:
        """Listen and dial, or bootstrap a cluster alone if there are no peers."""
        self.network = network
        listen = self.settings.listen
        if self.address_bootstrap is not None:
            network.listen(listen.address, listen.peers_port)
            if not self.cluster and self.node.folder == BOOTSTRAP_FOLDER:
                self.bootstrap(
                    self.address_bootstrap.cluster_id(),
                    self.address_bootstrap.initial_members(),
                )
        elif self.peers:
            network.listen(listen.address, listen.peers_port)
        elif not self.cluster:
            self.bootstrap_alone()
        self.update_dialled_peers()

    def set_peers(self, peers: tuple[PeerSection, ...]) -> None:
        """Replace the peers at which the cluster is looked for."""
        self.peers = peers
        self.update_dialled_peers()

    def bootstrap_alone(self) -> None:
        """Bootstrap a cluster of this daemon only."""
        folder = self.node.folder or MEMORY_FOLDER
        self.node.folder = self.settings_bootstrap.folder = folder
        members = self.settings_bootstrap.initial_members()
        assert members is not None, "a bootstrap without peers needs no other voter"
        self.bootstrap(uuid4().hex, members)

    def bootstrap(self, cluster: str, members: Configuration) -> None:
        """Join a cluster with the given initial members."""
        assert self.node.log.last_index == 0, "bootstrap requires an empty log"
        self.cluster = cluster
        self.generation = members.generation
        snapshot = Snapshot(members=members)
        if self.storage is not None and not self.storage.damage:
            self.storage.bootstrap(cluster, snapshot)
        self.node.log = EntryLog(snapshot)
        steps.bootstrap_cluster(self.node, self.now())
        extra = {"cluster": cluster, "members": [one.name for one in members.members]}
        logger.info("cluster joined", extra=extra)
        self.update_members()

    def initial_members(self) -> Configuration:
        """Return the initial members; none if the log is compacted beyond them."""
        snapshot = self.node.log.snapshot
        members = snapshot.members if snapshot.index == 0 else Configuration()
        return replace(members, generation=self.generation)

    def make_hello(self) -> Hello:
        """Return this daemon's handshake message."""
        listen = self.settings.listen
        return Hello(
            self.name,
            self.cluster,
            self.generation,
            self.settings_bootstrap.folder,
            self.session,
            listen.address,
            listen.peers_port,
            self.settings.daemon.availability_zone,
            reads_directories=True,
        )

    def check_handshake(self, hello: Hello) -> str:
        """Return the reason to refuse a peer, or an empty text."""
        if hello.name == self.name:
            return f"another daemon is named {self.name!r}"
        if not hello.cluster or not self.cluster:
            return ""
        if hello.cluster != self.cluster:
            return (
                f"it belongs to cluster {hello.cluster}, this daemon to {self.cluster}"
            )
        if hello.generation != self.generation:
            return (
                f"it has generation {hello.generation} of the cluster, this daemon"
                f" {self.generation}: move the older one's data folder away"
            )
        return ""

    def on_hello(self, sender: str, hello: Hello) -> None:
        """Bootstrap the cluster, or assign a peer without one to it."""
        if hello.gateway:
            return
        if self.cluster:
            if not hello.cluster:
                self.network.send(sender, Form(self.cluster, self.initial_members()))
            if sender in self.node.log.members.former:
                self.notify_removed(sender)
            return
        if self.address_bootstrap is not None:
            return
        self.settings_bootstrap.on_handshake(hello)
        members = self.settings_bootstrap.initial_members()
        if members is not None:
            self.bootstrap(uuid4().hex, members)
            for name in list(self.network.links):
                self.network.send(name, Form(self.cluster, members))

    def on_form(self, sender: str, message: Form) -> None:
        """Join the sender's cluster unless this daemon has one."""
        if not self.cluster:
            self.bootstrap(message.cluster, message.members)

    def on_directory(self, sender: str, message: MemberDirectory) -> None:
        """Dial the members that a peer names, unless this daemon follows a leader."""
        known = self.directories.get(sender)
        if not self.needs_directory() or message == known:
            return
        self.directories[sender] = message
        if known is None or message.leader != known.leader:
            extra = {"leader": message.leader, "term": message.term, "from": sender}
            logger.info("told of the members", extra=extra)
        self.update_dialled_peers()

    def needs_directory(self) -> bool:
        """Return whether the members in this daemon's log may be out of date."""
        follows = self.is_member() and not self.dials_all
        return not follows and self.node.role != Role.LEADER

    def known_directory(self) -> MemberDirectory:
        """Return the newest known members and leader, by the own log or as told."""
        node = self.node
        own = MemberDirectory(node.term, node.leader, node.log.members, node.commit)
        told = max(self.directories.values(), key=MemberDirectory.rank, default=None)
        if told is None or (self.is_member() and own.rank() >= told.rank()):
            return own
        return told

    def leader_member(self) -> Member | None:
        """Return the leader if it is known."""
        known = self.known_directory()
        return known.members.find(known.leader)

    def update_members(self) -> None:
        """Update the dialled peers if the members have changed."""
        if self.node.log.members is not self.members:
            self.members = self.node.log.members
            self.update_dialled_peers()

    def update_dials_all(self) -> None:
        """
        Dial every peer after the start, and without contact with a leader.

        Peers that lost the connection to an earlier process of this daemon delay
        their redials; a leader elected meanwhile would have no quorum without it. A
        member that was cut off may know no address at which a member listens now, so
        the leader dials it.
        """
        now = self.now()
        contact_ms = self.node.leader_contact_ms or self.node.started_ms
        dials_all = now - contact_ms >= DIAL_ALL_MS and not is_fresh(self.node, now)
        dials_all = dials_all or now - self.node.started_ms < DIAL_ALL_MS
        dials_all = dials_all or self.node.role == Role.LEADER
        if dials_all != self.dials_all:
            self.dials_all = dials_all
            self.update_dialled_peers()

    def report_join(self) -> None:
        """Log whom this daemon dials and reaches as long as it is no member."""
        now = self.now()
        if self.network is None or now < self.join_report_ms:
            return
        known = self.known_directory()
        if known.members.find(self.name) is not None:
            self.join_report_interval_ms = JOIN_REPORT_MIN_MS
            self.join_report_ms = now + JOIN_REPORT_MIN_MS
            return
        interval_ms = min(2 * self.join_report_interval_ms, JOIN_REPORT_MAX_MS)
        self.join_report_interval_ms = interval_ms
        self.join_report_ms = now + interval_ms
        extra = {
            "dialled": " ".join(sorted(self.network.addresses)),
            "connected": " ".join(sorted(self.network.links)),
            "leader": known.leader,
            "cluster": self.cluster,
        }
        logger.info("not a member yet", extra=extra)

    def is_member(self) -> bool:
        """Return whether this daemon is among the members that it knows."""
        return self.node.log.members.find(self.name) is not None

    def update_dialled_peers(self) -> None:
        """Dial the peers whose names sort after this daemon's, or all."""
        if self.network is None or not (self.peers or self.address_bootstrap):
            return
        addresses = {
            peer.name: PeerAddress(peer.name, peer.address, peer.port)
            for peer in self.peers
        }
        if not self.needs_directory():
            self.directories.clear()
        members = self.node.log.members
        told = [one.members for one in self.directories.values()]
        for known in (*told, members):
            for member in known.members:
                addresses[member.name] = PeerAddress(
                    member.name, member.address, member.port
                )
        if not self.needs_directory():
            for name in members.former:
                addresses.pop(name, None)
        include_all = self.dials_all or not self.is_member()
        to_dial = (
            peer for peer in addresses.values() if include_all or peer.name > self.name
        )
        self.network.set_peers(tuple(to_dial))
        for name in members.former:
            self.notify_removed(name)

    def notify_removed(self, name: str) -> None:
        """Notify a connected daemon that it was removed from the members."""
        if self.node.commit >= self.node.log.members_index:
            self.network.send(name, NotMember(self.node.term, self.node.commit))

"""
mulberryledge_daemon.log.joining
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a daemon finds its cluster: greetings, the first members, and whom it dials.
"""

import logging
from collections.abc import Callable
from dataclasses import replace
from uuid import uuid4

from mulberryledge_core.consensus import steps
from mulberryledge_core.consensus.entries import Snapshot
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.leases import is_fresh
from mulberryledge_core.consensus.members import Configuration
from mulberryledge_core.consensus.messages import NotMember
from mulberryledge_core.consensus.node import Node
from mulberryledge_daemon.log.formation import Formation
from mulberryledge_daemon.log.founding import FOUNDING_FOLDER, Founding
from mulberryledge_daemon.log.storage import Storage
from mulberryledge_daemon.peers.messages import Form, Hello
from mulberryledge_daemon.peers.network import Network, PeerAddress
from mulberryledge_daemon.settings import PeerSection, Settings

__all__ = ["Joining"]

LONELY_MS = 3_000  # the longest wait of a peer before it dials again
MEMORY_FOLDER = "memory"

logger = logging.getLogger(__name__)


class Joining:
    """
    Owns the identity of the cluster as this daemon knows it.

    Attributes
    ----------
    cluster : str
        Identity of the cluster; empty as long as the daemon belongs to none.
    lonely : bool
        Whether every peer is dialled, also those that dial this daemon: it has just
        begun, or no leader was heard from for long.
    """

    def __init__(
        self,
        settings: Settings,
        session: str,
        node: Node,
        storage: Storage | None,
        now: Callable[[], int],
        founding: Founding | None = None,
    ):
        self.founding = founding
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
        self.formation = Formation(settings, node.folder)
        self.members: Configuration | None = None
        self.lonely = True

    def start(self, network: Network) -> None:
        """Listen and dial, or begin a cluster alone if there are no peers."""
        self.network = network
        listen = self.settings.listen
        if self.founding is not None:
            network.listen(listen.address, listen.peers_port)
            if not self.cluster and self.node.folder == FOUNDING_FOLDER:
                self.form(self.founding.cluster(), self.founding.members())
        elif self.peers:
            network.listen(listen.address, listen.peers_port)
        elif not self.cluster:
            self.form_alone()
        self.follow_members()

    def set_peers(self, peers: tuple[PeerSection, ...]) -> None:
        """Look for the cluster at other peers from now on."""
        self.peers = peers
        self.follow_members()

    def form_alone(self) -> None:
        """Begin a cluster of this daemon only."""
        folder = self.node.folder or MEMORY_FOLDER
        self.node.folder = self.formation.folder = folder
        members = self.formation.members()
        assert members is not None, "no peers are awaited"
        self.form(uuid4().hex, members)

    def form(self, cluster: str, members: Configuration) -> None:
        """Belong to a cluster that begins with the given members."""
        assert self.node.log.last_index == 0, "a cluster begins with an empty log"
        self.cluster = cluster
        self.generation = members.generation
        snapshot = Snapshot(members=members)
        if self.storage is not None and not self.storage.damage:
            self.storage.form(cluster, snapshot)
        self.node.log = EntryLog(snapshot)
        steps.bootstrap_cluster(self.node, self.now())
        extra = {"cluster": cluster, "members": [one.name for one in members.members]}
        logger.info("cluster", extra=extra)
        self.notice_members()

    def genesis(self) -> Configuration:
        """Return the first members, if the log still reaches back to them."""
        snapshot = self.node.log.snapshot
        members = snapshot.members if snapshot.index == 0 else Configuration()
        return replace(members, generation=self.generation)

    def hello(self) -> Hello:
        """Return this daemon's first message."""
        listen = self.settings.listen
        return Hello(
            self.name,
            self.cluster,
            self.generation,
            self.formation.folder,
            self.session,
            listen.address,
            listen.peers_port,
            self.settings.daemon.availability_zone,
        )

    def greet(self, hello: Hello) -> str:
        """Return why a peer is refused, or an empty text."""
        if hello.name == self.name:
            return f"another daemon is named {self.name!r}"
        if not hello.cluster or not self.cluster:
            return ""
        if hello.cluster != self.cluster:
            return f"it belongs to cluster {hello.cluster}, this one to {self.cluster}"
        if hello.generation != self.generation:
            return (
                f"it has generation {hello.generation} of the cluster, this one"
                f" {self.generation}: move the older one's data folder away"
            )
        return ""

    def on_hello(self, sender: str, hello: Hello) -> None:
        """Begin a cluster, or tell a peer without one where it belongs."""
        if hello.gateway:
            return
        if self.cluster:
            if not hello.cluster:
                self.network.send(sender, Form(self.cluster, self.genesis()))
            if sender in self.node.log.members.former:
                self.tell_removed(sender)
            return
        if self.founding is not None:
            return
        self.formation.greet(hello)
        members = self.formation.members()
        if members is not None:
            self.form(uuid4().hex, members)
            for name in list(self.network.links):
                self.network.send(name, Form(self.cluster, members))

    def on_form(self, sender: str, message: Form) -> None:
        """Belong to a cluster from now on."""
        if not self.cluster:
            self.form(message.cluster, message.members)

    def notice_members(self) -> None:
        """Act on new members."""
        if self.node.log.members is not self.members:
            self.members = self.node.log.members
            self.follow_members()

    def notice_loneliness(self) -> None:
        """
        Dial every peer at the beginning, and once no leader was heard from for long.

        Peers that noticed the end of an earlier process wait between two attempts; a
        leader elected meanwhile would have no quorum without this daemon.
        """
        now = self.now()
        heard_ms = self.node.leader_contact_ms or self.node.started_ms
        quiet = now - heard_ms >= LONELY_MS and not is_fresh(self.node, now)
        quiet = quiet or now - self.node.started_ms < LONELY_MS
        if quiet != self.lonely:
            self.lonely = quiet
            self.follow_members()

    def follow_members(self) -> None:
        """Dial the peers that come after this daemon's name; all when lonely."""
        if self.network is None or not (self.peers or self.founding):
            return
        known = {
            peer.name: PeerAddress(peer.name, peer.address, peer.port)
            for peer in self.peers
        }
        members = self.node.log.members
        for member in members.members:
            known[member.name] = PeerAddress(member.name, member.address, member.port)
        present = members.find(self.name) is not None
        if present:
            for name in members.former:
                known.pop(name, None)
        everyone = self.lonely or not present
        wanted = (peer for peer in known.values() if everyone or peer.name > self.name)
        self.network.set_peers(tuple(wanted))
        for name in members.former:
            self.tell_removed(name)

    def tell_removed(self, name: str) -> None:
        """Tell a connected daemon that it is no member any more."""
        if self.node.commit >= self.node.log.members_index:
            self.network.send(name, NotMember(self.node.term, self.node.commit))

"""
mulberryledge_daemon.log.address_bootstrap
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bootstrap of a cluster from nothing but the addresses of its initial voters.

Every initial voter derives the same members from those addresses alone, so the
cluster exists before any voter has answered and cannot be bootstrapped twice: a
majority of the initial voters elects the first leader. Their folders have a fixed
identity, assigned only at the cluster's first start. A voter that returns with an
empty folder gets a random identity, and does not vote.
"""

from dataclasses import dataclass
from hashlib import sha256

from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_daemon.peers.network import PeerAddress

__all__ = ["BOOTSTRAP_FOLDER", "AddressBootstrap"]

BOOTSTRAP_FOLDER = "founding"


@dataclass(frozen=True, slots=True)
class AddressBootstrap:
    """
    The initial voters, and whether this is the cluster's first start.

    Attributes
    ----------
    voters : tuple of PeerAddress
        The initial voters.
    first_start : bool
        Whether the cluster has never run, as far as its platform knows.
    """

    voters: tuple[PeerAddress, ...]
    first_start: bool

    def initial_folder(self, name: str) -> str:
        """Return the identity of an empty folder; empty if it is to be random."""
        is_initial = self.first_start and any(one.name == name for one in self.voters)
        return BOOTSTRAP_FOLDER if is_initial else ""

    def cluster_id(self) -> str:
        """Return the identity of the cluster."""
        endpoints = sorted(f"{one.address}:{one.port}" for one in self.voters)
        return sha256(" ".join(endpoints).encode()).hexdigest()[:32]

    def initial_members(self) -> Configuration:
        """Return the initial members."""
        return Configuration(
            tuple(
                Member(one.name, one.address, one.port, "", BOOTSTRAP_FOLDER)
                for one in sorted(self.voters, key=lambda one: one.name)
            )
        )

"""
mulberryledge_daemon.log.founding
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a cluster begins where only the addresses of its first voters are known.

Every founder begins with the same members, worked out from those addresses alone, so
the cluster exists before any of them has answered and can't begin twice: a majority
of founders elects the first leader. The founders' folders have a fixed identity that
only the very first start gives. A founder that comes back with an empty folder gets a
random one, and does not vote.
"""

from dataclasses import dataclass
from hashlib import sha256

from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_daemon.peers.network import PeerAddress

__all__ = ["FOUNDING_FOLDER", "Founding"]

FOUNDING_FOLDER = "founding"


@dataclass(frozen=True, slots=True)
class Founding:
    """
    The first voters, and whether this is the first start of all.

    Attributes
    ----------
    founders : tuple of PeerAddress
        The first voters.
    first_start : bool
        Whether the cluster has never run, as far as its platform knows.
    """

    founders: tuple[PeerAddress, ...]
    first_start: bool

    def folder_for(self, name: str) -> str:
        """Return the identity of an empty folder, or an empty text for any."""
        founds = self.first_start and any(one.name == name for one in self.founders)
        return FOUNDING_FOLDER if founds else ""

    def cluster(self) -> str:
        """Return the identity of the cluster."""
        places = sorted(f"{one.address}:{one.port}" for one in self.founders)
        return sha256(" ".join(places).encode()).hexdigest()[:32]

    def members(self) -> Configuration:
        """Return the first members."""
        return Configuration(
            tuple(
                Member(one.name, one.address, one.port, "", FOUNDING_FOLDER)
                for one in sorted(self.founders, key=lambda one: one.name)
            )
        )

"""
mulberryledge_daemon.log.formation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a cluster begins: once, when every voter of the settings is there with an empty
data folder. A voter that comes with an empty folder later joins as a learner.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_daemon.peers.messages import Hello
from mulberryledge_daemon.settings import Settings

__all__ = ["Formation", "first_members"]


@dataclass(slots=True)
class Formation:
    """
    What a daemon without a cluster knows of the others.

    Attributes
    ----------
    folders : dict of str to str
        Data folders of the voters that have greeted, each without a cluster.
    """

    settings: Settings
    folder: str
    folders: dict[str, str] = field(default_factory=dict)

    def voters(self) -> tuple[str, ...]:
        """Return the names of the settings' voters, lowest first."""
        names = [peer.name for peer in self.settings.peers if peer.voter]
        if self.folder:
            names.append(self.settings.daemon.name)
        return tuple(sorted(names))

    def greet(self, hello: Hello) -> None:
        """Take note of a peer."""
        if hello.cluster or not hello.folder:
            self.folders.pop(hello.name, None)
        else:
            self.folders[hello.name] = hello.folder

    def lose(self, name: str) -> None:
        """Forget a peer that went away."""
        self.folders.pop(name, None)

    def members(self) -> Configuration | None:
        """Return the first members if it is on this daemon to name them."""
        voters = self.voters()
        if not self.folder or voters[0] != self.settings.daemon.name:
            return None
        folders = self.folders | {self.settings.daemon.name: self.folder}
        if not all(name in folders for name in voters):
            return None
        return first_members(self.settings, {name: folders[name] for name in voters})


def first_members(settings: Settings, folders: dict[str, str]) -> Configuration:
    """Return the members that the settings name, with the voters' folders."""
    own = Member(
        settings.daemon.name,
        settings.listen.address,
        settings.listen.peers_port,
        settings.daemon.availability_zone,
        folders.get(settings.daemon.name, ""),
    )
    others = (
        Member(
            peer.name,
            peer.address,
            peer.port,
            peer.availability_zone,
            folders.get(peer.name, ""),
        )
        for peer in settings.peers
    )
    return Configuration(tuple(sorted((own, *others), key=lambda one: one.name)))

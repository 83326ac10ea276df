"""
mulberryledge_daemon.log.settings_bootstrap
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bootstrap from the settings: a cluster is bootstrapped once, when every voter of the
settings is connected with an empty data folder. A voter that connects with an empty
folder later joins as a learner.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_daemon.peers.messages import Hello
from mulberryledge_daemon.settings import Settings

__all__ = ["SettingsBootstrap", "settings_configuration"]


@dataclass(slots=True)
class SettingsBootstrap:
    """
    What a daemon without a cluster knows of its peers.

    Attributes
    ----------
    folders : dict of str to str
        Data folders of the connected peers that have no cluster either, by name.
    """

    settings: Settings
    folder: str
    folders: dict[str, str] = field(default_factory=dict)

    def voter_names(self) -> tuple[str, ...]:
        """Return the names of the voters in the settings, sorted."""
        names = [peer.name for peer in self.settings.peers if peer.voter]
        if self.folder:
            names.append(self.settings.daemon.name)
        return tuple(sorted(names))

    def on_handshake(self, hello: Hello) -> None:
        """Record the data folder of a peer unless it has a cluster."""
        if hello.cluster or not hello.folder:
            self.folders.pop(hello.name, None)
        else:
            self.folders[hello.name] = hello.folder

    def remove(self, name: str) -> None:
        """Remove a disconnected peer."""
        self.folders.pop(name, None)

    def initial_members(self) -> Configuration | None:
        """Return the initial members once all voters are known; first voter only."""
        voters = self.voter_names()
        if not self.folder or voters[0] != self.settings.daemon.name:
            return None
        folders = self.folders | {self.settings.daemon.name: self.folder}
        if not all(name in folders for name in voters):
            return None
        return settings_configuration(
            self.settings, {name: folders[name] for name in voters}
        )


def settings_configuration(
    settings: Settings, folders: dict[str, str]
) -> Configuration:
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

"""
mulberryledge_daemon.log.recovery
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Recovery from one data folder after the permanent loss of a majority of the voters.
"""

from dataclasses import dataclass, replace
from pathlib import Path

from mulberryledge_core.commands.members import Nothing
from mulberryledge_core.commands.table import encode_command
from mulberryledge_core.consensus.entries import Entry, EntryKind, HardState
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.members import Configuration, Member
from mulberryledge_daemon.log.frames import LogRecord
from mulberryledge_daemon.log.storage import StorageError, open_storage
from mulberryledge_daemon.settings import Settings

__all__ = ["Recovery", "recover"]


@dataclass(frozen=True, slots=True)
class Recovery:
    """
    Result of a recovery from a data folder.

    Attributes
    ----------
    last_index, last_term, last_at_ms : int
        Of the last entry that is kept; later ones were on the lost voters only.
    left_out : tuple of str
        Members that are removed.
    generation : int
        New generation of the cluster.
    """

    cluster: str
    last_index: int
    last_term: int
    last_at_ms: int
    left_out: tuple[str, ...]
    generation: int


def recover(settings: Settings, write: bool) -> Recovery:
    """
    Turn this daemon's folder into a cluster of one, with all its entries.

    Parameters
    ----------
    write : bool
        Whether to change the folder, or only to report the result.

    Raises
    ------
    StorageError
        If the folder belongs to no cluster, is damaged, or is in use.
    """
    folder = Path(settings.daemon.data_folder)
    if not settings.daemon.data_folder or not folder.is_dir():
        raise StorageError(f"{folder}: no data folder to recover from")
    with open_storage(folder, settings.daemon.name) as storage:
        identity = storage.identity
        if storage.damage:
            raise StorageError(f"{storage.damage}: recover from another folder")
        if not identity.cluster:
            raise StorageError(f"{folder}: belongs to no cluster")
        log = EntryLog(storage.snapshot, storage.entries)
        generation = identity.generation + 1
        members = single_member_configuration(
            settings, identity.folder, log.members, generation
        )
        if write:
            term = storage.hard_state.term + 1
            entry = Entry(
                index=log.last_index + 1,
                term=term,
                at_ms=log.last_at_ms,
                kind=EntryKind.CONFIGURATION,
                data=encode_command(Nothing()),
                members=members,
            )
            storage.write(LogRecord(HardState(term), (entry,)))
            storage.write_identity(replace(identity, generation=generation))
        return Recovery(
            cluster=identity.cluster,
            last_index=log.last_index,
            last_term=log.last_term,
            last_at_ms=log.last_at_ms,
            left_out=members.former,
            generation=generation,
        )


def single_member_configuration(
    settings: Settings, folder: str, before: Configuration, generation: int
) -> Configuration:
    """Return a configuration of this daemon only; all others count as removed."""
    own = Member(
        settings.daemon.name,
        settings.listen.address,
        settings.listen.peers_port,
        settings.daemon.availability_zone,
        folder,
    )
    others = tuple(one.name for one in before.members if one.name != own.name)
    former = tuple(dict.fromkeys((*before.former, *others)))
    return Configuration((own,), former, generation)

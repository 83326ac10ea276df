"""
mulberryledge_core.consensus.entry_log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

In-memory part of the log: the latest snapshot and the entries kept after it.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.entries import Entry, Snapshot
from mulberryledge_core.consensus.members import Configuration

__all__ = ["EntryLog"]


@dataclass(slots=True)
class EntryLog:
    """
    The latest snapshot, and entries in index order.

    Attributes
    ----------
    start_index : int
        Index before the first entry in memory.
    start_term : int
        Term of the entry at ``start_index``.
    snapshot : Snapshot
        Covers at least the entries up to ``start_index``.
    configurations : list of (int, Configuration)
        Membership changes after the snapshot, with their indexes.
    """

    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    start_index: int = 0
    start_term: int = 0
    configurations: list[tuple[int, Configuration]] = field(default_factory=list)

    def __post_init__(self):
        self.start_index, self.start_term = self.snapshot.index, self.snapshot.term
        entries, self.entries = self.entries, []
        for entry in entries:
            if entry.index > self.start_index:
                self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.start_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.start_term

    @property
    def last_at_ms(self) -> int:
        """Log time of the last entry."""
        return self.entries[-1].at_ms if self.entries else self.snapshot.at_ms

    @property
    def members(self) -> Configuration:
        """Configuration as of the last entry, committed or not."""
        if self.configurations:
            return self.configurations[-1][1]
        return self.snapshot.members

    @property
    def members_index(self) -> int:
        """Index of the latest membership change."""
        if self.configurations:
            return self.configurations[-1][0]
        return self.snapshot.index

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry, or None if it is not in memory."""
        if index == self.start_index:
            return self.start_term
        entry = self.get(index)
        return entry.term if entry is not None else None

    def get(self, index: int) -> Entry | None:
        """Return the entry, or None if it is not in memory."""
        if not self.start_index < index <= self.last_index:
            return None
        return self.entries[index - self.start_index - 1]

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        assert entry.index == self.last_index + 1, "indexes increase by one"
        assert entry.term >= self.last_term, "terms never decrease"
        assert entry.at_ms >= self.last_at_ms, "log time never decreases"
        self.entries.append(entry)
        if entry.members is not None:
            self.configurations.append((entry.index, entry.members))

    def truncate_from(self, index: int) -> None:
        """Remove the entries from the index on."""
        del self.entries[index - self.start_index - 1 :]
        while self.configurations and self.configurations[-1][0] >= index:
            self.configurations.pop()

    def entries_between(
        self, first: int, last: int, limit_bytes: int
    ) -> tuple[Entry, ...]:
        """Return entries up to ``limit_bytes`` in sum, at least one if any."""
        found, size = [], 0
        for entry in self.entries[
            first - self.start_index - 1 : last - self.start_index
        ]:
            size += entry.size
            if found and size > limit_bytes:
                break
            found.append(entry)
        return tuple(found)

    def members_at(self, index: int) -> Configuration:
        """Return the configuration as of an entry."""
        in_effect = [
            configuration for at, configuration in self.configurations if at <= index
        ]
        return in_effect[-1] if in_effect else self.snapshot.members

    def compact(self, snapshot: Snapshot, keep_count: int) -> None:
        """Set the snapshot; of the entries it covers, keep the last ``keep_count``."""
        new_start = max(
            self.start_index, min(snapshot.index, snapshot.index - keep_count)
        )
        term = self.term_at(new_start)
        assert term is not None, "a snapshot covers entries of the log only"
        del self.entries[: new_start - self.start_index]
        self.start_index, self.start_term, self.snapshot = new_start, term, snapshot
        self.configurations = [
            one for one in self.configurations if one[0] > snapshot.index
        ]

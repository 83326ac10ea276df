"""
mulberryledge_core.consensus.memory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The entries after the last snapshot, in memory.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.entries import Entry, Snapshot
from mulberryledge_core.consensus.members import Configuration

__all__ = ["EntryLog"]


@dataclass(slots=True)
class EntryLog:
    """
    Entries in index order after a snapshot.

    Attributes
    ----------
    start : int
        Index just before the first entry held.
    start_term : int
        Term of the entry at ``start``.
    snapshot : Snapshot
        Covers at least the entries up to ``start``.
    """

    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    start: int = 0
    start_term: int = 0
    configurations: list[tuple[int, Configuration]] = field(default_factory=list)

    def __post_init__(self):
        self.start, self.start_term = self.snapshot.index, self.snapshot.term
        entries, self.entries = self.entries, []
        for entry in entries:
            if entry.index > self.start:
                self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.start + len(self.entries)

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
        """Members as of the last entry."""
        if self.configurations:
            return self.configurations[-1][1]
        return self.snapshot.members

    @property
    def members_index(self) -> int:
        """Index of the entry that set the members."""
        if self.configurations:
            return self.configurations[-1][0]
        return self.snapshot.index

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry, or None if it is not held."""
        if index == self.start:
            return self.start_term
        entry = self.get(index)
        return entry.term if entry is not None else None

    def get(self, index: int) -> Entry | None:
        """Return the entry, or None if it is not held."""
        if not self.start < index <= self.last_index:
            return None
        return self.entries[index - self.start - 1]

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        assert entry.index == self.last_index + 1, "indexes rise by one"
        assert entry.term >= self.last_term, "terms never fall"
        assert entry.at_ms >= self.last_at_ms, "log time never goes back"
        self.entries.append(entry)
        if entry.members is not None:
            self.configurations.append((entry.index, entry.members))

    def cut(self, index: int) -> None:
        """Drop the entries from the index on."""
        del self.entries[index - self.start - 1 :]
        while self.configurations and self.configurations[-1][0] >= index:
            self.configurations.pop()

    def between(self, first: int, last: int, limit: int) -> tuple[Entry, ...]:
        """Return entries up to ``limit`` bytes, at least one if there is any."""
        found, size = [], 0
        for entry in self.entries[first - self.start - 1 : last - self.start]:
            size += entry.size
            if found and size > limit:
                break
            found.append(entry)
        return tuple(found)

    def members_at(self, index: int) -> Configuration:
        """Return the members as of an entry."""
        held = [one for at, one in self.configurations if at <= index]
        return held[-1] if held else self.snapshot.members

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Take a snapshot in place of the entries that it covers, but the last."""
        start = max(self.start, min(snapshot.index, snapshot.index - keep))
        term = self.term_at(start)
        assert term is not None, "a snapshot covers entries that are held"
        del self.entries[: start - self.start]
        self.start, self.start_term, self.snapshot = start, term, snapshot
        self.configurations = [
            one for one in self.configurations if one[0] > snapshot.index
        ]

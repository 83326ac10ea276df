"""
mulberryledge_core.state.indexes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tables that keep derived indexes and tallies up to date with each changed row.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, Protocol, TypeVar

__all__ = ["Index", "Observer", "Table", "Tally"]

Row = TypeVar("Row")


class Observer(Protocol):
    """Observer of the rows of a table."""

    def add(self, name: str, row: object) -> None:
        """Handle a row that was added."""

    def discard(self, name: str, row: object) -> None:
        """Handle a row that was removed."""


class Table(dict[str, Row], Generic[Row]):
    """
    Rows by name; observers are notified of each change.

    Only item assignment, deletion, :meth:`pop` and :meth:`retain` change a
    table.
    """

    def __init__(self, rows: Mapping[str, Row], observers: tuple[Observer, ...] = ()):
        super().__init__()
        self.observers = observers
        for name, row in rows.items():
            self[name] = row

    def __setitem__(self, name: str, row: Row) -> None:
        old = self.get(name)
        for observer in self.observers:
            if old is not None:
                observer.discard(name, old)
            observer.add(name, row)
        super().__setitem__(name, row)

    def __delitem__(self, name: str) -> None:
        old = self[name]
        for observer in self.observers:
            observer.discard(name, old)
        super().__delitem__(name)

    def pop(self, name: str, default: Row | None = None) -> Row | None:
        """Remove and return a row, or return the default."""
        if name not in self:
            return default
        row = self[name]
        del self[name]
        return row

    def retain(self, predicate: Callable[[Row], bool]) -> None:
        """Remove every row that does not satisfy the predicate."""
        for name in [name for name, row in self.items() if not predicate(row)]:
            del self[name]

    def _refuse(self, *args: object, **kwargs: object) -> None:
        raise TypeError("assign rows one by one: bulk changes bypass the indexes")

    update = setdefault = popitem = clear = __ior__ = _refuse


class Index(Generic[Row]):
    """
    Rows of a table grouped by a key.

    Parameters
    ----------
    key_of : callable
        Returns the group of a row, or None for rows that are not indexed.
    """

    def __init__(self, key_of: Callable[[Row], str | None]):
        self.key_of = key_of
        self.groups: dict[str, dict[str, Row]] = {}

    def add(self, name: str, row: Row) -> None:
        """Add a row to its group."""
        key = self.key_of(row)
        if key is not None:
            self.groups.setdefault(key, {})[name] = row

    def discard(self, name: str, row: Row) -> None:
        """Remove a row from its group."""
        key = self.key_of(row)
        if key is None:
            return
        group = self.groups[key]
        del group[name]
        if not group:
            del self.groups[key]

    def rows(self, key: str) -> tuple[Row, ...]:
        """Return a group in order of names, the same on every replica."""
        group = self.groups.get(key, {})
        return tuple(group[name] for name in sorted(group))

    def count(self, key: str) -> int:
        """Return the size of a group."""
        return len(self.groups.get(key, ()))


class Tally:
    """
    Sums by key over the rows of one or more tables.

    Parameters
    ----------
    amounts_of : callable
        Returns pairs of key and amount for a row.
    """

    def __init__(self, amounts_of: Callable[[object], Iterable[tuple[str, int]]]):
        self.amounts_of = amounts_of
        self.sums: dict[str, int] = {}

    def add(self, name: str, row: object) -> None:
        """Add the amounts of a row."""
        for key, amount in self.amounts_of(row):
            self.sums[key] = self.sums.get(key, 0) + amount

    def discard(self, name: str, row: object) -> None:
        """Subtract the amounts of a row."""
        for key, amount in self.amounts_of(row):
            remaining = self.sums[key] - amount
            assert remaining >= 0, f"tally of {key!r} fell below zero"
            if remaining:
                self.sums[key] = remaining
            else:
                del self.sums[key]

    def __getitem__(self, key: str) -> int:
        return self.sums.get(key, 0)

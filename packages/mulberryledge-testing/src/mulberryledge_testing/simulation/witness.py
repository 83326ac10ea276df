"""
mulberryledge_testing.simulation.witness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks over all members at once what no single member can know.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.entries import Entry
from mulberryledge_core.consensus.leases import (
    daemons_not_in_force,
    is_fresh,
    is_leading,
)
from mulberryledge_core.consensus.node import Node, Role

__all__ = ["Seen", "Witness"]


@dataclass(frozen=True, slots=True)
class Seen:
    """A running member and the time on its clock, in milliseconds."""

    node: Node
    now: int


@dataclass(slots=True)
class Witness:
    """
    What has been seen of all members.

    Attributes
    ----------
    in_force : int
        Highest index that a leader reported to be in force everywhere.
    """

    leaders: dict[int, str] = field(default_factory=dict)
    written: dict[tuple[int, int], Entry] = field(default_factory=dict)
    committed: dict[int, Entry] = field(default_factory=dict)
    copies: dict[tuple[str, int], int] = field(default_factory=dict)
    in_force: int = 0

    def on_written(self, node: Node, entry: Entry) -> None:
        """Check log matching: one entry for each index and term."""
        known = self.written.setdefault((entry.index, entry.term), entry)
        assert known == entry, f"log matching: {known} and {entry}"

    def on_applied(self, entry: Entry) -> None:
        """Check that committed entries stay."""
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"committed entries stay: {known} and {entry}"

    def on_executed(self, entry: Entry) -> None:
        """Check that a proposal takes effect at one index only."""
        key = (entry.origin.session, entry.origin.sequence)
        index = self.copies.setdefault(key, entry.index)
        assert index == entry.index, f"{key} applied at {index} and {entry.index}"

    def check(self, members: list[Seen]) -> None:
        """Check leaders and leases at one moment of real time."""
        leading = []
        for seen in members:
            node = seen.node
            if node.role == Role.LEADER:
                name = self.leaders.setdefault(node.term, node.name)
                assert name == node.name, f"term {node.term}: {name} and {node.name}"
                if is_leading(node, seen.now):
                    leading.append(seen)
            if node.applied < self.in_force:
                assert not is_fresh(node, seen.now), (
                    f"{node.name} is fresh at {node.applied},"
                    f" {self.in_force} is in force"
                )
        assert len(leading) <= 1, f"leases of two leaders: {leading}"
        for seen in leading:
            index = seen.node.applied
            if index > self.in_force and not daemons_not_in_force(
                seen.node, index, seen.now
            ):
                self.in_force = index
                self.check(members)

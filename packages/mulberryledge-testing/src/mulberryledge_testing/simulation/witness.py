"""
mulberryledge_testing.simulation.witness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks invariants that hold between members, which no single member can check.
"""

from dataclasses import dataclass, field

from mulberryledge_core.consensus.entries import Entry
from mulberryledge_core.consensus.leases import (
    daemons_not_in_force,
    is_fresh,
    is_leading,
)
from mulberryledge_core.consensus.node import Node, Role

__all__ = ["InvariantChecker", "RunningMember"]


@dataclass(frozen=True, slots=True)
class RunningMember:
    """A running member and its clock's time, in milliseconds."""

    node: Node
    now: int


@dataclass(slots=True)
class InvariantChecker:
    """
    Records of all members, to check later ones against.

    Attributes
    ----------
    in_force : int
        Highest index that a leader found in force on all daemons.
    """

    leaders: dict[int, str] = field(default_factory=dict)
    written: dict[tuple[int, int], Entry] = field(default_factory=dict)
    committed: dict[int, Entry] = field(default_factory=dict)
    executed: dict[tuple[str, int], int] = field(default_factory=dict)
    in_force: int = 0

    def on_written(self, node: Node, entry: Entry) -> None:
        """Check log matching: one entry for each index and term."""
        known = self.written.setdefault((entry.index, entry.term), entry)
        assert known == entry, f"log matching: {known} and {entry}"

    def on_applied(self, entry: Entry) -> None:
        """Check that no committed entry is replaced."""
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"committed entries stay: {known} and {entry}"

    def on_executed(self, entry: Entry) -> None:
        """Check that a proposal takes effect at one index only."""
        key = (entry.origin.session, entry.origin.sequence)
        index = self.executed.setdefault(key, entry.index)
        assert index == entry.index, f"{key} applied at {index} and {entry.index}"

    def check(self, members: list[RunningMember]) -> None:
        """Check leaders and leases at one instant of virtual time."""
        leading = []
        for member in members:
            node = member.node
            if node.role == Role.LEADER:
                name = self.leaders.setdefault(node.term, node.name)
                assert name == node.name, f"term {node.term}: {name} and {node.name}"
                if is_leading(node, member.now):
                    leading.append(member)
            if node.applied < self.in_force:
                assert not is_fresh(node, member.now), (
                    f"{node.name} is fresh at {node.applied},"
                    f" {self.in_force} is in force"
                )
        assert len(leading) <= 1, f"leases of two leaders: {leading}"
        for member in leading:
            index = member.node.applied
            if index > self.in_force and not daemons_not_in_force(
                member.node, index, member.now
            ):
                self.in_force = index
                self.check(members)

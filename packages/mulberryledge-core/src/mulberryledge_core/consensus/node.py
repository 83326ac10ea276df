"""
mulberryledge_core.consensus.node
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One member of the replicated log as a state machine: messages and times go in,
effects come out. Times are milliseconds of the member's own monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from mulberryledge_core.consensus.effects import Apply, Effect, Persist, Send
from mulberryledge_core.consensus.entries import Entry, HardState
from mulberryledge_core.consensus.memory import EntryLog
from mulberryledge_core.consensus.messages import Grant
from mulberryledge_core.consensus.timing import Bounds, Timing

__all__ = ["Node", "Progress", "Role"]


class Role(StrEnum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Progress:
    """
    What a leader knows of one other member.

    Attributes
    ----------
    match, durable, applied : int
        Last equal, last synced and last applied index that the member told.
    next : int
        First index of the next message.
    in_flight : list of (last index, bytes)
        Messages with entries that are not answered.
    heard_ms : int or None
        When the member last told what it holds.
    confirmed_ms : int or None
        When the latest message was sent that the member answered in this term, with
        the data folder ``confirmed_folder``. A learner's answer counts once it votes:
        it has promised as much as a voter.
    held_until_ms : int
        When the member's freshness lease has surely run out.
    offset : int or None
        Bytes of the snapshot that have arrived, while one is being sent.
    """

    next: int
    match: int = 0
    durable: int = 0
    applied: int = 0
    in_flight: list[tuple[int, int]] = field(default_factory=list)
    commit_sent: int = -1
    sent_ms: int = -1_000_000
    answered_ms: int = 0
    heard_ms: int | None = None
    confirmed_ms: int | None = None
    confirmed_folder: str = ""
    asked: tuple[int, int] | None = None
    held_until_ms: int = 0
    offset: int | None = None
    folder: str = ""

    def in_flight_bytes(self) -> int:
        """Return the size of what is not answered."""
        return sum(size for _, size in self.in_flight)


@dataclass(slots=True)
class Node:
    """
    State of one member.

    Attributes
    ----------
    folder : str
        Identity of the data folder; empty without one.
    draw : callable
        Returns numbers from 0 to 1 for the election timeout.
    storage_ok : bool
        Whether writes reach the disk; a node whose disk refuses them acknowledges
        nothing as durable and does not vote.
    durable : int
        Last index on disk.
    predecessor : str
        The leader that this node followed last.
    resign_until_ms : int
        Until then a leader takes no more proposals, and hands the lead over to the
        first voter that holds the whole log.
    lease_until_ms, lease_index : int
        Freshness lease of this daemon: it holds until that time, if that index
        is applied.
    """

    name: str
    folder: str
    log: EntryLog
    draw: Callable[[], float]
    started_ms: int
    hard_state: HardState = HardState()
    timing: Timing = Timing()
    bounds: Bounds = Bounds()
    storage_ok: bool = True
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit: int = 0
    applied: int = 0
    durable: int = 0
    removed: bool = False
    contact_ms: int | None = None
    deadline_ms: int = 0
    votes: set[str] = field(default_factory=set)
    vote_sent_ms: int = 0
    term_start: int = 0
    elected_ms: int = 0
    predecessor: str = ""
    resign_until_ms: int = 0
    progress: dict[str, Progress] = field(default_factory=dict)
    departed: dict[str, int] = field(default_factory=dict)
    lease_until_ms: int = -1
    lease_index: int = 0
    pending: Grant | None = None
    chunks: bytearray = field(default_factory=bytearray)
    chunks_of: tuple[int, int] | None = None
    effects: list[Effect] = field(default_factory=list)

    def __post_init__(self):
        self.commit = self.applied = self.log.snapshot.index
        self.durable = self.log.last_index
        self.reset_deadline(self.started_ms)

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard_state.term

    def is_voter(self) -> bool:
        """Return whether this node votes under its name and data folder."""
        return self.log.members.votes(self.name, self.folder)

    def sole_voter(self) -> bool:
        """Return whether this node alone is a quorum."""
        return self.is_voter() and len(self.log.members.voters()) == 1

    def is_alone(self) -> bool:
        """Return whether there is and was no other member to wait for."""
        members = self.log.members
        return self.sole_voter() and len(members.members) == 1 and not members.former

    def reset_deadline(self, now: int) -> None:
        """Draw the time of the next election."""
        low, high = self.timing.election_min_ms, self.timing.election_max_ms
        self.deadline_ms = now + low + int(self.draw() * (high - low))

    def send(self, to: str, message: object, after_sync: bool = False) -> None:
        """Ask for a message to be sent."""
        self.effects.append(Send(to, message, after_sync))

    def persist(self, entries: tuple[Entry, ...] = ()) -> None:
        """Ask for term, vote and entries to be written."""
        self.effects.append(Persist(self.hard_state, entries, self.commit))

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Enter a term, or vote in it."""
        before = self.hard_state
        assert term >= before.term, "terms never fall"
        if term == before.term:
            assert before.voted_for in ("", voted_for), "one vote a term"
        self.hard_state = HardState(term, voted_for)
        self.persist()

    def become_follower(self, term: int, leader: str, now: int) -> None:
        """Follow, in this term or a higher one."""
        if term > self.term:
            self.set_term(term)
            self.leader = ""
        if self.role != Role.FOLLOWER:
            self.reset_deadline(now)
        self.role = Role.FOLLOWER
        self.resign_until_ms = 0
        self.progress = {}
        self.departed = {}
        if leader:
            assert self.leader in ("", leader), "one leader a term"
            self.leader = self.predecessor = leader

    def advance_commit(self, index: int) -> None:
        """Commit up to an index and ask for what is new to be applied."""
        index = min(index, self.log.last_index)
        if index <= self.commit:
            return
        self.commit = index
        first = self.applied + 1
        entries = self.log.between(first, index, limit=1 << 62)
        assert [entry.index for entry in entries] == list(range(first, index + 1))
        self.applied = index
        self.effects.append(Apply(entries))

    def take_effects(self) -> tuple[Effect, ...]:
        """Return the effects since the last call."""
        effects = tuple(self.effects)
        self.effects.clear()
        return effects

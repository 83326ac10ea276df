"""
mulberryledge_core.consensus.node
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State machine of one member of the replicated log: it takes messages and the current
time, and queues effects. Times are milliseconds of the member's own monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from mulberryledge_core.consensus.effects import Apply, Effect, Persist, Send
from mulberryledge_core.consensus.entries import Entry, HardState
from mulberryledge_core.consensus.entry_log import EntryLog
from mulberryledge_core.consensus.messages import LeaseGrant
from mulberryledge_core.consensus.timing import Bounds, Timing

__all__ = ["Node", "Progress", "Role", "StepDown", "StepDownCause"]


class Role(StrEnum):
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class StepDownCause(StrEnum):
    """Why a leader stopped leading."""

    QUORUM_LOST = "quorum-lost"
    HIGHER_TERM = "higher-term"
    RESIGNED = "resigned"
    DEMOTED = "demoted"
    DISK_FAILED = "disk-failed"


@dataclass(frozen=True, slots=True)
class StepDown:
    """
    The end of a leadership of this node.

    Attributes
    ----------
    term : int
        The term in which the node led.
    unheard : tuple of str
        Voters that had answered nothing that was sent to them within the longest
        election timeout.
    voter_count : int
        Voters in all, this node included.
    """

    term: int
    cause: StepDownCause
    unheard: tuple[str, ...]
    voter_count: int


@dataclass(slots=True)
class Progress:
    """
    Replication state of one other member, kept by the leader.

    Attributes
    ----------
    match, durable, applied : int
        Last matching, last synced and last applied index reported by the member.
    next : int
        First index to send next.
    in_flight : list of (last index, bytes)
        Messages with entries that are not acknowledged.
    reported_ms : int or None
        When the member last reported its log position, or a chunk of a snapshot.
    confirmed_ms : int or None
        When the latest message was sent that the member has answered in this term
        from data folder ``confirmed_folder``. A learner's answers count once it is
        promoted, as they bind it like those of a voter.
    lease_request : tuple of (int, int) or None
        Pending request for a freshness lease: its time on the member's clock, and
        its arrival.
    lease_held_until_ms : int
        When the member's freshness lease has expired for certain.
    snapshot_offset : int or None
        Bytes received of the snapshot being sent; None while none is.
    known_since_ms : int
        When this leader began to replicate to the member.
    """

    next: int
    match: int = 0
    durable: int = 0
    applied: int = 0
    in_flight: list[tuple[int, int]] = field(default_factory=list)
    commit_sent: int = -1
    sent_ms: int = -1_000_000
    answered_ms: int = 0
    reported_ms: int | None = None
    confirmed_ms: int | None = None
    confirmed_folder: str = ""
    lease_request: tuple[int, int] | None = None
    lease_held_until_ms: int = 0
    snapshot_offset: int | None = None
    folder: str = ""
    known_since_ms: int = 0

    def in_flight_bytes(self) -> int:
        """Return the size of the unacknowledged entries."""
        return sum(size for _, size in self.in_flight)


@dataclass(slots=True)
class Node:
    """
    State of one member.

    Attributes
    ----------
    folder : str
        Identity of the data folder; empty for a daemon without one.
    draw_random : callable
        Returns random numbers from 0 to 1, for timeouts.
    storage_ok : bool
        Whether the disk accepts writes; without it the node neither votes nor
        acknowledges entries as durable.
    durable : int
        Last index on disk.
    last_leader : str
        The leader that this node followed most recently.
    resign_until_ms : int
        Until then a leader refuses proposals, and transfers leadership to the
        first voter that has the complete log.
    removed_lease_until_ms : dict of str to int
        By name of a removed member: when its freshness lease has expired.
    pending_grant : LeaseGrant or None
        Freshness lease that takes effect once its index is applied.
    snapshot_buffer, snapshot_buffer_key
        Received part of a snapshot, and the index and term of that snapshot.
    lease_until_ms, lease_index : int
        Freshness lease of this daemon: valid until that time, provided that index
        is applied.
    last_step_down : StepDown or None
        How the latest leadership of this node ended.
    """

    name: str
    folder: str
    log: EntryLog
    draw_random: Callable[[], float]
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
    leader_contact_ms: int | None = None
    deadline_ms: int = 0
    votes: set[str] = field(default_factory=set)
    vote_sent_ms: int = 0
    term_start_index: int = 0
    elected_ms: int = 0
    last_leader: str = ""
    resign_until_ms: int = 0
    progress: dict[str, Progress] = field(default_factory=dict)
    removed_lease_until_ms: dict[str, int] = field(default_factory=dict)
    lease_until_ms: int = -1
    lease_index: int = 0
    pending_grant: LeaseGrant | None = None
    snapshot_buffer: bytearray = field(default_factory=bytearray)
    snapshot_buffer_key: tuple[int, int] | None = None
    last_step_down: StepDown | None = None
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
        """Return whether this node is a voter with its data folder."""
        return self.log.members.has_voter(self.name, self.folder)

    def is_sole_voter(self) -> bool:
        """Return whether this node forms a quorum by itself."""
        return self.is_voter() and len(self.log.members.voters()) == 1

    def is_only_member(self) -> bool:
        """Return whether the cluster has and had no other member."""
        members = self.log.members
        return self.is_sole_voter() and len(members.members) == 1 and not members.former

    def reset_deadline(self, now: int) -> None:
        """Set the election timeout to a random time in its range."""
        min_ms, max_ms = self.timing.election_min_ms, self.timing.election_max_ms
        self.deadline_ms = now + min_ms + int(self.draw_random() * (max_ms - min_ms))

    def send(self, to: str, message: object, after_sync: bool = False) -> None:
        """Queue a message."""
        self.effects.append(Send(to, message, after_sync))

    def persist(self, entries: tuple[Entry, ...] = ()) -> None:
        """Queue a write of term, vote and entries."""
        self.effects.append(Persist(self.hard_state, entries, self.commit))

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Set the term, and the vote in it."""
        previous = self.hard_state
        assert term >= previous.term, "terms never decrease"
        if term == previous.term:
            assert previous.voted_for in ("", voted_for), "one vote per term"
        self.hard_state = HardState(term, voted_for)
        self.persist()

    def become_follower(
        self,
        term: int,
        leader: str,
        now: int,
        cause: StepDownCause = StepDownCause.HIGHER_TERM,
    ) -> None:
        """Become a follower in this term or a higher one."""
        if self.role == Role.LEADER:
            self.last_step_down = StepDown(
                self.term,
                cause,
                self.unheard_voters(now),
                len(self.log.members.voters()),
            )
        if term > self.term:
            self.set_term(term)
            self.leader = ""
        if self.role != Role.FOLLOWER:
            self.reset_deadline(now)
        self.role = Role.FOLLOWER
        self.resign_until_ms = 0
        self.progress = {}
        self.removed_lease_until_ms = {}
        if leader:
            assert self.leader in ("", leader), "one leader a term"
            self.leader = self.last_leader = leader

    def unheard_voters(self, now: int) -> tuple[str, ...]:
        """Return the other voters with no answer to a message of the last timeout."""
        since = now - self.timing.election_max_ms
        return tuple(
            voter.name
            for voter in self.log.members.voters()
            if voter.name != self.name
            and not self._answered_since(voter.name, voter.folder, since)
        )

    def _answered_since(self, name: str, folder: str, since: int) -> bool:
        progress = self.progress.get(name)
        if progress is None or progress.confirmed_folder != folder:
            return False
        return progress.confirmed_ms is not None and progress.confirmed_ms > since

    def advance_commit(self, index: int) -> None:
        """Commit up to an index and queue the new entries for applying."""
        index = min(index, self.log.last_index)
        if index <= self.commit:
            return
        self.commit = index
        first = self.applied + 1
        entries = self.log.entries_between(first, index, limit_bytes=1 << 62)
        assert [entry.index for entry in entries] == list(range(first, index + 1))
        self.applied = index
        self.effects.append(Apply(entries))

    def take_effects(self) -> tuple[Effect, ...]:
        """Return and clear the queued effects."""
        effects = tuple(self.effects)
        self.effects.clear()
        return effects

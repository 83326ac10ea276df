"""
mulberryledge_core.consensus.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between the members of a cluster. Times are in milliseconds of the clock
of the daemon that set them first; replies return them unchanged.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.entries import Entry
from mulberryledge_core.consensus.members import Configuration

__all__ = [
    "MESSAGES",
    "Append",
    "AppendReply",
    "InstallSnapshot",
    "InstallSnapshotReply",
    "LeaseGrant",
    "NotMember",
    "RequestVote",
    "TransferLeadership",
    "VoteReply",
]


@dataclass(frozen=True, slots=True)
class RequestVote:
    """
    Request for a vote; with ``pre_vote``, for whether it would be granted.

    Attributes
    ----------
    folder : str
        Data folder of the receiver that the candidate's configuration counts. The
        receiver may not have the entry yet that makes it a voter.
    leadership_transfer : bool
        Whether the previous leader has given up its lease in favour of this
        candidate, so that voters need not wait until the lease expires.
    """

    folder: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    sent_ms: int
    leadership_transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to a request for a vote, with the voter's data folder."""

    term: int
    folder: str
    granted: bool
    pre_vote: bool
    sent_ms: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """
    A freshness lease, granted to a member by the leader.

    Attributes
    ----------
    requested_ms : int
        When the holder requested it, on the holder's clock.
    age_ms : int
        Time from the quorum's confirmation to the arrival of that request.
    index : int
        The lease takes effect once its holder has applied this index.
    """

    requested_ms: int
    age_ms: int
    index: int


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after ``prev_index``; without entries, a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    commit: int
    sent_ms: int
    entries: tuple[Entry, ...] = ()
    grant: LeaseGrant | None = None


@dataclass(frozen=True, slots=True)
class AppendReply:
    """
    Reply to ``Append``.

    Attributes
    ----------
    match : int
        Last index known to match the leader's log; if not ``ok``, the index
        after which to retry.
    durable : int
        Last matching index that is on disk.
    applied : int
        Last applied index.
    lease_requested_ms : int
        When the member requested a freshness lease by this reply, on its own clock.
    """

    term: int
    folder: str
    ok: bool
    match: int
    durable: int
    applied: int
    sent_ms: int
    lease_requested_ms: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """One chunk of a snapshot of ``total`` bytes."""

    term: int
    index: int
    last_term: int
    at_ms: int
    members: Configuration
    total: int
    offset: int
    data: bytes
    sent_ms: int


@dataclass(frozen=True, slots=True)
class InstallSnapshotReply:
    """Number of bytes of the snapshot that have arrived."""

    term: int
    folder: str
    index: int
    received: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Asks a voter to start an election, as the leader has resigned for it."""

    term: int


@dataclass(frozen=True, slots=True)
class NotMember:
    """Notifies a daemon that it was removed from the cluster."""

    term: int
    index: int


MESSAGES = (
    RequestVote,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    NotMember,
    TransferLeadership,
)

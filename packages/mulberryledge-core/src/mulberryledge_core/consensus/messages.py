"""
mulberryledge_core.consensus.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between the members of a cluster. Times are in milliseconds of the clock
of the daemon that first wrote them, and come back unchanged.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.entries import Entry
from mulberryledge_core.consensus.members import Configuration

__all__ = [
    "MESSAGES",
    "Append",
    "AppendReply",
    "Grant",
    "HandOver",
    "Install",
    "InstallReply",
    "NotMember",
    "RequestVote",
    "VoteReply",
]


@dataclass(frozen=True, slots=True)
class RequestVote:
    """
    Ask for a vote; with ``pre`` only whether there would be one.

    Attributes
    ----------
    folder : str
        Data folder whose vote counts for the candidate. The receiver may not hold
        the entry yet that lets it vote.
    handed_over : bool
        Whether the leader of the term before has given up its lease for this
        candidate, so that no voter need wait for it to run out.
    """

    folder: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    sent_ms: int
    handed_over: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer of a voter, with the identity of its data folder."""

    term: int
    folder: str
    granted: bool
    pre: bool
    sent_ms: int


@dataclass(frozen=True, slots=True)
class Grant:
    """
    A freshness lease.

    Attributes
    ----------
    asked_ms : int
        When its holder asked, on the holder's clock.
    age_ms : int
        How long before the arrival of that request the quorum was confirmed.
    index : int
        The lease counts once its holder has applied this index.
    """

    asked_ms: int
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
    grant: Grant | None = None


@dataclass(frozen=True, slots=True)
class AppendReply:
    """
    Answer to Append.

    Attributes
    ----------
    match : int
        Last index known to equal the leader's; if not ``ok``, where to try next.
    durable : int
        Last of those that is on disk.
    applied : int
        Last applied index.
    asked_ms : int
        When this request for a freshness lease was made, on the holder's clock.
    """

    term: int
    folder: str
    ok: bool
    match: int
    durable: int
    applied: int
    sent_ms: int
    asked_ms: int


@dataclass(frozen=True, slots=True)
class Install:
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
class InstallReply:
    """How many bytes of the snapshot have arrived."""

    term: int
    folder: str
    index: int
    received: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class HandOver:
    """Tells a voter that the leader of the term has resigned in its favour."""

    term: int


@dataclass(frozen=True, slots=True)
class NotMember:
    """Tells a daemon that it is no member any more."""

    term: int
    index: int


MESSAGES = (
    RequestVote,
    VoteReply,
    Append,
    AppendReply,
    Install,
    InstallReply,
    NotMember,
    HandOver,
)

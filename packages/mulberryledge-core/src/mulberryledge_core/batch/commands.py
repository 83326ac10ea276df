"""
mulberryledge_core.batch.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of the replicated state of jobs, and their encoding. One log entry holds all
changes of one round of the scheduler.
"""

from dataclasses import dataclass
from enum import StrEnum

from mulberryledge_core.batch.configuration import FleetConfiguration
from mulberryledge_core.batch.records import UpkeepPhase
from mulberryledge_core.batch.specs import JobSpec
from mulberryledge_core.batch.targets import Target
from mulberryledge_core.consensus.wire import MessageTable

__all__ = [
    "BeginWave",
    "CancelJob",
    "EndLife",
    "EndRun",
    "ForgetJobs",
    "MarkUpkeep",
    "NoteTarget",
    "OpenOccurrence",
    "PutConfiguration",
    "Round",
    "RunEnd",
    "StartRun",
    "SubmitJob",
    "decode_round",
    "encode_round",
]


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"  # the target did not start it, and never will


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """
    Replace the configuration if the version is higher.

    Attributes
    ----------
    text : bytes
        What the operator sent, for reading back.
    """

    configuration: FleetConfiguration
    text: bytes


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accept a job; a resend of one that is known changes nothing."""

    job_id: str
    queue: str
    team: str
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job for good."""

    job_id: str


@dataclass(frozen=True, slots=True)
class ForgetJobs:
    """Drop the records of ended jobs."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenOccurrence:
    """Make the steps of an occurrence ready, as its time has come."""

    job_id: str
    occurrence: int


@dataclass(frozen=True, slots=True)
class StartRun:
    """Intend to start a run of a task on one life of a target."""

    job_id: str
    occurrence: int
    step: int
    index: int
    run: int
    life: str


@dataclass(frozen=True, slots=True)
class EndRun:
    """Take note that a run has ended, or never will begin."""

    job_id: str
    occurrence: int
    step: int
    index: int
    run: int
    how: RunEnd
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class NoteTarget:
    """Take note of a target, or of what has changed about it."""

    target: Target


@dataclass(frozen=True, slots=True)
class EndLife:
    """Take note that one life of a target is over, and all its runs with it."""

    life: str


@dataclass(frozen=True, slots=True)
class BeginWave:
    """
    Begin the upkeep of some hosts.

    Attributes
    ----------
    duration_ms : int
        Time in which all of them are to have had it.
    limit : int
        Most hosts that may be away for it at once.
    """

    wave: int
    hosts: tuple[str, ...]
    duration_ms: int
    limit: int


@dataclass(frozen=True, slots=True)
class MarkUpkeep:
    """
    Record how far the upkeep of a host is.

    Attributes
    ----------
    phase : UpkeepPhase
        How far it is.
    life : str
        Life of the target on the host when the upkeep was ordered.
    """

    wave: int
    host: str
    phase: UpkeepPhase
    life: str = ""


COMMANDS = MessageTable(
    (
        PutConfiguration,
        SubmitJob,
        CancelJob,
        ForgetJobs,
        OpenOccurrence,
        StartRun,
        EndRun,
        NoteTarget,
        EndLife,
        BeginWave,
        MarkUpkeep,
    )
)


@dataclass(frozen=True, slots=True)
class Round:
    """
    The changes of one round, in order.

    Attributes
    ----------
    term : int
        Term of the leader that planned them; in any other term they are void.
    """

    term: int
    changes: tuple[object, ...] = ()


def encode_round(planned: Round) -> bytes:
    """Encode a round for the log."""
    return COMMANDS.encode_many(planned.term, planned.changes)


def decode_round(data: bytes) -> Round:
    """
    Decode what :func:`encode_round` wrote.

    Raises
    ------
    ValueError
        If it holds a change that is unknown to this release.
    """
    term, changes = COMMANDS.decode_many(data)
    return Round(term, changes)

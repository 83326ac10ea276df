"""
mulberryledge_core.batch.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that change the replicated state of jobs, and their encoding. One log entry
holds the change set of one scheduling cycle.
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
    "ChangeSet",
    "EndIncarnation",
    "EndRun",
    "MarkUpkeep",
    "OpenOccurrence",
    "PutConfiguration",
    "RecordTarget",
    "RemoveJobs",
    "RunEnd",
    "StartRun",
    "SubmitJob",
    "decode_change_set",
    "encode_change_set",
]


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"  # the target's lease expired, or its incarnation ended
    GANG_ABORTED = "broken"  # another member of the gang ended without success
    GANG_TIMED_OUT = "alone"  # the other members of the gang did not start in time
    REFUSED = "refused"  # the target did not start the run and never will


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """
    Replace the configuration if the version is higher.

    Attributes
    ----------
    text : bytes
        The document as the operator sent it, returned when the configuration is read.
    """

    configuration: FleetConfiguration
    text: bytes


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accept a job; submitting a known job again has no effect."""

    job_id: str
    queue: str
    team: str
    spec: JobSpec


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job permanently."""

    job_id: str


@dataclass(frozen=True, slots=True)
class RemoveJobs:
    """Remove the records of ended jobs."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpenOccurrence:
    """Make the steps of an occurrence that is due ready."""

    job_id: str
    occurrence: int


@dataclass(frozen=True, slots=True)
class StartRun:
    """Record the intent to start a run of a task on one incarnation of a target."""

    job_id: str
    occurrence: int
    step: int
    index: int
    run: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class EndRun:
    """Record that a run has ended, or will never start."""

    job_id: str
    occurrence: int
    step: int
    index: int
    run: int
    how: RunEnd
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class RecordTarget:
    """
    Record a target, or a change of its attributes.

    Attributes
    ----------
    sequence : int
        Number of the announcement among those of its incarnation; an earlier one than
        the latest recorded has no effect.
    """

    target: Target
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class EndIncarnation:
    """Record that an incarnation of a target has ended, and all its runs with it."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class BeginWave:
    """
    Start a maintenance wave.

    Attributes
    ----------
    duration_ms : int
        Time within which the upkeep of all hosts should be complete.
    limit : int
        Maximum number of hosts that may be down for upkeep at once.
    """

    wave: int
    hosts: tuple[str, ...]
    duration_ms: int
    limit: int


@dataclass(frozen=True, slots=True)
class MarkUpkeep:
    """
    Record the phase of a host's upkeep.

    Attributes
    ----------
    incarnation : str
        Incarnation of the target on the host when the upkeep was ordered.
    """

    wave: int
    host: str
    phase: UpkeepPhase
    incarnation: str = ""


COMMANDS = MessageTable(
    (
        PutConfiguration,
        SubmitJob,
        CancelJob,
        RemoveJobs,
        OpenOccurrence,
        StartRun,
        EndRun,
        RecordTarget,
        EndIncarnation,
        BeginWave,
        MarkUpkeep,
    )
)


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """
    The changes of one scheduling cycle, in order.

    Attributes
    ----------
    term : int
        Term of the leader that planned them; they are void in any other term.
    """

    term: int
    changes: tuple[object, ...] = ()


def encode_change_set(planned: ChangeSet) -> bytes:
    """Encode a change set for the log."""
    return COMMANDS.encode_many(planned.term, planned.changes)


def decode_change_set(data: bytes) -> ChangeSet:
    """
    Decode the output of :func:`encode_change_set`.

    Raises
    ------
    ValueError
        If it contains a command that this release does not know.
    """
    term, changes = COMMANDS.decode_many(data)
    return ChangeSet(term, changes)

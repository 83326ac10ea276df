"""
mulberryledge_core.consensus.timing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The times and bounds that the replicated log goes by.
"""

from dataclasses import dataclass

__all__ = ["Bounds", "Timing"]

PERCENT = 100


@dataclass(frozen=True, slots=True)
class Timing:
    """
    Times in milliseconds of a monotonic clock.

    Attributes
    ----------
    heartbeat_ms, learner_heartbeat_ms : int
        Longest silence of a leader towards a voter, and towards a learner.
    election_min_ms, election_max_ms : int
        A follower starts an election after a silence drawn from this range; no
        voter votes within the lower end after it heard from a leader.
    lease_ms : int
        Length of a freshness lease on the clock of its holder.
    drift_percent : int
        Largest difference in rate between any two clocks.
    retry_ms : int
        Silence after which unanswered entries are sent again.
    """

    heartbeat_ms: int = 280
    learner_heartbeat_ms: int = 580
    election_min_ms: int = 900
    election_max_ms: int = 1_400
    lease_ms: int = 2_400
    drift_percent: int = 5
    retry_ms: int = 1_000

    @property
    def lease_held_ms(self) -> int:
        """Longest time that a lease may last on the clock of its grantor."""
        return self.lease_ms * (PERCENT + self.drift_percent) // PERCENT

    @property
    def leader_lease_ms(self) -> int:
        """Time for which a confirmed quorum cannot have elected another leader."""
        return self.election_min_ms * (PERCENT - self.drift_percent) // PERCENT


@dataclass(frozen=True, slots=True)
class Bounds:
    """
    Bounds in bytes on what is under way.

    Attributes
    ----------
    batch : int
        Entries in one message, and one chunk of a snapshot.
    in_flight : int
        Unanswered entries towards one member.
    uncommitted : int
        Entries that the leader holds without a quorum.
    """

    batch: int = 65_536
    in_flight: int = 262_144
    uncommitted: int = 8_388_608

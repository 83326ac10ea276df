"""
mulberryledge_core.consensus.timing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Timeouts and size limits of the replicated log.
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
        Longest interval between a leader's messages to a voter, and to a learner.
    election_min_ms, election_max_ms : int
        Range of the random election timeout. A voter grants no vote within the
        lower end after a message from a leader.
    lease_ms : int
        Duration of a freshness lease on the clock of its holder.
    max_drift_percent : int
        Largest difference in rate between any two clocks.
    retry_ms : int
        Time without a reply after which unacknowledged entries are sent again.
    """

    heartbeat_ms: int = 280
    learner_heartbeat_ms: int = 580
    election_min_ms: int = 900
    election_max_ms: int = 1_400
    lease_ms: int = 2_400
    max_drift_percent: int = 5
    retry_ms: int = 1_000

    @property
    def grantor_lease_ms(self) -> int:
        """Longest duration of a freshness lease on the clock of the leader."""
        return self.lease_ms * (PERCENT + self.max_drift_percent) // PERCENT

    @property
    def leader_lease_ms(self) -> int:
        """Time after a quorum's confirmation in which it elects no other leader."""
        return self.election_min_ms * (PERCENT - self.max_drift_percent) // PERCENT


@dataclass(frozen=True, slots=True)
class Bounds:
    """
    Size limits in bytes.

    Attributes
    ----------
    batch_bytes : int
        Entries in one message, or one chunk of a snapshot.
    in_flight_bytes : int
        Entries sent to one member and not acknowledged.
    uncommitted_bytes : int
        Entries in the leader's log that are not committed.
    """

    batch_bytes: int = 65_536
    in_flight_bytes: int = 262_144
    uncommitted_bytes: int = 8_388_608

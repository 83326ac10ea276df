"""
mulberryledge_daemon.log.options
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Options of the replicated log that are not settings.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.timing import Timing
from mulberryledge_daemon.log.address_bootstrap import AddressBootstrap
from mulberryledge_daemon.log.replica import StateMachine
from mulberryledge_daemon.peers.link import LinkTiming

__all__ = ["DEFAULT_OPTIONS", "LogOptions"]


@dataclass(frozen=True, slots=True)
class LogOptions:
    """
    Options chosen by the program that opens the log.

    Attributes
    ----------
    machine : StateMachine or None
        State machine of the log's commands; None for that of calls and single jobs.
    address_bootstrap : AddressBootstrap or None
        Bootstrap from addresses; None for bootstrap from the settings' voters.
    min_voters : int
        Minimum number of voters that the leader maintains; 0 leaves it to operators.
    link_timing : LinkTiming
        Detection of silent connections to peers.
    timing : Timing
        Heartbeats, elections and leases.
    tick_s : float
        Period of the checks for heartbeats and elections, in seconds.
    """

    machine: StateMachine | None = None
    address_bootstrap: AddressBootstrap | None = None
    min_voters: int = 0
    link_timing: LinkTiming = LinkTiming()
    timing: Timing = Timing()
    tick_s: float = 0.1


DEFAULT_OPTIONS = LogOptions()

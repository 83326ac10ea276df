"""
mulberryledge_daemon.log.options
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a daemon may choose about its replicated log besides its settings.
"""

from dataclasses import dataclass

from mulberryledge_core.consensus.timing import Timing
from mulberryledge_daemon.log.founding import Founding
from mulberryledge_daemon.log.replica import StateMachine
from mulberryledge_daemon.peers.link import LinkTiming

__all__ = ["DEFAULT_OPTIONS", "LogOptions"]


@dataclass(frozen=True, slots=True)
class LogOptions:
    """
    Choices of the program that opens the log.

    Attributes
    ----------
    machine : StateMachine or None
        What the log's commands are applied to; None for calls and single jobs.
    founding : Founding or None
        How the cluster begins, if not with the voters that the settings name.
    voters : int
        How many voters the leader keeps by itself at least; 0 if operators do.
    link_timing : LinkTiming
        How fast a silent connection to a peer is noticed.
    timing : Timing
        Heartbeats, elections and leases.
    tick_s : float
        Period, in seconds, in which heartbeats and elections are looked at.
    """

    machine: StateMachine | None = None
    founding: Founding | None = None
    voters: int = 0
    link_timing: LinkTiming = LinkTiming()
    timing: Timing = Timing()
    tick_s: float = 0.1


DEFAULT_OPTIONS = LogOptions()

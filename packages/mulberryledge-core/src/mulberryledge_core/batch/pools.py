"""
mulberryledge_core.batch.pools
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How many hosts each pool should have now.

The load it answers: the queues' demand comes in turns, one pool at a time asks for
more than it holds while the others are nearly idle. Hosts cost by the second where
they are, but nothing in the spare pool, and a move costs about as much as a second.
"""

import math
from dataclasses import dataclass

from mulberryledge_core.batch.sizes import Size

__all__ = ["PoolLoad", "PoolPolicy", "wanted_hosts"]


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """
    Weights of the decision.

    Attributes
    ----------
    headroom : float
        Capacity kept for each unit of demand: tasks don't fill hosts exactly, and what
        waits is late while a host costs little by the second.
    least : int
        Hosts that a pool with a queue keeps, so that a job finds one at once.
    first : int
        The same before the first job has come: lasting jobs are handed in before
        others, and stay where they start.
    surplus_ms : int
        How long hosts have to be in surplus before they leave; what a move there
        and back costs is about as much as a host in a pool for this time.
    arrival_ms : int
        Time that a host takes to move.
    """

    headroom: float = 1.6
    least: int = 1
    first: int = 2
    surplus_ms: int = 1_500
    arrival_ms: int = 1_500


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """
    Demand on one pool.

    Attributes
    ----------
    lasting : Size
        All tasks that last, whether they run or not.
    lasting_hosts : int
        Hosts that these need at least.
    due : Size
        What has to run all the time from now on, so that every job that can still be
        in time is.
    arriving_millis : float
        Thousandths of a core that would just keep up with what arrives.
    slack_ms : float
        By how much the jobs that arrive may be delayed.
    host : Size
        What one host holds.
    """

    lasting: Size
    lasting_hosts: int
    due: Size
    arriving_millis: float
    slack_ms: float
    host: Size


def wanted_hosts(load: PoolLoad, policy: PoolPolicy) -> int:
    """
    Return how many hosts a pool should have.

    Jobs that can wait for twice as long as a host takes to arrive ask for hosts once
    they are there. The less they can wait, the more hosts are called for what is
    expected.
    """
    ahead = 2 - load.slack_ms / policy.arrival_ms
    expected = min(1.0, max(0.0, ahead)) * load.arriving_millis
    cpu = policy.headroom * max(load.due.cpu_millis, expected)
    memory = cpu * load.due.memory_mb / max(1, load.due.cpu_millis)
    return max(
        policy.least,
        load.lasting_hosts,
        math.ceil((load.lasting.cpu_millis + cpu) / max(1, load.host.cpu_millis)),
        math.ceil((load.lasting.memory_mb + memory) / max(1, load.host.memory_mb)),
    )

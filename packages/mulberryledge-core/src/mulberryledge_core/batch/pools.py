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
        Capacity kept for each unit of demand; tasks don't fill hosts exactly.
    least : int
        Hosts that a pool with a queue keeps, so that a job finds one at once.
    surplus_ms : int
        How long hosts have to be in surplus before they leave; what a move there
        and back costs is about as much as a host in a pool for this time.
    under_way_share : float
        Share of the work of jobs that run without delay which is still to be done,
        on average.
    """

    headroom: float = 1.15
    least: int = 1
    surplus_ms: int = 1_000
    under_way_share: float = 0.6


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """
    Demand on one pool.

    Attributes
    ----------
    lasting : Size
        All tasks that last, whether they run or not.
    lasting_hosts : int
        Hosts that these need at least, as only so many may share one.
    ready : Size
        Other tasks that run, or could run now.
    arriving_millis : float
        Thousandths of a core that would just keep up with what arrives.
    work : float
        Work of all jobs that have not ended, in thousandths of a core x ms.
    chain_ms, slack_ms : float
        Mean chain of the jobs that arrive, and by how much they may be delayed.
    host : Size
        What one host holds.
    """

    lasting: Size
    lasting_hosts: int
    ready: Size
    arriving_millis: float
    work: float
    chain_ms: float
    slack_ms: float
    host: Size


def wanted_hosts(load: PoolLoad, policy: PoolPolicy) -> int:
    """
    Return how many hosts a pool should have.

    The pool has to keep up with what arrives, and to do what has been delayed within
    the time that jobs may be delayed; what is under way has to end in time even once
    nothing arrives any more.
    """
    usual = policy.under_way_share * load.arriving_millis * load.chain_ms
    delayed = max(0.0, load.work - usual) / load.slack_ms
    keeping_up = policy.headroom * load.arriving_millis + delayed
    ending = load.work / (load.chain_ms + load.slack_ms)
    batch = min(max(keeping_up, ending), policy.headroom * load.ready.cpu_millis)
    batch = max(batch, policy.headroom * load.arriving_millis)
    cpu = load.lasting.cpu_millis + batch
    memory = load.lasting.memory_mb + load.ready.memory_mb * min(
        1.0, batch / max(1, load.ready.cpu_millis)
    )
    return max(
        policy.least,
        load.lasting_hosts,
        math.ceil(cpu / max(1, load.host.cpu_millis)),
        math.ceil(memory / max(1, load.host.memory_mb)),
    )

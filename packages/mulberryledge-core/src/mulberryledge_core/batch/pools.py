"""
mulberryledge_core.batch.pools
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The number of hosts that each pool should have.

Demand arrives in bursts: one pool at a time requests more than it holds while the
others are nearly idle. Hosts cost by the second, except in the spare pool, and a move
costs about as much as a second in a pool.
"""

import math
from dataclasses import dataclass

from mulberryledge_core.batch.sizes import Size

__all__ = ["PoolLoad", "PoolPolicy", "requested_hosts"]


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """
    Parameters of the decision.

    Attributes
    ----------
    headroom : float
        Capacity per unit of demand. Tasks do not fill hosts exactly, and a host costs
        little by the second compared with late jobs.
    min_hosts : int
        Minimum for a pool with a queue, so that a job finds a host at once.
    initial_hosts : int
        The same before the first job is submitted: long-running jobs are submitted
        before others and stay where they start.
    surplus_ms : int
        Time in surplus after which hosts leave a pool; a move there and back costs
        about as much as a host in a pool for this time.
    arrival_ms : int
        Duration of a move of a host.
    """

    headroom: float = 1.6
    min_hosts: int = 1
    initial_hosts: int = 2
    surplus_ms: int = 1_500
    arrival_ms: int = 1_500


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """
    Demand on one pool.

    Attributes
    ----------
    long_running : Size
        All long-running tasks, whether they run or not.
    long_running_hosts : int
        Minimum number of hosts for these.
    due : Size
        Constant load from now on that lets every job that can still meet its objective
        do so.
    arriving_millis : float
        Millicores needed to keep up with arrivals.
    slack_ms : float
        Mean delay that arriving jobs tolerate.
    host : Size
        Capacity of one host.
    """

    long_running: Size
    long_running_hosts: int
    due: Size
    arriving_millis: float
    slack_ms: float
    host: Size


def requested_hosts(load: PoolLoad, policy: PoolPolicy) -> int:
    """
    Return how many hosts a pool should have.

    Jobs that tolerate a delay of twice the duration of a move add to the demand only
    once they have arrived. The less they tolerate, the more hosts are requested for the
    forecast.
    """
    forecast_share = 2 - load.slack_ms / policy.arrival_ms
    expected_millis = min(1.0, max(0.0, forecast_share)) * load.arriving_millis
    cpu_millis = policy.headroom * max(load.due.cpu_millis, expected_millis)
    memory_mb = cpu_millis * load.due.memory_mb / max(1, load.due.cpu_millis)
    return max(
        policy.min_hosts,
        load.long_running_hosts,
        math.ceil(
            (load.long_running.cpu_millis + cpu_millis) / max(1, load.host.cpu_millis)
        ),
        math.ceil(
            (load.long_running.memory_mb + memory_mb) / max(1, load.host.memory_mb)
        ),
    )

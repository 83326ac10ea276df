"""
mulberryledge_daemon.leader.drains
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Asks the jobs that hold a drain to checkpoint, or to stop where they may be repeated.
"""

from collections.abc import Callable

from mulberryledge_core.decisions.preemption import Order
from mulberryledge_core.model.jobs import Job
from mulberryledge_daemon.leader.job_leases import Attempt
from mulberryledge_daemon.leader.jobs import Jobs
from mulberryledge_daemon.leader.planner import allowed_orders
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["PutOff", "ignore_job", "make_put_off"]

PutOff = Callable[[Job, bool], Order]


def ignore_job(job: Job, is_long: bool) -> Order:
    """Ask nothing of a job."""
    return Order.NONE


def make_put_off(log: ReplicatedLog, jobs: Jobs) -> PutOff:
    """
    Return a function that asks a job on a draining host to make room.

    A job checkpoints at once where its queue allows it; it is stopped only once it
    holds the drain for long, and only where it may be repeated.
    """

    def put_off(job: Job, is_long: bool) -> Order:
        service = log.state.services.get(job.service)
        queue = service.document.queue if service is not None else None
        allowed = allowed_orders(job, queue)
        order = Order.NONE
        if Order.CHECKPOINT in allowed:
            order = Order.CHECKPOINT
        elif Order.STOP in allowed and is_long:
            order = Order.STOP
        if order != Order.NONE:
            jobs.order(Attempt(job.job_id, job.attempt), order)
        return order

    return put_off

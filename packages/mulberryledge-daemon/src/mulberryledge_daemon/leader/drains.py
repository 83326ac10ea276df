"""
mulberryledge_daemon.leader.drains
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Preempts jobs that delay a drain: by checkpoint, or by stop if they are repeatable.
"""

from collections.abc import Callable

from mulberryledge_core.decisions.preemption import Order
from mulberryledge_core.model.jobs import Job
from mulberryledge_daemon.leader.job_leases import Attempt
from mulberryledge_daemon.leader.jobs import JobDispatcher
from mulberryledge_daemon.leader.planner import allowed_orders
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["PreemptJob", "make_preempt_job", "never_preempt"]

PreemptJob = Callable[[Job, bool], Order]


def never_preempt(job: Job, is_long: bool) -> Order:
    """Return no order: the job may finish."""
    return Order.NONE


def make_preempt_job(log: ReplicatedLog, jobs: JobDispatcher) -> PreemptJob:
    """
    Return a function that preempts a job on a draining host.

    A job is asked to checkpoint at once if its queue allows it. It is stopped only
    if it is repeatable and has delayed the drain for long.
    """

    def preempt_job(job: Job, is_long: bool) -> Order:
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

    return preempt_job

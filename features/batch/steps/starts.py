"""Steps on durable starts whose orders or outcomes go astray."""

from behave import given, then
from mulberryledge_testing.batch.log import COMMIT_S
from result import Err
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from mulberryledge_core.batch.commands import EndRun, RunEnd, StartRun
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.batch.ports import OrderAnswer, OrderOutcome

LEASE_LOST_S = 0.2


class FaultOnce:
    """Applies a fault once to a call of an object, and passes on all other calls."""

    def __init__(self, owner, name, applies, fault):
        self.usual = getattr(owner, name)
        self.applies = applies
        self.fault = fault
        self.done = False
        setattr(owner, name, self.call)

    def call(self, *arguments):
        if self.done or not self.applies(*arguments):
            return self.usual(*arguments)
        self.done = True
        return self.fault(*arguments)


def always(*arguments):
    return True


def has_start(change_set):
    return any(isinstance(change, StartRun) for change in change_set.changes)


def has_refusal(change_set):
    return any(
        isinstance(change, EndRun) and change.how == RunEnd.REFUSED
        for change in change_set.changes
    )


def lose_lease(day, seconds):
    """Let the leader lose its quorum lease, and regain it in the same term."""
    name = day.log.leader
    day.log.frozen.add(name)
    day.at(seconds, day.log.frozen.discard, name)


def commit_later(day, seconds):
    """Return a function that commits a change set after a delay."""

    def propose(change_set):
        done = Deferred()
        day.at(seconds, day.leader.log.commit, change_set, done)
        return done

    return propose


def commit_after_lease(day, margin_s):
    def fault(change_set):
        lose_lease(day, LEASE_LOST_S)
        return commit_later(day, LEASE_LOST_S + margin_s)(change_set)

    FaultOnce(day.leader.cycles, "propose", has_start, fault)


def interrupt_orders(day):
    def fault(*arguments):
        raise RuntimeError("the order can't be made")

    FaultOnce(day.leader, "order_start", always, fault)


def raise_in_order(day):
    async def fault(*arguments):
        raise RuntimeError("the call failed")

    FaultOnce(day.fleet, "start", always, fault)


def refuse_end_of_refused(day):
    async def shed(target, order):
        return OrderAnswer(OrderOutcome.UNHEALTHY)

    async def refuse(change_set):
        return Err(Refusal(Code.BAD_REQUEST, "can't be encoded"))

    FaultOnce(day.fleet, "start", always, shed)
    FaultOnce(day.leader.cycles, "propose", has_refusal, refuse)


def commit_after_unknown(day):
    async def fault(change_set):
        starts = [one for one in change_set.changes if isinstance(one, StartRun)]
        commit_later(day, 3 * COMMIT_S)(change_set)
        cordon = day.leader.cordon()
        targets = day.leader.state.targets
        cordon.update(targets[one.incarnation].host for one in starts)
        return Err(Refusal(Code.NO_LEADER, "no confirmation in time"))

    FaultOnce(day.leader.cycles, "propose", has_start, fault)


def order_without_lease(day):
    usual = day.leader.on_committed

    def fault(changes):
        lose_lease(day, 0.0)  # regained before the leader's next tick
        usual(changes)

    def starts(changes):
        return any(isinstance(change, StartRun) for change in changes)

    FaultOnce(day.leader.cycles, "on_committed", starts, fault)


FAULTS = {
    "starts are committed 0.5 seconds after the leader has regained its lease": (
        lambda day: commit_after_lease(day, 0.5)
    ),
    "starts are committed 5 ms after the leader has regained its lease": (
        lambda day: commit_after_lease(day, 0.005)
    ),
    "an error interrupts the orders of a change set": interrupt_orders,
    "the first order of a start raises an error": raise_in_order,
    "the end of a refused start can't be committed at first": refuse_end_of_refused,
    "starts are committed after their outcome counted as unknown": (
        commit_after_unknown
    ),
    "the leader has no lease while it orders starts": order_without_lease,
}


def watch_starts(context):
    """Collect the runs that start on a target that the log doesn't name."""
    context.misplaced_starts = []
    day = context.fixture.day
    check_event = day.checker.on_event

    def on_event(what, target, task, run, how):
        if what == "start":
            named = day.log.machine.state.task(task).live.get(run)
            if named != target.target.incarnation:
                context.misplaced_starts.append((task, run, named))
        check_event(what, target, task, run, how)

    for process in day.fleet.targets.values():
        process.watch = on_event


@given("an idle fleet on which {what}")
def fleet_with_fault(context, what):
    context.execute_steps("Given an idle fleet")
    watch_starts(context)
    FAULTS[what](context.fixture.day)


@given(
    "a start that arrives {late:f} seconds late, while the leader has no lease for"
    " {seconds:f}"
)
def late_start(context, late, seconds):
    day = context.fixture.day

    async def fault(target, order):
        cordon = day.leader.cordon()
        day.leader.takeover_callbacks.append(lambda: cordon.add(target.host))
        lose_lease(day, seconds)
        await deferLater(day.clock, late)
        return await orders.usual(target, order)

    orders = FaultOnce(day.fleet, "start", always, fault)


@then("it has proposed no change meanwhile")
def nothing_proposed(context):
    assert not context.proposed, context.proposed


@then("no invariant was violated on the fleet")
def no_problems(context):
    problems = context.fixture.day.checker.problems
    assert not problems, problems


@then("each run was started on the target that the log names")
def starts_as_named(context):
    assert not context.misplaced_starts, context.misplaced_starts

"""Steps on requests that an entry sends to the leader more than once."""

from dataclasses import replace
from random import Random

from behave import given, then, when
from mulberryledge_testing.batch.target import TaskTruth
from twisted.internet.defer import Deferred, ensureDeferred

from mulberryledge_core.batch.admission import MAX_OPEN_TASKS
from mulberryledge_core.batch.commands import PutConfiguration
from mulberryledge_core.batch.requests import CancelAsk, SubmitAsk
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec
from mulberryledge_core.consensus.members import Configuration
from mulberryledge_daemon.batch.gateway import Gateway
from mulberryledge_daemon.log.channel import RequestChannel
from mulberryledge_daemon.peers.link import LinkTiming
from mulberryledge_daemon.peers.messages import MemberDirectory

LEADER, JOB = "core-1", "5c0e7a21d94b36f8"
SPEC = JobSpec("", (StepSpec(1, Size(1_000, 64), 200),))
SESSION = "0f" * 16
WAIT_S = 3.0
LATENCY_S = 0.0015
SETTLE_S = 0.2


class EntryFixture:
    """
    An entry on a simulated fleet, connected to the service of its leader.

    Attributes
    ----------
    fault : str
        What happens to the first request: "answer" is lost, the "request" is delayed
        for longer than the caller waits, or empty.
    """

    def __init__(self, admission, fault):
        self.admission = admission
        self.fault = fault
        self.day = admission.day
        self.sends = 0
        self.replies = []
        self.gateway = Gateway(self.day.clock, "entry-1", (), LinkTiming(), Random(1))
        self.gateway.directory = MemberDirectory(1, LEADER, Configuration())
        self.gateway.channel.send = self.deliver
        self.leader_channel = RequestChannel(
            self.day.clock, lambda: LEADER, lambda: True, self.reply, SESSION
        )
        admission.service.serve(self.leader_channel.serve)
        self.day.truths[JOB] = (TaskTruth(SPEC.steps[0], 1_000.0),)

    def deliver(self, leader, ask):
        """Deliver a request to the leader's service."""
        self.sends += 1
        if self.sends > 1 or self.fault != "request":
            on_ask = self.leader_channel.on_ask
            self.day.clock.callLater(LATENCY_S, on_ask, "entry-1", ask)
        return True

    def reply(self, entry, reply):
        """Deliver an answer to the entry."""
        if self.sends > 1 or self.fault != "answer":
            self.gateway.channel.on_reply(reply)
        return True

    def call(self, message):
        """Forward a caller's request."""
        called = ensureDeferred(self.gateway.forward(message, WAIT_S))
        called.addCallback(self.replies.append)
        self.day.pass_time(SETTLE_S)

    def lose_connection(self):
        """Lose the connection to the leader, and connect again."""
        self.gateway.channel.on_closed(LEADER)
        self.day.pass_time(2 * SETTLE_S)


def apply_change(fixture, change):
    """Change the configuration or the load of the leader."""
    leader = fixture.day.leader
    old = leader.state.configuration
    queues, teams = old.queues, old.teams
    if change == "its key is withdrawn":
        teams = tuple(replace(team, keys=()) for team in teams)
    elif change == "its queue is removed":
        queues = tuple(queue for queue in queues if queue.name != "plan")
    elif change == "the leader is full":
        fixture.admission.service.count_open = lambda: None
        fixture.admission.service.open_tasks = MAX_OPEN_TASKS + 1
        fixture.admission.service.last_count_ms = 10**9
        return
    new = replace(old, version=old.version + 1, queues=queues, teams=teams)
    leader.cycles.submit(PutConfiguration(new, b""))
    fixture.day.pass_time(SETTLE_S)


@given("an idle fleet, and an entry that loses the first answer of the leader")
def entry_without_answer(context):
    context.execute_steps("Given an idle fleet")
    context.entry = EntryFixture(context.fixture, "answer")


@given("an idle fleet, and an entry whose first request is delayed")
def entry_with_delay(context):
    context.execute_steps("Given an idle fleet")
    context.entry = EntryFixture(context.fixture, "request")


@given("an idle fleet, and an entry that loses no answer")
def sound_entry(context):
    context.execute_steps("Given an idle fleet")
    context.entry = EntryFixture(context.fixture, "")


def request_message(context, request):
    """Return the message of a request; a job to cancel is submitted first."""
    path = f"/plan/{JOB}"
    submission = SubmitAsk("example", path, "key-0", SPEC)
    if request == "submits a job":
        return submission
    accepted = ensureDeferred(context.fixture.service.answer(submission))
    accepted.addCallback(lambda reply: reply.unwrap())
    context.fixture.day.pass_time(SETTLE_S)
    return CancelAsk("example", path, "key-0")


@when("a caller {request}, and {change} before the entry sends it again")
def call_with_change(context, request, change):
    entry = context.entry
    entry.call(request_message(context, request))
    assert entry.sends == 1 and not entry.replies, entry.replies
    apply_change(entry, change)
    entry.lose_connection()
    assert entry.sends == 2, entry.sends


@when("a caller submits a job through another entry, and its key is withdrawn")
def submit_elsewhere(context):
    accepted = ensureDeferred(
        context.fixture.service.answer(request_message(context, "submits a job"))
    )
    accepted.addCallback(lambda reply: reply.unwrap())
    context.fixture.day.pass_time(SETTLE_S)
    apply_change(context.entry, "its key is withdrawn")


@when("the caller submits it again, and the entry sends it twice")
def submit_again(context):
    context.entry.fault = "answer"
    context.entry.call(request_message(context, "submits a job"))
    context.entry.lose_connection()
    assert context.entry.sends == 2, context.entry.sends


@when("a caller submits a job, and another leader without its key gets it again")
def submit_to_new_leader(context):
    entry = context.entry
    entry.call(request_message(context, "submits a job"))
    apply_change(entry, "its key is withdrawn")
    entry.admission.service.confirmed.clear()  # another leader has no such memory
    entry.lose_connection()
    assert entry.sends == 2, entry.sends


@when("{change}, and a caller submits a job")
def change_and_call(context, change):
    apply_change(context.entry, change)
    context.entry.call(request_message(context, "submits a job"))
    assert context.entry.sends == 1, context.entry.sends


@then('the caller is told "{verdict}"')
def caller_told(context, verdict):
    found = [reply.verdict for reply in context.entry.replies]
    assert found == [verdict], context.entry.replies


@then("the caller's job is accepted")
def job_accepted(context):
    jobs = context.fixture.day.log.machine.state.jobs
    assert jobs[JOB].phase in ("queued", "running", "completed"), jobs[JOB].phase


@then("the caller's job is cancelled")
def job_cancelled(context):
    assert context.fixture.day.log.machine.state.jobs[JOB].phase == "cancelled"


@then("the caller's job is unknown")
def job_unknown(context):
    assert JOB not in context.fixture.day.log.machine.state.jobs


@when("an entry restarts, and the leader's answer to its former request arrives")
def answer_after_restart(context):
    asks = []
    for fixture in (context.entry, EntryFixture(context.fixture, "request")):
        fixture.gateway.channel.send = lambda leader, ask: asks.append(ask) or True
        fixture.call(request_message(context, "submits a job"))
    former, _ = asks
    restarted = fixture
    leader_channel = RequestChannel(
        context.entry.day.clock,
        lambda: LEADER,
        lambda: True,
        lambda name, reply: restarted.gateway.channel.on_reply(reply),
        SESSION,
    )
    context.fixture.service.serve(leader_channel.serve)
    leader_channel.on_ask("entry-1", former)
    context.entry.day.pass_time(SETTLE_S)
    context.restarted = restarted


@then("the caller of the restarted entry is told nothing yet")
def nothing_told(context):
    assert context.restarted.replies == [], context.restarted.replies


@when("a caller {request}, and the leader {end} before that is durable")
def leader_resigns(context, request, end):
    entry = context.entry
    message = request_message(context, request)
    cycles = entry.day.leader.cycles
    called = ensureDeferred(entry.gateway.forward(message, WAIT_S))
    called.addCallback(entry.replies.append)
    while not cycles.in_progress:
        entry.day.pass_time(LATENCY_S)
    assert not entry.replies, entry.replies
    term = cycles.term
    cycles.stop()
    if end == "resigns and is elected again":
        entry.day.pass_time(SETTLE_S)
        cycles.start(term)
        entry.day.pass_time(SETTLE_S)
    else:
        entry.day.leader.may_order = lambda: False


@then('the caller is told nothing until it stops waiting, and "{verdict}" then')
def told_at_the_end(context, verdict):
    entry = context.entry
    entry.day.pass_time(WAIT_S / 2)
    assert not entry.replies, entry.replies
    entry.day.pass_time(WAIT_S / 2)
    caller_told(context, verdict)


@when("two callers submit the same job, and the leader's cycle raises an error")
def submit_with_error(context):
    entry = context.entry
    cycles = entry.day.leader.cycles
    submit, changes = cycles.submit, []

    def hold(change):
        changes.append(Deferred())
        return changes[-1]

    cycles.submit = hold
    message = request_message(context, "submits a job")
    outcomes = context.outcomes = []
    for number in (1, 2):
        ask = replace(message, request_id=f"caller-{number}")
        answered = ensureDeferred(context.fixture.service.answer(ask))
        answered.addCallbacks(
            lambda reply: outcomes.append(reply.unwrap().verdict),
            lambda failure: outcomes.append("unknown"),  # as the channel says it
        )
    cycles.submit = submit
    (held,) = changes
    held.errback(RuntimeError("no such field"))


@then('both callers are told "{first}", and a third one is told "{second}"')
def both_told(context, first, second):
    assert context.outcomes == [first, first], context.outcomes
    context.entry.call(request_message(context, "submits a job"))
    caller_told(context, second)

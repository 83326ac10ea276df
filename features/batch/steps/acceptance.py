"""Steps on what callers are told of their jobs, and what becomes of these."""

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from behave import given, then, when
from result import Err
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from mulberryledge_core.batch.commands import (
    CancelJob,
    PutConfiguration,
    RemoveJobs,
    SubmitJob,
)
from mulberryledge_core.batch.configuration import (
    FleetConfiguration,
    PoolConfig,
    Queue,
    TeamConfig,
)
from mulberryledge_core.batch.machine import BatchMachine
from mulberryledge_core.batch.requests import (
    CancelAsk,
    JobStateAsk,
    SubmitAsk,
    Verdict,
)
from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec
from mulberryledge_core.consensus.members import Configuration
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_core.state.tables import Context
from mulberryledge_daemon.batch.gateway import Gateway
from mulberryledge_daemon.batch.scheduling_cycles import SchedulingCycles
from mulberryledge_daemon.batch.service import JobService
from mulberryledge_daemon.log.channel import RequestChannel
from mulberryledge_daemon.peers.link import LinkTiming
from mulberryledge_daemon.peers.messages import MemberDirectory

STEP_S = 0.001
COMMIT_S = 0.012
LATENCY_S = 0.0015
SESSION = "0f" * 16
WAIT_S = 3.0  # of a caller
DELAY_S = 5.0  # of a request that is held up on its way
QUEUES, KEYS = ("plan", "load"), ("key-0", "key-1")
DAEMONS = ("core-1", "core-2", "core-3")
SPEC = JobSpec("", (StepSpec(1, Size(1_000, 64), 200),))
REFUSALS = (
    Verdict.INVALID,
    Verdict.BAD_KEY,
    Verdict.NO_QUEUE,
    Verdict.REFUSED,
    Verdict.UNAVAILABLE,
)
ENDED = ("completed", "failed", "cancelled")


def manifest(version, queues=QUEUES, keys=KEYS):
    """Return the change that puts a manifest with some queues and keys in force."""
    fleet = FleetConfiguration(
        version,
        tuple(Queue(name, "example", f"/{name}/", "rounds") for name in queues),
        (PoolConfig("rounds"),),
        tuple(TeamConfig(f"team-{key}", (key,)) for key in keys),
    )
    return PutConfiguration(fleet, b"{}")


class Daemon:
    """
    One core machine: a replica, and the service while it leads.

    Attributes
    ----------
    committed : list
        Changes that the leader's tasks were told of.
    """

    def __init__(self, cluster, name, snapshot=None):
        self.cluster = cluster
        self.name = name
        self.machine = BatchMachine()
        if snapshot is not None:
            self.machine.restore(snapshot)
        self.state = self.machine.state
        self.random = cluster.random
        self.tick_callbacks, self.commit_callbacks = [], []
        self.committed = []
        self.cycles = SchedulingCycles(
            cluster.clock, self.propose, lambda changes: [], self.committed.extend
        )
        self.service = JobService(self, list)
        self.channel = RequestChannel(
            cluster.clock, lambda: cluster.leader, self.may_order, self.reply, SESSION
        )
        self.service.serve(self.channel.serve)

    @property
    def term(self):
        return self.cycles.term

    def now(self):
        return int(self.cluster.clock.seconds() * 1_000)

    def may_order(self):
        return self.cycles.term is not None and self.cluster.leader == self.name

    def propose(self, change_set):
        return self.cluster.propose(self, change_set)

    def reply(self, entry, reply):
        self.cluster.deliver(self.cluster.gateways[entry].channel.on_reply, reply)
        return True


@dataclass
class Proposal:
    """A change set that isn't committed yet."""

    daemon: Daemon
    data: bytes
    done: Deferred = field(default_factory=Deferred)


class Cluster:
    """
    Core machines with one log, and entries, in virtual time.

    Attributes
    ----------
    loss : float
        Share of the messages between entries and core machines that are lost.
    """

    def __init__(self, seed, loss=0.0):
        self.clock = Clock()
        self.random = Random(seed)
        self.loss = loss
        self.term, self.leader, self.index = 0, "", 0
        self.proposals = []
        self.gateways = {}
        self.daemons = {name: Daemon(self, name) for name in DAEMONS}
        for name in ("entry-1", "entry-2"):
            self.gateways[name] = self.make_gateway(name)
        self.elect(DAEMONS[0])
        self.version = 1
        self.put(self.version)

    def make_gateway(self, name):
        gateway = Gateway(self.clock, name, (), LinkTiming(), Random(1))

        def send(leader, ask):
            self.deliver(self.receive, leader, name, ask)
            return True

        gateway.channel.send = send
        return gateway

    def receive(self, leader, entry, ask):
        self.daemons[leader].channel.on_ask(entry, ask)

    def deliver(self, receiver, *arguments):
        """Deliver a message, unless it is lost; some arrive seconds late."""
        delay_s = LATENCY_S
        if self.random.random() < self.loss:
            if self.random.random() < 0.5:
                return
            delay_s = self.random.uniform(0, DELAY_S)
        self.clock.callLater(delay_s, receiver, *arguments)

    def propose(self, daemon, change_set):
        proposal = Proposal(daemon, daemon.machine.encode(change_set))
        self.proposals.append(proposal)
        self.clock.callLater(COMMIT_S, self.commit, proposal)
        return proposal.done

    def commit(self, proposal):
        """Commit a proposal of the present leader."""
        if proposal in self.proposals:
            self.proposals.remove(proposal)
            proposal.done.callback(self.apply(proposal))

    def apply(self, proposal):
        """Apply a proposal on all replicas; return the outcome on its proposer's."""
        self.index += 1
        outcome = None
        context = Context(self.index, proposal.daemon.now(), self.term)
        for daemon in self.daemons.values():
            result = daemon.machine.apply(daemon.machine.decode(proposal.data), context)
            if daemon is proposal.daemon:
                outcome = result
        return outcome

    def elect(self, name):
        """
        Make a daemon the leader, in a new term.

        Each change set under way is either in the new leader's log or void; its
        proposer may hear of that or not.
        """
        for proposal in self.proposals:
            outcome = Err(Refusal(Code.STALE, "void"))
            if self.random.random() < 0.5:
                outcome = self.apply(proposal)
            if self.random.random() < 0.5:
                outcome = Err(Refusal(Code.NO_LEADER, "no confirmation"))
            self.clock.callLater(LATENCY_S, proposal.done.callback, outcome)
        self.proposals.clear()
        former = self.daemons.get(self.leader)
        self.term += 1
        self.leader = name
        if former is not None:
            former.cycles.stop()
        self.daemons[name].cycles.start(self.term)
        for gateway in self.gateways.values():
            directory = MemberDirectory(self.term, name, Configuration())
            gateway.on_directory(name, directory)

    def restart(self, name):
        """Replace a daemon that doesn't lead by one that restores a snapshot."""
        if name != self.leader:
            snapshot = self.daemons[self.leader].machine.snapshot()
            self.daemons[name] = Daemon(self, name, snapshot)

    def put(self, version, queues=QUEUES, keys=KEYS):
        self.daemons[self.leader].cycles.submit(manifest(version, queues, keys))

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def jobs(self):
        """Return the jobs by the leader's state."""
        return self.daemons[self.leader].state.jobs


@given("a leader with a service for callers")
def leader_with_service(context):
    context.cluster = Cluster(1)
    context.cluster.pass_time(0.1)
    context.leader = context.cluster.daemons[DAEMONS[0]]
    context.leader.committed.clear()
    context.replies = []


def ask(context, kind, *arguments):
    message = kind("example", "/plan/00000000000000aa", "key-0", *arguments)
    answered = ensureDeferred(context.leader.service.answer(message))
    answered.addCallback(lambda reply: context.replies.append(reply.unwrap()))


def drop_queue_beside(context, submissions):
    context.cluster.put(2, ("load",))
    for _ in range(submissions):
        ask(context, SubmitAsk, SPEC)
    context.cluster.pass_time(0.1)


@when("a manifest that drops the queue and a job for it share a cycle")
def drop_beside_job(context):
    drop_queue_beside(context, 1)


@when("a manifest that drops the queue and two submissions of one job share a cycle")
def drop_beside_two(context):
    drop_queue_beside(context, 2)


@when("the removal of an ended job's record and its cancellation share a cycle")
def remove_beside_cancel(context):
    cycles = context.leader.cycles
    cycles.submit(SubmitJob("00000000000000aa", "plan", "team-key-0", SPEC))
    context.cluster.pass_time(0.1)
    cycles.submit(CancelJob("00000000000000aa"))
    cycles.submit(RemoveJobs(("00000000000000aa",)))
    ask(context, CancelAsk)
    context.cluster.pass_time(0.1)


def verdicts(context):
    return [reply.verdict for reply in context.replies]


@then('the submission is answered "{verdict}"')
@then('the cancellation is answered "{verdict}"')
def answered(context, verdict):
    assert verdicts(context) == [verdict], context.replies


@then('both submissions are answered "{verdict}"')
def both_answered(context, verdict):
    assert verdicts(context) == [verdict] * 2, context.replies


@then('the job is recorded nowhere, and its state is asked for as "{verdict}"')
def recorded_nowhere(context, verdict):
    for daemon in context.cluster.daemons.values():
        assert "00000000000000aa" not in daemon.state.jobs, daemon.name
    ask(context, JobStateAsk)
    context.cluster.pass_time(0.1)
    assert verdicts(context)[-1] == verdict, context.replies


@then("the leader's tasks were told of the manifest only")
def told_of_manifest(context):
    kinds = [type(change) for change in context.leader.committed]
    assert kinds == [PutConfiguration], kinds


class Callers:
    """
    Callers that submit, resend and cancel jobs at random, and what they were told.

    Attributes
    ----------
    replies : dict of (str, str) to list
        By kind of request and job: the verdict of each request, None while it waits.
    """

    def __init__(self, cluster, random):
        self.cluster = cluster
        self.random = random
        self.replies = defaultdict(list)

    def act(self):
        """Submit a new or a known job, or cancel a known one."""
        number = self.random.randrange(12)
        job_id, queue = f"{number:016x}", QUEUES[number % len(QUEUES)]
        common = ("example", f"/{queue}/{job_id}", KEYS[number % len(KEYS)])
        cancels = self.random.random() < 0.15
        message = CancelAsk(*common) if cancels else SubmitAsk(*common, SPEC)
        verdicts = self.replies["cancel" if cancels else "submit", job_id]
        place = len(verdicts)
        verdicts.append(None)
        gateway = self.random.choice(list(self.cluster.gateways.values()))

        def record(reply):
            assert verdicts[place] is None, (job_id, "two answers")
            verdicts[place] = reply.verdict

        called = ensureDeferred(gateway.forward(message, WAIT_S))
        called.addCallback(record)

    def check_answered(self, seed):
        """Check that each request has an answer."""
        for key, verdicts in self.replies.items():
            assert None not in verdicts, (seed, key, "no answer", verdicts)

    def check_kept(self, seed, daemon):
        """Check one replica against what callers were told so far."""
        for (kind, job_id), verdicts in self.replies.items():
            job = daemon.state.jobs.get(job_id)
            if Verdict.OK in verdicts:
                assert job is not None, (seed, daemon.name, kind, job_id, "lost")
                if kind == "cancel":
                    assert job.phase in ENDED, (seed, daemon.name, job_id, job.phase)

    def check_refused(self, seed):
        """Check that what was always refused had no effect."""
        jobs = self.cluster.jobs()
        for (kind, job_id), verdicts in self.replies.items():
            if not all(verdict in REFUSALS for verdict in verdicts):
                continue
            if kind == "submit":
                assert job_id not in jobs, (seed, job_id, verdicts, "runs")
            elif job_id in jobs:
                assert not jobs[job_id].ended, (seed, job_id, verdicts, "cancelled")


def change_manifest(cluster, random):
    cluster.version += random.choice((0, 1, 1, 2))
    queues = tuple(name for name in QUEUES if random.random() < 0.7)
    keys = tuple(key for key in KEYS if random.random() < 0.8)
    cluster.put(cluster.version, queues, keys)


def play_history(seed):
    """Play one random history; each replica is compared after each event."""
    random = Random(seed)
    cluster = Cluster(seed, loss=random.choice((0.0, 0.1, 0.3)))
    cluster.pass_time(0.1)
    callers = Callers(cluster, random)
    for _ in range(60):
        event = random.random()
        if event < 0.7:
            callers.act()
        elif event < 0.85:
            change_manifest(cluster, random)
        elif event < 0.95:
            cluster.elect(random.choice(DAEMONS))
        else:
            cluster.restart(random.choice(DAEMONS))
        cluster.pass_time(random.choice((0, 0, 0.003, 0.02, 0.1)))
        for daemon in cluster.daemons.values():
            callers.check_kept(seed, daemon)
    cluster.pass_time(WAIT_S + DELAY_S)
    callers.check_answered(seed)
    callers.check_kept(seed, cluster.daemons[cluster.leader])
    callers.check_refused(seed)


@then(
    "in {count:d} random histories of callers, manifests and leaders each request gets"
    " one answer that stays true"
)
def histories(context, count):
    for seed in range(count):
        play_history(seed)

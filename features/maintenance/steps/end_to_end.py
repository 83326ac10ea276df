"""Steps on a wave through one real daemon on loopback."""

import json
import os
import time
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when
from cleo.testers.application_tester import ApplicationTester
from mulberryledge_testing.callers import Caller
from mulberryledge_testing.platform import StandInPlatform
from mulberryledge_testing.processes import running_cluster, wait_until
from mulberryledge_testing.reactor_thread import run_coroutine
from mulberryledge_testing.targets import StandInTarget
from result import Ok
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.internet.threads import deferToThread

from mulberryledge_cli.main import make_application
from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam, GiveKey
from mulberryledge_core.keys import KEY_BYTES, digest_secret, make_key
from mulberryledge_daemon.daemon import open_daemon
from mulberryledge_daemon.settings import (
    DaemonSection,
    OperatorSection,
    PlatformSection,
    Settings,
    TimingSection,
)

SALT = bytes(16)
OPERATOR_KEY = "mlk_operator_test"
EXTRA = """
[platform]
url = "{url}"
[timing]
target_lease_s = 4.0
probation_s = 0.3
"""
CALL_S = 0.03
CALLERS = 4
DOCUMENT = """
[service]
name = "{name}"
team = "dispatch"
pool = "interior"
[calls]
deadline_ms = 5000
[queue]
lease_ms = 5000
[availability]
min_hosts_serving = 2
"""


class Site:
    """Targets, callers and the platform around one daemon."""

    def __init__(self, propose, url, platform):
        self.propose = propose
        self.url = url
        self.platform = platform
        self.targets = {}
        self.down = set()
        self.busy_at_reboot = []
        self.jobs = set()
        self.ended = []
        self.bad = []
        self.answered = 0
        self.calling = True
        platform.on_reboot = self.on_reboot

    async def set_up(self, services, hosts):
        key = make_key(os.urandom(KEY_BYTES))
        await self.propose(CreatePool("interior"))
        await self.propose(CreateTeam("dispatch", upper_limit=64))
        await self.propose(GiveKey(key.key_id, "dispatch", key.salt, key.digest))
        self.caller = Caller(reactor, self.url, key.text)
        for service in range(services):
            name = f"service-{service}"
            await self.propose(ApplyDocument(DOCUMENT.format(name=name), 1))
            for number in range(hosts):
                await self.add_host(f"host-{service}-{number}", name, f"z{number}")
        self.renewing = LoopingCall(self.renew)
        self.renewing.start(0.3)
        self.calls = [
            ensureDeferred(self.call(f"service-{number % services}", number))
            for number in range(CALLERS)
        ]

    async def add_host(self, host, service, zone):
        await self.propose(AddHost(host, "interior", availability_zone=zone, rack="r"))
        target = StandInTarget(reactor, f"t-{host}", host, service, self.caller)
        target.delay_s = CALL_S
        target.listen()
        await target.announce()
        self.targets[host] = target

    def renew(self):
        for host, target in self.targets.items():
            if host not in self.down:
                ensureDeferred(target.renew())

    def on_reboot(self, host):
        target = self.targets[host]
        if target.running or host in self.jobs:
            self.busy_at_reboot.append(host)
        self.down.add(host)
        ensureDeferred(self.reboot(host, target))

    async def reboot(self, host, target):
        await target.close()
        await deferLater(reactor, 0.15)
        target.instance += "-again"
        target.listen()
        self.down.discard(host)
        await target.announce()

    async def call(self, service, number):
        path = f"/v1/services/{service}/calls/today"
        for sequence in count():
            if not self.calling:
                return
            body = f"{service} {number} {sequence}".encode()
            response = await self.caller.send("POST", path, body)
            if (response.status, response.body) == (200, b"echo:" + body):
                self.answered += 1
            else:
                self.bad.append(response)

    async def run_job(self, host, seconds):
        target = self.targets[host]
        path = f"/v1/queues/{target.service}/jobs"
        response = await self.caller.send("POST", path, b"settle")
        assert response.status == 202, response
        taken = await target.take(wait_s=5)
        self.jobs.add(host)
        ensureDeferred(self.end_job(host, taken, seconds))

    async def end_job(self, host, taken, seconds):
        await deferLater(reactor, seconds)
        self.jobs.discard(host)
        self.ended.append(await self.targets[host].end(taken, "done", b"settled"))

    async def stop(self):
        self.calling = False
        for call in self.calls:
            await call
        self.renewing.stop()
        for target in self.targets.values():
            await target.close()
        await self.caller.close()
        await self.platform.close()


def start_platform(lose_answer):
    async def start():
        platform = StandInPlatform(reactor, lambda host: None)
        platform.lose_answer = lose_answer
        return platform

    return run_coroutine(start)


@given("a daemon with a platform that loses every other answer")
def step_daemon(context):
    turns = count()
    platform = start_platform(lambda: next(turns) % 2 == 0)
    digest = digest_secret(SALT, "test").hex()
    settings = Settings(
        daemon=DaemonSection("entry-1", availability_zone="z0"),
        operator=OperatorSection("operator", SALT.hex(), digest),
        platform=PlatformSection(platform.url),
        timing=TimingSection(
            target_lease_s=2.0,
            probation_s=0.2,
            stop_timeout_s=2.0,
            repair_confirm_s=0.5,
            repair_reboot_s=1.0,
        ),
    )
    opened = open_daemon(reactor, settings)
    daemon = opened.__enter__()
    context.add_cleanup(opened.__exit__, None, None, None)
    run_coroutine(daemon.start)
    context.add_cleanup(stop_daemon, daemon)

    async def propose(command):
        outcome = await daemon.log.propose(command)
        assert isinstance(outcome, Ok), outcome

    context.daemon = daemon
    context.entries = f"http://127.0.0.1:{daemon.operators_port}"
    url = f"http://127.0.0.1:{daemon.callers_port}"
    context.site = Site(propose, url, platform)


def stop_daemon(daemon):
    assert run_coroutine(daemon.stop) == 0, "calls were cut off"


@given(
    "a cluster of {voters:d} voters and {learners:d} learner"
    " with a platform whose answers are lost"
)
def step_cluster(context, voters, learners):
    platform = start_platform(lambda: True)
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    extra = EXTRA.format(url=platform.url)
    running = running_cluster(folder, voters, learners, extra)
    context.cluster = context.stack.enter_context(running)
    context.cluster.wait_ready()
    client = context.cluster.operator("e1")

    async def propose(command):
        outcome = await deferToThread(client.propose, command)
        assert isinstance(outcome, Ok), outcome

    daemons = context.cluster.daemons
    context.entries = daemons["e1"].operators_url
    context.site = Site(propose, daemons["e1"].callers_url, platform)


@when("the first host reboots and the leader is killed")
def step_kill(context):
    wait_until(lambda: context.site.platform.reboots, "a host reboots")
    context.cluster.kill(context.cluster.leader())


@when("the platform's answers arrive again")
def step_answers_arrive(context):
    context.site.platform.lose_answer = lambda: False


@given("{services:d} services on {hosts:d} hosts each, under constant calls")
def step_services(context, services, hosts):
    run_coroutine(lambda: context.site.set_up(services, hosts))
    context.add_cleanup(run_coroutine, context.site.stop)


@given("a job of {ms:d} ms on the first host")
def step_job(context, ms):
    run_coroutine(lambda: context.site.run_job("host-0-0", ms / 1_000))


def operate(context, line):
    async def run():
        entry = context.entries
        tester = ApplicationTester(make_application())
        full = f"{line} --entries {entry} --key {OPERATOR_KEY}"
        code = await deferToThread(tester.execute, full)
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    return run_coroutine(run)


@when("an operator starts a wave over the pool by the command line")
def step_start(context):
    code, shown = operate(context, "wave preview interior")
    assert code == 0, shown
    assert "least 3" in shown, shown
    code, shown = operate(context, "wave start monday interior")
    assert code == 0, shown


@then("the wave is done within {seconds:d} s")
def step_done(context, seconds):
    shown = [""]

    def is_over():
        time.sleep(0.2)
        shown[0] = operate(context, "wave progress monday")[1]
        return "is running" not in shown[0] and "wave monday" in shown[0]

    wait_until(is_over, "the wave is over", seconds)
    assert "wave monday is done" in shown[0], shown


@then("each of the {hosts:d} hosts was rebooted once with no call or job running")
def step_rebooted(context, hosts):
    site = context.site
    assert len(site.platform.reboots) == hosts, site.platform.reboots
    assert {target.instance.count("-again") for target in site.targets.values()} == {1}
    assert not site.busy_at_reboot, site.busy_at_reboot
    assert sum(site.platform.requests.values()) > hosts, "answers were lost"


@when('host "{host}" falls silent')
def step_silent(context, host):
    context.silent = host
    run_coroutine(lambda: fall_silent(context.site, host))


async def fall_silent(site, host):
    site.down.add(host)


@then("it is rebooted once by the repair within {seconds:d} s")
def step_repaired(context, seconds):
    reboots = context.site.platform.reboots
    wait_until(lambda: reboots, "the repair reboots it", seconds)
    names = [name.rpartition(".")[0] for name in reboots]
    assert names == [f"repair.{context.silent}"], names


@then("it serves and is proved within {seconds:d} s")
def step_proved(context, seconds):
    hosts = context.daemon.log.state.hosts

    def is_proved():
        host = hosts[context.silent]
        return host.phase == "serving" and not host.upkeep.absences

    wait_until(is_proved, "it is proved", seconds)
    assert len(context.site.platform.reboots) == 1, context.site.platform.reboots


@then("every call was answered whole")
def step_all_whole(context):
    assert context.site.answered > 100, context.site.answered
    assert not context.site.bad, context.site.bad[:3]


@then('the repair told of "{a}", "{b}", "{c}", "{d}" and "{e}"')
def step_told(context, a, b, c, d, e):
    told = context.daemon.journal.decisions_on(f"host/{context.silent}")
    kinds = [one.cause.partition(":")[0] for one in reversed(told)]
    steps = [kind for kind in dict.fromkeys(kinds) if kind != "wait"]
    assert steps == [a, b, c, d, e], steps


@then("every call was answered whole, and the job ended")
def step_answered(context):
    site = context.site
    print(f"{site.answered} calls answered")
    assert site.answered > 100, site.answered
    assert not site.bad, site.bad[:3]
    assert [ended.status for ended in site.ended] == [200], site.ended


@then("every call was answered whole or truly not run")
def step_answered_or_not_run(context):
    site = context.site
    print(f"{site.answered} calls answered, {len(site.bad)} refused")
    assert site.answered > 100, site.answered
    outcomes = {json.loads(one.body)["outcome"] for one in site.bad}
    assert outcomes <= {"not-run"}, site.bad[:3]


@then("the command line shows {hosts:d} hosts done")
def step_progress(context, hosts):
    code, shown = operate(context, "wave progress monday")
    assert code == 0, shown
    assert f"{hosts} done" in shown, shown

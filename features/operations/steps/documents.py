"""Steps on service documents, against the state alone."""

from behave import given, then, when
from hypothesis import given as property_of
from hypothesis import settings
from hypothesis import strategies as st
from mulberryledge_testing.soak.groups.operations import run as soak_operators
from result import Err, Ok
from steps_common import run

from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import (
    ApplyDocument,
    CreateTeam,
    GiveKey,
    RemoveService,
    RemoveTeam,
    WithdrawKey,
)
from mulberryledge_core.model.hosts import Resources
from mulberryledge_core.state import ClusterState

SECTIONS = {
    "service": {"name": '"route-plans"', "team": '"dispatch"', "pool": '"interior"'},
    "calls": {},
}
TEXTS = tuple(
    f'[service]\nname="plans"\nteam="dispatch"\npool="interior"\n'
    f"[calls]\ndeadline_ms={number}\n"
    for number in (1_000, 2_000, 3_000)
)


def document(section, line):
    sections = {name: dict(fields) for name, fields in SECTIONS.items()}
    field, _, value = line.partition(" = ")
    sections.setdefault(section, {})[field] = value
    lines = []
    for name, fields in sections.items():
        lines += [f"[{name}]", *(f"{key} = {text}" for key, text in fields.items())]
    return "\n".join(lines)


@given('pool "{pool}" with {count:d} hosts of {processors:d} processors')
def step_pool(context, pool, count, processors):
    run(context.state, CreatePool(pool))
    for number in range(count):
        resources = Resources(float(processors), 8_192, 0)
        command = AddHost(f"host-{number}", pool, resources=resources)
        assert isinstance(run(context.state, command), Ok)


@given('host "{host}" of pool "{pool}" declares {processors:d} processors only')
def step_undeclared(context, host, pool, processors):
    command = AddHost(host, pool, resources=Resources(float(processors)))
    assert isinstance(run(context.state, command), Ok)


@when('service "{name}" is removed')
def step_remove(context, name):
    assert isinstance(run(context.state, RemoveService(name)), Ok)


@then('the refusal says "{text}"')
def step_refusal(context, text):
    assert text in context.outcome.err_value.message, context.outcome


@then("it is accepted")
def step_accepted(context):
    assert isinstance(context.outcome, Ok), context.outcome


@given('team "{team}" exists')
def step_team(context, team):
    run(context.state, CreateTeam(team))


@when('a document with "{line}" in "{section}" is applied as version {version:d}')
def step_apply(context, line, section, version):
    command = ApplyDocument(document(section, line), version)
    context.outcome = run(context.state, command)


@when("a document with all of these faults is applied:")
def step_apply_text(context):
    context.outcome = run(context.state, ApplyDocument(context.text, 1))


@then('it is refused as "{code}"')
def step_refused(context, code):
    assert isinstance(context.outcome, Err), context.outcome
    assert context.outcome.err_value.code == code, context.outcome
    assert not context.state.services


@then('the fault at "{place}" says "{problem}"')
def step_fault(context, place, problem):
    faults = context.outcome.err_value.faults
    found = [fault.problem for fault in faults if fault.place == place]
    assert any(problem in one for one in found), faults


@then('the faults are at "{places}"')
def step_faults(context, places):
    found = {fault.place for fault in context.outcome.err_value.faults}
    assert found == set(places.split(", ")), found


class Race:
    """Checks each proposal of racing operators against a list of winners."""

    def __init__(self):
        self.state = ClusterState()
        run(self.state, CreatePool("interior"))
        run(self.state, CreateTeam("dispatch"))
        self.winners = []
        self.indexes = []

    def propose(self, version, text):
        before = dict(self.state.services)
        outcome = run(self.state, ApplyDocument(text, version))
        resent = 0 < version <= len(self.winners) and self.winners[version - 1] == text
        if resent:
            assert outcome.ok_value.index == self.indexes[version - 1], outcome
        elif version == len(self.winners) + 1:
            assert outcome.ok_value.index == self.state.applied_index, outcome
            self.winners.append(text)
            self.indexes.append(self.state.applied_index)
        else:
            assert outcome.err_value.code == "conflict", outcome
            assert self.state.services == before
        if self.winners:
            service = self.state.services["plans"]
            assert service.version == len(self.winners), service
            assert service.text == self.winners[-1], service


@when("operators race and resend in random ways")
def step_race(context):
    proposals = st.lists(
        st.tuples(st.integers(-2, 1), st.sampled_from(TEXTS), st.integers(1, 3)),
        max_size=18,
    )
    context.races = []

    @settings(max_examples=150, deadline=None, database=None, derandomize=True)
    @property_of(proposals)
    def check(sent):
        race = Race()
        for offset, text, times in sent:
            version = len(race.winners) + 1 + offset
            for _ in range(times):
                race.propose(version, text)
        context.races.append(len(race.winners))

    check()


@then("each number has one text, resends succeed and nothing reverts")
def step_raced(context):
    assert max(context.races) >= 3, context.races


@when("the soak of operators runs with seeds {first:d} to {last:d}")
def step_soak(context, first, last):
    context.accepted = ""
    for number in range(first, last + 1):
        print(f"seed {number}")
        context.accepted += soak_operators(number)


@then("every kind of command was accepted")
def step_every_kind(context):
    for kind in (ApplyDocument, RemoveService, RemoveTeam, GiveKey, WithdrawKey):
        assert kind.__name__ in context.accepted, kind

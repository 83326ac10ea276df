"""Steps on randomised runs in virtual time."""

from behave import then
from mulberryledge_testing.soak.groups.calls import Storm, run

from mulberryledge_core.outcomes import RunOutcome


class Calm(Storm):
    def behave(self, request):
        return self.random.expovariate(1 / 0.03), RunOutcome.RAN

    def next_fault(self):
        pass


@then("a storm with seed {seed:d} breaks no invariant")
def step_storm(context, seed):
    print(f"seed {seed}: {run(seed)}")


@then("a calm run with seed {seed:d} refuses no call")
def step_calm(context, seed):
    storm = Calm(seed)
    storm.run()
    assert set(storm.told) == {"answered"}, storm.told

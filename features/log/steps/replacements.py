"""Steps on simulated clusters whose machines are replaced."""

from concurrent.futures import ProcessPoolExecutor
from functools import partial

from behave import then, when
from mulberryledge_testing.simulation import replacements

WORKERS = 3


@when('seeds {first:d} to {last:d} of "{size}" play a history of replacements')
def step_play(context, first, last, size):
    play = partial(replacements.try_seed, size=replacements.SIZES[size])
    with ProcessPoolExecutor(WORKERS) as pool:
        context.outcomes = list(pool.map(play, range(first, last + 1)))


@when('{losses:d} leaders of "{size}" are lost, one after the other')
def step_lose_leaders(context, losses, size):
    size = replacements.SIZES[size]
    context.losses = losses
    context.outcomes = [replacements.try_leader_losses(1, size, losses)]


@then("after each step a leader, all entries, and the losses to bear are there")
def step_none_broken(context):
    broken = [one for one in context.outcomes if isinstance(one, str)]
    assert not broken, broken


@then("together at least {losses:d} machines were lost")
def step_enough(context, losses):
    found = sum(one.losses for one in context.outcomes)
    assert found >= losses, found


@then("each successor was of use within {seconds:d} s")
def step_useful(context, seconds):
    (report,) = context.outcomes
    assert report.losses >= context.losses, report
    assert len(report.useful_ms) >= context.losses, report
    assert max(report.useful_ms) <= seconds * 1_000, report

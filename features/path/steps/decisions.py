"""Properties of the pure decisions, checked by hypothesis."""

from behave import then
from hypothesis import given as with_values
from hypothesis import seed as with_seed
from hypothesis import settings
from hypothesis import strategies as st

from mulberryledge_core.decisions.answer_retention import (
    ANSWER_RETENTION_MS,
    MAX_RETAINED_ANSWER_BYTES,
    discard_answers_before_ms,
)
from mulberryledge_core.decisions.fair_queue import FairQueue
from mulberryledge_core.decisions.loan_planning import (
    Claim,
    entitlements,
    max_min,
    plan_loans,
)
from mulberryledge_core.decisions.queue_time import QueueTime, allowed_wait_s
from mulberryledge_core.decisions.retries import (
    MAX_BUDGET_RETRIES,
    RETRIES_PER_CALL,
    RetryBudget,
    credit_call,
    may_retry,
    take_retry,
)
from mulberryledge_core.model.jobs import Answer, Reservation
from mulberryledge_core.outcomes import RunOutcome
from mulberryledge_daemon.entry.health import TargetHealth

EXAMPLES = 150
NAMES = st.sampled_from("abcde")
AMOUNTS = st.dictionaries(NAMES, st.integers(0, 40))
WEIGHTS = st.fixed_dictionaries({name: st.floats(0.25, 8.0) for name in "abcde"})
CAPACITY = st.integers(0, 80)
CLAIMS = st.lists(st.builds(Claim, NAMES, NAMES, st.integers(0, 30)), max_size=12)


@st.composite
def loans(draw):
    capacity = draw(CAPACITY)
    held = max_min(capacity, draw(AMOUNTS), {})
    return capacity, held, draw(CLAIMS), draw(WEIGHTS)


@with_values(CAPACITY, AMOUNTS, WEIGHTS)
def gives_all(capacity, wanted, weights):
    given = max_min(capacity, wanted, weights)
    assert sum(given.values()) == min(capacity, sum(wanted.values()))
    assert all(0 <= given[name] <= wanted[name] for name in wanted)


@with_values(CAPACITY, AMOUNTS, WEIGHTS)
def fair_by_weight(capacity, wanted, weights):
    given = max_min(capacity, wanted, weights)
    for one in wanted:
        if given[one] == wanted[one]:
            continue
        least = (given[one] + 1) / weights[one]
        for other in wanted:
            assert (given[other] - 1) / weights[other] <= least + 1e-6, given


@with_values(loans())
def within_capacity(case):
    capacity, held, claims, weights = case
    plan = plan_loans(capacity, held, claims, weights)
    assert sum(held.values()) + sum(plan.grants.values()) <= capacity
    assert all(0 < n <= held[name] for name, n in plan.recalls.items())


@with_values(loans())
def nothing_left_free(case):
    capacity, held, claims, weights = case
    plan = plan_loans(capacity, held, claims, weights)
    free = capacity - sum(held.values()) - sum(plan.grants.values())
    assert free == 0 or plan.shortage == 0


@with_values(CAPACITY, CLAIMS, WEIGHTS)
def steady(capacity, claims, weights):
    held = entitlements(capacity, claims, weights)
    plan = plan_loans(capacity, held, claims, weights)
    assert not plan.grants and not plan.recalls, plan


@with_values(loans())
def no_idle_recall(case):
    capacity, held, claims, weights = case
    plan = plan_loans(capacity, held, claims, weights)
    assert sum(plan.recalls.values()) == plan.shortage
    entitled = entitlements(capacity, claims, weights)
    for name, count in plan.recalls.items():
        assert held[name] - count >= entitled.get(name, 0)


@with_values(st.lists(st.booleans(), max_size=200))
def retry_share(failures):
    budget, calls, retries = RetryBudget(), 0, 0
    for failed in failures:
        budget, calls = credit_call(budget), calls + 1
        while failed and (left := take_retry(budget)) is not None:
            budget, retries = left, retries + 1
    assert retries <= MAX_BUDGET_RETRIES + RETRIES_PER_CALL * calls


@with_values(st.sampled_from(RunOutcome), st.booleans(), st.integers(0, 5))
def honest_retry(run, repeatable, tries):
    again = may_retry(run, repeatable, tries, 1.0)
    assert not (again and run == RunOutcome.RAN)
    assert not (again and run == RunOutcome.UNKNOWN and not repeatable)
    assert not may_retry(run, repeatable, tries, 0.0)


@with_values(
    st.integers(1, 8),
    st.lists(st.tuples(st.integers(0, 7), st.booleans(), st.floats(0, 2))),
)
def half_left(size, calls):
    health, now = TargetHealth(), 0.0
    pool = [(f"t{n}", 1) for n in range(size)]
    for number, good, seconds in calls:
        key = pool[number % size]
        now += 0.05
        if health.is_usable(key, now):
            health.record_dispatch(key, now)
            health.record_outcome(key, good, seconds, now, pool)
        assert health.count_ejected(pool, now) <= size // 2, health.health_by_target


@with_values(st.integers(1, 6))
def trial(rounds):
    health, now, pool = TargetHealth(), 0.0, [("t0", 1), ("t1", 1)]
    key = pool[0]
    for _ in range(3):
        health.record_dispatch(key, now)
        health.record_outcome(key, False, 0.1, now, pool)
    for _ in range(rounds):
        assert not health.is_usable(key, now)
        now = health.health_by_target[key].until_s
        assert health.is_usable(key, now)
        health.record_dispatch(key, now)
        assert not health.is_usable(key, now), "one trial at a time"
        health.record_outcome(key, False, 0.1, now, pool)
    now = health.health_by_target[key].until_s
    health.record_dispatch(key, now)
    health.record_outcome(key, True, 0.1, now, pool)
    assert health.is_usable(key, now)


@with_values(WEIGHTS, st.integers(20, 200))
def turns_by_share(weights, turns):
    queue = FairQueue(1_000)
    for team in weights:
        for number in range(turns):
            queue.push(team, (team, number))
    taken = [queue.pop(weights.__getitem__, lambda team: True) for _ in range(turns)]
    total = sum(weights.values())
    for team, weight in weights.items():
        numbers = [number for name, number in taken if name == team]
        assert numbers == list(range(len(numbers))), "first come first served"
        assert abs(len(numbers) - turns * weight / total) <= len(weights)


@with_values(st.integers(1, 256), st.integers(0, 50))
def burst(size, before):
    queue = FairQueue(256)
    for number in range(size):
        queue.push("large", number)
    for _ in range(min(before, size - 1)):
        queue.pop(lambda team: 1.0, lambda team: True)
    queue.push("small", "call")
    taken = [queue.pop(lambda team: 1.0, lambda team: True) for _ in range(2)]
    assert "call" in taken


@with_values(st.floats(0, 10), st.floats(0, 100), st.floats(0, 100), st.floats(0, 9))
def bounded_wait(run_s, empty_s, later_s, timeout_s):
    times = QueueTime(run_s, empty_s)
    wait_s = allowed_wait_s(times, empty_s + later_s, timeout_s)
    assert 0 <= wait_s <= max(0.0, timeout_s - run_s)


@with_values(st.lists(st.tuples(st.integers(0, 900_000), st.integers(1, 64))))
def kept_answers(sizes):
    kept = [
        Reservation(
            str(n),
            "a",
            "s",
            b"",
            "e",
            "l",
            reserved_ms=at_ms,
            answer=Answer(200, "", bytes(kilobytes * 16_384)),
        )
        for n, (at_ms, kilobytes) in enumerate(sizes)
    ]
    before_ms = discard_answers_before_ms(kept, 1_000_000) or 0
    left = [item for item in kept if item.reserved_ms >= before_ms]
    assert sum(len(item.answer.body) for item in left) <= MAX_RETAINED_ANSWER_BYTES
    assert all(1_000_000 - item.reserved_ms <= ANSWER_RETENTION_MS for item in left)


PROPERTIES = {
    "max-min gives everything out and nobody too much": gives_all,
    "max-min is fair by weight": fair_by_weight,
    "a plan of loans never exceeds the capacity": within_capacity,
    "a plan of loans leaves nothing free while one is short": nothing_left_free,
    "a plan of loans changes nothing once all have their share": steady,
    "a plan of loans asks back only what others are short of": no_idle_recall,
    "retries stay within their share of the calls": retry_share,
    "a call that may have run is not repeated unless it may be": honest_retry,
    "ejection leaves half of a pool": half_left,
    "an ejected target comes back by one trial": trial,
    "turns follow the shares of busy teams": turns_by_share,
    "a burst does not hold up another team": burst,
    "a call waits no longer than its deadline": bounded_wait,
    "kept answers stay within their room and age": kept_answers,
}


@then('"{name}" holds for random values with seed {number:d}')
def step_property(context, name, number):
    run = settings(
        max_examples=EXAMPLES, derandomize=True, database=None, deadline=None
    )
    with_seed(number)(run(PROPERTIES[name]))()

"""Steps on the choice of hosts for a wave."""

from collections import Counter

from behave import given, then

from mulberryledge_core.batch.upkeep import HostLoad, UpkeepTiming, choose_hosts


@given(
    "{idle:d} idle hosts, and {busy:d} of a pool of {size:d} with {tasks:d}"
    " long-running tasks each"
)
def hosts_with_load(context, idle, busy, size, tasks):
    context.waiting = [HostLoad(f"idle-{number}") for number in range(idle)]
    context.waiting += [
        HostLoad(f"busy-{number}", "plans", tasks, tasks) for number in range(busy)
    ]
    context.sizes = Counter(plans=size)


@then(
    "of {count:d} that may be out at once, {busy:d} with long-running tasks and"
    " {idle:d} idle ones are chosen"
)
def chosen_hosts_match(context, count, busy, idle):
    chosen = choose_hosts(
        context.waiting, Counter(), context.sizes, count, UpkeepTiming()
    )
    found = Counter(host.partition("-")[0] for host in chosen)
    assert found == {"busy": busy, "idle": idle}, chosen

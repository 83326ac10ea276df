"""Steps for the fault soak, which runs in a separate process."""

import re
import subprocess
import sys

from behave import then, when

OVERHEAD_S = 60  # at most, for the start, and for the checks after the faults


@when("the soak runs seed {seed:d} for {seconds:d} seconds")
def step_run(context, seed, seconds):
    run_soak(context, seed, seconds)


@when('the soak injects only "{fault}" with seed {seed:d} for {seconds:d} seconds')
def step_run_fault(context, fault, seed, seconds):
    run_soak(context, seed, seconds, "--only", fault)


@then('"{fault}" was injected')
def step_injected(context, fault):
    assert count_of(context, fault), context.report


@when(
    "the soak replaces each core machine once with seed {seed:d},"
    " in at most {seconds:d} seconds"
)
def step_replace(context, seed, seconds):
    run_soak(context, seed, seconds, "--only", "replacements", "--rounds", "1")


@when(
    'the soak injects only "{fault}" for at most {seconds:d} seconds'
    ' with the defect "{defect}", until a promise is broken: "{promise}"'
)
def step_run_defect(context, fault, seconds, defect, promise):
    options = ["--defect", defect, "--only", fault]
    for text in promise.split(" or "):
        options += ["--until", text]
    run_soak(context, 1, seconds, *options)


def run_soak(context, seed, seconds, *options):
    command = [sys.executable, "-m", "mulberryledge_platform_testing.soak"]
    command += [str(context.folder), "--first", str(seed)]
    command += ["--seconds", str(seconds), *options]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=seconds + 2 * OVERHEAD_S
    )
    context.code, context.printed = done.returncode, done.stdout + done.stderr
    report = context.folder / f"seed-{seed}" / "report.txt"
    context.report = report.read_text() if report.exists() else context.printed


@then("every promise was kept")
def step_kept(context):
    assert context.code == 0, context.printed


@then("jobs were accepted, tasks started and manifests acknowledged")
def step_busy(context):
    for count in ("POST 200", "starts", "manifests"):
        assert count_of(context, count) >= 5, f"{count}: {context.report}"


def count_of(context, name):
    """Return a count of the report, 0 if it is missing."""
    found = re.search(rf"^{name}: (\d+)$", context.report, re.MULTILINE)
    return int(found[1]) if found else 0


@then("{count:d} core machines were replaced, some as planned and some not")
def step_replaced(context, count):
    planned = count_of(context, "replace_planned")
    unplanned = count_of(context, "replace_unplanned")
    assert planned and unplanned, context.report
    assert planned + unplanned == count, context.report


@then('a promise was broken: "{promise}"')
def step_broken(context, promise):
    assert context.code == 1, context.printed
    broken = [line for line in context.printed.splitlines() if "BROKEN" in line]
    texts = promise.split(" or ")
    assert any(text in line for line in broken for text in texts), context.printed

"""
mulberryledge_testing.batch.demand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Generates jobs of kinds from the users' workload descriptions, with log-normal sizes,
and queues that have their peak demand one after the other.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random

from mulberryledge_core.batch.sizes import Size
from mulberryledge_core.batch.specs import JobSpec, StepSpec
from mulberryledge_testing.batch.target import TaskTruth

__all__ = ["KINDS", "Arrival", "JobKind", "Site", "arrivals", "make_job", "site_named"]


@dataclass(frozen=True, slots=True)
class JobKind:
    """
    A kind of job.

    Attributes
    ----------
    steps, width : float
        Mean number of steps, and of tasks a step.
    work_ms, cpu_millis, memory_mb : float
        Means for one task.
    estimate_spread : float
        Spread of the declared duration around the real one.
    worth : float
        Value of a job of mean size that ends in time.
    long_running : bool
        Whether its tasks are long-running.
    failing_share : float
        Share of the jobs whose every run fails.
    filler : bool
        Whether its tasks use only processor time left over by others.
    tail_bound_ms : int
        Bound on the tail latency of its tasks, 0 if they serve no requests.
    advised : bool
        Whether an advisor decides where its steps run.
    label : str
        Label that its targets must have.
    gang : bool
        Whether the tasks of a step make progress only while all run.
    """

    queue: str
    pool: str
    steps: float
    width: float
    work_ms: float
    cpu_millis: float
    memory_mb: float
    estimate_spread: float
    worth: float
    priority: int = 0
    stretch: float = 1.6
    latency_ms: int = 600
    attempts: int = 3
    long_running: bool = False
    per_s: float = 0.0
    speculative_share: float = 0.0
    spread_share: float = 0.0
    failing_share: float = 0.0
    filler: bool = False
    tail_bound_ms: int = 0
    advised: bool = False
    label: str = ""
    gang: bool = False


@dataclass(frozen=True, slots=True)
class Site:
    """
    Hosts, teams and kinds of jobs of one installation.

    Attributes
    ----------
    hosts : int
        Initial number of hosts of each pool, the spare pool included.
    """

    name: str
    pools: tuple[str, ...]
    hosts: int
    host: Size
    racks: int
    teams: int
    kinds: tuple[JobKind, ...]


FALAJ = Site(
    "falaj",
    ("rounds", "depots", "loading", "billing"),
    8,
    Size(64_000, 131_072, 0),
    8,
    6,
    (
        JobKind("plan", "rounds", 1.6, 6, 640, 3_500, 5_100, 0.2, 0.466, per_s=4.63,
                speculative_share=0.3, spread_share=0.15, failing_share=0.03),
        JobKind("stock", "depots", 2, 8, 2_100, 7_700, 11_000, 0.9, 5.6, 1,
                attempts=4, per_s=0.432, failing_share=0.01),
        JobKind("load", "loading", 1.6, 6, 640, 3_500, 5_100, 0.2, 0.466, per_s=5.79,
                speculative_share=0.3, spread_share=0.15, failing_share=0.03),
        JobKind("invoice", "billing", 2, 8, 2_100, 7_700, 11_000, 0.9, 5.6, 1,
                attempts=4, per_s=0.53, failing_share=0.01),
        JobKind("ledger", "rounds", 1, 5, 0, 5_400, 17_000, 0, 0.951,
                long_running=True),
        JobKind("settle", "depots", 1, 5, 0, 6_100, 17_000, 0, 1.07, long_running=True),
        JobKind("payout", "loading", 1, 5, 0, 6_700, 17_000, 0, 1.19,
                long_running=True),
        JobKind("archive", "billing", 1, 5, 0, 7_400, 17_000, 0, 1.31,
                long_running=True),
    ),
)  # fmt: skip
FALAJ_LARGE = Site(
    "falaj-large",
    ("rounds", "depots", "loading", "billing"),
    54,
    Size(64_000, 262_144, 0),
    23,
    29,
    (
        JobKind("plan", "rounds", 1.6, 8, 640, 9_000, 13_000, 0.2, 0.385, per_s=15.2,
                speculative_share=0.3, spread_share=0.15, failing_share=0.03),
        JobKind("stock", "depots", 2, 8, 2_100, 20_000, 29_000, 0.9, 3.51, 1,
                attempts=4, per_s=1.88, failing_share=0.01),
        JobKind("load", "loading", 1.6, 8, 640, 9_000, 13_000, 0.2, 0.385, per_s=19,
                speculative_share=0.3, spread_share=0.15, failing_share=0.03),
        JobKind("invoice", "billing", 2, 8, 2_100, 20_000, 29_000, 0.9, 3.51, 1,
                attempts=4, per_s=2.29, failing_share=0.01),
        JobKind("ledger", "rounds", 1, 24, 0, 5_400, 17_000, 0, 1.72,
                long_running=True),
        JobKind("settle", "depots", 1, 24, 0, 6_100, 17_000, 0, 1.94,
                long_running=True),
        JobKind("payout", "loading", 1, 24, 0, 6_700, 17_000, 0, 2.15,
                long_running=True),
        JobKind("archive", "billing", 1, 24, 0, 7_400, 17_000, 0, 1.77,
                long_running=True),
    ),
)  # fmt: skip
YAYLA = Site(
    "yayla",
    ("stand", "lab", "intake", "treasury"),
    6,
    Size(32_000, 65_536, 0),
    6,
    6,
    (
        JobKind("weigh", "stand", 1.6, 6, 800, 2_300, 4_400, 0.2, 0.49, per_s=2.82,
                speculative_share=0.3, spread_share=0.15, failing_share=0.03),
        JobKind("test", "lab", 2, 8, 1_700, 5_000, 9_000, 0.9, 3.77, 1, attempts=4,
                per_s=0.412, failing_share=0.01),
        JobKind("check", "intake", 1.6, 6, 800, 2_300, 4_400, 0.2, 0.49, per_s=3.52,
                speculative_share=0.3, spread_share=0.15, failing_share=0.03),
        JobKind("pay", "treasury", 2, 8, 1_700, 5_000, 9_000, 0.9, 3.77, 1,
                attempts=4, per_s=0.503, failing_share=0.01),
        JobKind("daybook", "stand", 1, 5, 0, 2_800, 9_000, 0, 0.609, long_running=True),
        JobKind("samples", "lab", 1, 5, 0, 3_000, 9_000, 0, 0.685, long_running=True),
        JobKind("closing", "intake", 1, 5, 0, 3_200, 9_000, 0, 0.761,
                long_running=True),
        JobKind("letters", "treasury", 1, 5, 0, 3_400, 9_000, 0, 0.837,
                long_running=True),
    ),
)  # fmt: skip
# Not a described workload: covers the kinds of steps that FALAJ and YAYLA lack.
SHARED = Site(
    "shared",
    ("web", "vault"),
    6,
    Size(32_000, 65_536, 0),
    6,
    4,
    (
        JobKind("site", "web", 1, 6, 0, 4_000, 4_000, 0, 1.0, long_running=True,
                tail_bound_ms=80),
        JobKind("crawl", "web", 1, 6, 1_500, 3_000, 1_000, 0.2, 0.4, stretch=6.0,
                latency_ms=6_000, per_s=0.8, filler=True),
        JobKind("audit", "vault", 1.6, 5, 800, 2_500, 2_000, 0.2, 0.4, stretch=2.0,
                latency_ms=1_500, per_s=1.2, advised=True),
        JobKind("model", "vault", 1, 4, 900, 4_000, 4_000, 0.2, 0.8, stretch=2.0,
                latency_ms=1_500, per_s=0.4, gang=True, label="a"),
    ),
)  # fmt: skip
KINDS = {site.name: site for site in (FALAJ, FALAJ_LARGE, YAYLA, SHARED)}
SPREAD = 0.5
PEAK_FACTOR, OFF_PEAK_FACTOR = 4.0, 0.05  # of the mean rate, in and out of the peak


def site_named(name: str) -> Site:
    """Return an installation by its name."""
    return KINDS[name]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job to be submitted, and when."""

    at_s: float
    job_id: str
    kind: JobKind
    team: str
    spec: JobSpec
    truths: tuple[TaskTruth, ...]


def draw_lognormal(
    random: Random, mean: float, spread: float, max_factor: float
) -> float:
    """Return a log-normal number with the given mean, capped at a multiple of it."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = mean * math.exp(random.gauss(0, sigma) - sigma * sigma / 2)
    return min(max_factor * mean, value)


def make_job(kind: JobKind, random: Random) -> tuple[JobSpec, tuple[TaskTruth, ...]]:
    """Draw a job, and the actual work of its tasks by step."""
    steps, truths = [], []
    fails = random.random() < kind.failing_share
    count = (
        1
        if kind.long_running
        else max(1, round(draw_lognormal(random, kind.steps, 0.4, 2.5)))
    )
    for number in range(count):
        work_ms = (
            draw_lognormal(random, kind.work_ms, SPREAD, 2.5) if kind.work_ms else 0.0
        )
        estimate_factor = math.exp(random.gauss(0, kind.estimate_spread))
        spec = StepSpec(
            count=max(1, round(draw_lognormal(random, kind.width, 0.6, 4))),
            size=Size(
                round(draw_lognormal(random, kind.cpu_millis, 0.45, 3)),
                round(draw_lognormal(random, kind.memory_mb, SPREAD, 3)),
            ),
            estimated_ms=round(work_ms * estimate_factor),
            after=(number - 1,) if number else (),
            speculative=random.random() < kind.speculative_share,
            max_per_target=2 if random.random() < kind.spread_share else 0,
            long_running=kind.long_running,
            max_unavailable=1 if kind.long_running else None,
            latency_target_ms=kind.tail_bound_ms,
            filler=kind.filler,
            required_label=kind.label,
            gang=kind.gang,
        )
        steps.append(spec)
        truths.append(TaskTruth(spec, work_ms, fails))
    return JobSpec("text", tuple(steps)), tuple(truths)


def arrivals(
    site: Site, random: Random, duration_s: float, load: float = 1.0
) -> Iterator[Arrival]:
    """
    Yield the jobs of a day in order.

    Each kind that is not long-running has one peak period with four times its mean
    rate; outside of it, the rate is a twentieth of the mean.

    Parameters
    ----------
    load : float
        Factor on all rates.
    """
    kinds = [kind for kind in site.kinds if not kind.long_running]
    peak_s = duration_s / len(kinds)
    jobs = []
    for kind in site.kinds:
        if kind.long_running:
            jobs.append((0.0, kind))
    for number, kind in enumerate(kinds):
        at_s = 2.0
        while at_s < duration_s:
            at_s += random.expovariate(kind.per_s * load * PEAK_FACTOR)
            at_peak = int(at_s / peak_s) == number
            if at_peak or random.random() < OFF_PEAK_FACTOR / PEAK_FACTOR:
                jobs.append((at_s, kind))
    jobs = [job for job in jobs if job[0] < duration_s]
    jobs.sort(key=lambda job: job[0])
    teams = [f"team-{number}" for number in range(site.teams)]
    weights = [1 / (number + 1) for number in range(site.teams)]
    for at_s, kind in jobs:
        spec, truths = make_job(kind, random)
        team = "" if kind.long_running else random.choices(teams, weights)[0]
        job_id = f"{random.getrandbits(64):016x}"
        yield Arrival(at_s, job_id, replace(kind), team, spec, truths)

"""
mulberryledge_testing.batch.demand
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs as the users' sheets describe them: kinds with sizes drawn from wide spreads, and
queues whose demand comes in turns.
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
        Of a job of mean size that ends in time.
    lasting : bool
        Whether its tasks last.
    hopeless_share : float
        Share of the jobs that always fail.
    filler : bool
        Whether its tasks use only what others leave.
    serves_ms : int
        Bound on the tail latency of its tasks, 0 if they serve nobody.
    advised : bool
        Whether an advisor decides where its steps run.
    label : str
        Label that its targets must have.
    gang : bool
        Whether the tasks of a step work only together.
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
    lasting: bool = False
    per_s: float = 0.0
    speculative_share: float = 0.0
    spread_share: float = 0.0
    hopeless_share: float = 0.0
    filler: bool = False
    serves_ms: int = 0
    advised: bool = False
    label: str = ""
    gang: bool = False


@dataclass(frozen=True, slots=True)
class Site:
    """
    An installation.

    Attributes
    ----------
    hosts : int
        Hosts of each pool at the begin; the spare pool has as many.
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
                speculative_share=0.3, spread_share=0.15, hopeless_share=0.03),
        JobKind("stock", "depots", 2, 8, 2_100, 7_700, 11_000, 0.9, 5.6, 1,
                attempts=4, per_s=0.432, hopeless_share=0.01),
        JobKind("load", "loading", 1.6, 6, 640, 3_500, 5_100, 0.2, 0.466, per_s=5.79,
                speculative_share=0.3, spread_share=0.15, hopeless_share=0.03),
        JobKind("invoice", "billing", 2, 8, 2_100, 7_700, 11_000, 0.9, 5.6, 1,
                attempts=4, per_s=0.53, hopeless_share=0.01),
        JobKind("ledger", "rounds", 1, 5, 0, 5_400, 17_000, 0, 0.951, lasting=True),
        JobKind("settle", "depots", 1, 5, 0, 6_100, 17_000, 0, 1.07, lasting=True),
        JobKind("payout", "loading", 1, 5, 0, 6_700, 17_000, 0, 1.19, lasting=True),
        JobKind("archive", "billing", 1, 5, 0, 7_400, 17_000, 0, 1.31, lasting=True),
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
                speculative_share=0.3, spread_share=0.15, hopeless_share=0.03),
        JobKind("test", "lab", 2, 8, 1_700, 5_000, 9_000, 0.9, 3.77, 1, attempts=4,
                per_s=0.412, hopeless_share=0.01),
        JobKind("check", "intake", 1.6, 6, 800, 2_300, 4_400, 0.2, 0.49, per_s=3.52,
                speculative_share=0.3, spread_share=0.15, hopeless_share=0.03),
        JobKind("pay", "treasury", 2, 8, 1_700, 5_000, 9_000, 0.9, 3.77, 1,
                attempts=4, per_s=0.503, hopeless_share=0.01),
        JobKind("daybook", "stand", 1, 5, 0, 2_800, 9_000, 0, 0.609, lasting=True),
        JobKind("samples", "lab", 1, 5, 0, 3_000, 9_000, 0, 0.685, lasting=True),
        JobKind("closing", "intake", 1, 5, 0, 3_200, 9_000, 0, 0.761, lasting=True),
        JobKind("letters", "treasury", 1, 5, 0, 3_400, 9_000, 0, 0.837, lasting=True),
    ),
)  # fmt: skip
# No installation of the sheets: the forms of step that theirs don't send.
SHARED = Site(
    "shared",
    ("web", "vault"),
    6,
    Size(32_000, 65_536, 0),
    6,
    4,
    (
        JobKind("site", "web", 1, 6, 0, 4_000, 4_000, 0, 1.0, lasting=True,
                serves_ms=80),
        JobKind("crawl", "web", 1, 6, 1_500, 3_000, 1_000, 0.2, 0.4, stretch=6.0,
                latency_ms=6_000, per_s=0.8, filler=True),
        JobKind("audit", "vault", 1.6, 5, 800, 2_500, 2_000, 0.2, 0.4, stretch=2.0,
                latency_ms=1_500, per_s=1.2, advised=True),
        JobKind("model", "vault", 1, 4, 900, 4_000, 4_000, 0.2, 0.8, stretch=2.0,
                latency_ms=1_500, per_s=0.4, gang=True, label="a"),
    ),
)  # fmt: skip
KINDS = {site.name: site for site in (FALAJ, YAYLA, SHARED)}
SPREAD = 0.5
TURN_FACTOR, QUIET_FACTOR = 4.0, 0.05  # of the mean rate, in a turn and outside


def site_named(name: str) -> Site:
    """Return an installation by its name."""
    return KINDS[name]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that is handed in."""

    at_s: float
    job_id: str
    kind: JobKind
    team: str
    spec: JobSpec
    truths: tuple[TaskTruth, ...]


def drawn(random: Random, mean: float, spread: float, most: float) -> float:
    """Return a log-normal number of about the given mean, up to ``most`` times it."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    value = mean * math.exp(random.gauss(0, sigma) - sigma * sigma / 2)
    return min(most * mean, value)


def make_job(kind: JobKind, random: Random) -> tuple[JobSpec, tuple[TaskTruth, ...]]:
    """Draw a job, and what its tasks really are, by step."""
    steps, truths = [], []
    fails = random.random() < kind.hopeless_share
    count = 1 if kind.lasting else max(1, round(drawn(random, kind.steps, 0.4, 2.5)))
    for number in range(count):
        work_ms = drawn(random, kind.work_ms, SPREAD, 2.5) if kind.work_ms else 0.0
        off = math.exp(random.gauss(0, kind.estimate_spread))
        spec = StepSpec(
            count=max(1, round(drawn(random, kind.width, 0.6, 4))),
            size=Size(
                round(drawn(random, kind.cpu_millis, 0.45, 3)),
                round(drawn(random, kind.memory_mb, SPREAD, 3)),
            ),
            estimated_ms=round(work_ms * off),
            after=(number - 1,) if number else (),
            speculative=random.random() < kind.speculative_share,
            max_per_target=2 if random.random() < kind.spread_share else 0,
            long_running=kind.lasting,
            max_unavailable=1 if kind.lasting else None,
            latency_target_ms=kind.serves_ms,
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

    Each kind that does not last has its turn in which it asks for four times its
    mean; outside of it, a twentieth.

    Parameters
    ----------
    load : float
        Factor on all rates.
    """
    kinds = [kind for kind in site.kinds if not kind.lasting]
    turn_s = duration_s / len(kinds)
    jobs = []
    for kind in site.kinds:
        if kind.lasting:
            jobs.append((0.0, kind))
    for number, kind in enumerate(kinds):
        at_s = 2.0
        while at_s < duration_s:
            at_s += random.expovariate(kind.per_s * load * TURN_FACTOR)
            turn = int(at_s / turn_s) == number
            if turn or random.random() < QUIET_FACTOR / TURN_FACTOR:
                jobs.append((at_s, kind))
    jobs = [job for job in jobs if job[0] < duration_s]
    jobs.sort(key=lambda job: job[0])
    teams = [f"team-{number}" for number in range(site.teams)]
    weights = [1 / (number + 1) for number in range(site.teams)]
    for at_s, kind in jobs:
        spec, truths = make_job(kind, random)
        team = "" if kind.lasting else random.choices(teams, weights)[0]
        job_id = f"{random.getrandbits(64):016x}"
        yield Arrival(at_s, job_id, replace(kind), team, spec, truths)

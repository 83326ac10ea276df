"""
mulberryledge_core.decisions.sizes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sizes of jobs: declared, then corrected by lagged usage reports.
"""

from dataclasses import dataclass

from mulberryledge_core.decisions.loads import Load
from mulberryledge_core.model.hosts import Resources

__all__ = [
    "MAX_UNSEEN_PER_HOST",
    "SizeEstimate",
    "corrected_size",
    "guessed_size",
    "is_seen",
    "observe_size",
]

SMOOTHING = 0.25
DEVIATIONS = 2.0
PEAK_DECAY = 0.995
PRIOR_SAMPLES = 3.0
SEEN_SAMPLES = 3
MIN_PROCESSORS = 0.05
MIN_MEMORY_MB = 16
DEFAULT_PROCESSORS = 1.0
DEFAULT_MEMORY_MB = 512
MAX_UNSEEN_PER_HOST = 2


@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """
    What usage reports say of the jobs of one team on one service.

    Attributes
    ----------
    processors, processors_off : float
        Smoothed mean of cores in use, and of its absolute deviation.
    memory_mb : float
        Slowly decaying peak of memory in megabytes.
    accelerators : float
        Slowly decaying peak of accelerators.
    samples : int
        Reports counted.
    """

    processors: float = 0.0
    processors_off: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    samples: int = 0


def observe_size(estimate: SizeEstimate, measured: Resources) -> SizeEstimate:
    """Return the estimate after one usage report on one job."""
    cores = max(0.0, measured.processors)
    if not estimate.samples:
        return SizeEstimate(
            cores, cores / 2, measured.memory_mb, measured.accelerators, 1
        )
    off = abs(cores - estimate.processors)
    return SizeEstimate(
        processors=_blend(estimate.processors, cores),
        processors_off=_blend(estimate.processors_off, off),
        memory_mb=max(measured.memory_mb, estimate.memory_mb * PEAK_DECAY),
        accelerators=max(measured.accelerators, estimate.accelerators * PEAK_DECAY),
        samples=estimate.samples + 1,
    )


def _blend(before: float, now: float) -> float:
    return before + SMOOTHING * (now - before)


def is_seen(estimate: SizeEstimate | None) -> bool:
    """Return whether enough reports came for the estimate to be relied upon."""
    return estimate is not None and estimate.samples >= SEEN_SAMPLES


def guessed_size(declared: Resources, largest: Resources) -> Load:
    """
    Return a bounded guess for a job of which nothing was measured.

    Parameters
    ----------
    declared : Resources
        Declared size; a quantity that is zero was not declared.
    largest : Resources
        Largest host. A declaration above it is kept, since no host can hold it.
    """
    cores = declared.processors or min(DEFAULT_PROCESSORS, largest.processors)
    memory = declared.memory_mb or min(DEFAULT_MEMORY_MB, largest.memory_mb)
    return Load(
        1.0,
        max(MIN_PROCESSORS, cores) if largest.processors else cores,
        max(MIN_MEMORY_MB, memory) if largest.memory_mb else memory,
        declared.accelerators,
    )


def corrected_size(
    declared: Resources,
    estimate: SizeEstimate | None,
    largest: Resources,
    deviations: float = DEVIATIONS,
) -> Load:
    """
    Return the size by which a job is placed.

    With few reports the declared size still counts; its weight falls with each
    report. Accelerators are whole devices and can't be shared, so the declared
    number is the least.

    Parameters
    ----------
    declared : Resources
        Declared size.
    estimate : SizeEstimate or None
        What was measured of jobs of the kind.
    largest : Resources
        Largest host.
    deviations : float
        Deviations above the mean to count; zero gives the expected size, by
        which running jobs are summed up and teams are charged.
    """
    guess = guessed_size(declared, largest)
    if estimate is None or not estimate.samples:
        return guess
    measured = Load(
        1.0,
        estimate.processors + deviations * estimate.processors_off,
        estimate.memory_mb,
        max(estimate.accelerators, declared.accelerators),
    )
    if is_seen(estimate):
        return measured
    trust = estimate.samples / (estimate.samples + PRIOR_SAMPLES)
    return Load(
        1.0,
        guess.processors + trust * (measured.processors - guess.processors),
        max(guess.memory_mb, measured.memory_mb),
        measured.accelerators,
    )

"""
mulberryledge_core.decisions.sizes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sizes of jobs: declared sizes corrected by usage reports, which lag behind.
"""

from dataclasses import dataclass

from mulberryledge_core.decisions.loads import Load
from mulberryledge_core.model.hosts import Resources

__all__ = [
    "MAX_UNMEASURED_PER_HOST",
    "SizeEstimate",
    "assumed_size",
    "corrected_size",
    "is_measured",
    "observe_size",
]

SMOOTHING_FACTOR = 0.25
DEVIATIONS = 2.0
PEAK_DECAY_PER_REPORT = 0.995
PRIOR_SAMPLES = 3.0
MIN_MEASURED_SAMPLES = 3
MIN_PROCESSORS = 0.05
MIN_MEMORY_MB = 16
DEFAULT_PROCESSORS = 1.0
DEFAULT_MEMORY_MB = 512
MAX_UNMEASURED_PER_HOST = 2


@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """
    Estimated size of the jobs of one team on one service, from usage reports.

    Attributes
    ----------
    processors, processors_deviation : float
        Moving averages of the cores in use and of their absolute deviation.
    memory_mb : float
        Slowly decaying peak of memory in megabytes.
    accelerators : float
        Slowly decaying peak of accelerators.
    samples : int
        Number of usage reports.
    """

    processors: float = 0.0
    processors_deviation: float = 0.0
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
    deviation = abs(cores - estimate.processors)
    return SizeEstimate(
        processors=_blend(estimate.processors, cores),
        processors_deviation=_blend(estimate.processors_deviation, deviation),
        memory_mb=max(measured.memory_mb, estimate.memory_mb * PEAK_DECAY_PER_REPORT),
        accelerators=max(
            measured.accelerators, estimate.accelerators * PEAK_DECAY_PER_REPORT
        ),
        samples=estimate.samples + 1,
    )


def _blend(before: float, now: float) -> float:
    return before + SMOOTHING_FACTOR * (now - before)


def is_measured(estimate: SizeEstimate | None) -> bool:
    """Return whether the estimate has enough samples to be relied upon."""
    return estimate is not None and estimate.samples >= MIN_MEASURED_SAMPLES


def assumed_size(declared: Resources, largest: Resources) -> Load:
    """
    Return the size assumed for a job without measurements.

    Parameters
    ----------
    declared : Resources
        Declared size; a quantity that is zero was not declared.
    largest : Resources
        Resources of the largest host, which bound the defaults. A declared size above
        them is kept, so that the job is found to fit no host.
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

    With fewer than :data:`MIN_MEASURED_SAMPLES` reports the declared size still
    counts, with a weight that falls with each report. Accelerators can't be shared,
    so the declared number is the minimum.

    Parameters
    ----------
    declared : Resources
        Declared size.
    estimate : SizeEstimate or None
        Estimate for jobs of the same team on the same service.
    largest : Resources
        Resources of the largest host.
    deviations : float
        Number of deviations added to the mean; zero gives the expected size, by
        which running jobs are summed up and teams are charged.
    """
    assumed = assumed_size(declared, largest)
    if estimate is None or not estimate.samples:
        return assumed
    measured = Load(
        1.0,
        estimate.processors + deviations * estimate.processors_deviation,
        estimate.memory_mb,
        max(estimate.accelerators, declared.accelerators),
    )
    if is_measured(estimate):
        return measured
    measured_weight = estimate.samples / (estimate.samples + PRIOR_SAMPLES)
    return Load(
        1.0,
        assumed.processors
        + measured_weight * (measured.processors - assumed.processors),
        max(assumed.memory_mb, measured.memory_mb),
        measured.accelerators,
    )

"""
mulberryledge_testing.soak.groups.log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Random faults on a simulated cluster.
"""

from mulberryledge_testing.simulation import run_seed

__all__ = ["run"]


def run(seed: int) -> str:
    """Run once with a seed beyond those of the suite and say what happened."""
    return str(run_seed(1_000_000 + seed))

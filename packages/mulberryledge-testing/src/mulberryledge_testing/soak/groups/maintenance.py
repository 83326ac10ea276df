"""
mulberryledge_testing.soak.groups.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Waves and repair under random failures, operators and changes of leader.
"""

from mulberryledge_testing.upkeep.chaos import Chaos

__all__ = ["run"]


def run(seed: int) -> str:
    """Run once with a seed; a broken invariant raises."""
    return Chaos(seed).run()

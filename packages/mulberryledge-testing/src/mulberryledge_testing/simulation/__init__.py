"""
mulberryledge_testing.simulation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Randomised runs of the replicated log's core over a fake network, fake disks and
clocks that drift, with the log's promises checked all along.
"""

from mulberryledge_testing.simulation.runs import RunReport, run_seed, try_seed
from mulberryledge_testing.simulation.world import Defects, World

__all__ = ["Defects", "RunReport", "World", "run_seed", "try_seed"]

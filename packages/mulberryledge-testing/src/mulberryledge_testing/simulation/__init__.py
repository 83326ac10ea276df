"""
mulberryledge_testing.simulation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Randomised runs of the replicated log's core over a simulated network, simulated
disks and drifting clocks, with the log's invariants checked throughout.
"""

from mulberryledge_testing.simulation.runs import RunReport, run_seed, try_seed
from mulberryledge_testing.simulation.world import Defects, World

__all__ = ["Defects", "RunReport", "World", "run_seed", "try_seed"]

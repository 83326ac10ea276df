"""
mulberryledge_testing.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A deterministic fleet in memory, driven by the leader's own maintenance tasks.
"""

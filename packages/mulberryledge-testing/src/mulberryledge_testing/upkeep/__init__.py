"""
mulberryledge_testing.upkeep
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A small deterministic fleet in memory, driven by the leader's own tasks.
"""

"""
mulberryledge_testing.bench.sizing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Slopes of memory, bytes and processor time by the size of the fleet.
"""

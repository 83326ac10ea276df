"""
mulberryledge_testing.endurance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs real daemons under load and random faults, and checks all invariants:
``python -m mulberryledge_testing.endurance [seconds] [seed]``.
"""

"""
mulberryledge_testing.endurance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Real daemons under load and random faults, with every promise watched:
``python -m mulberryledge_testing.endurance [seconds] [seed]``.
"""

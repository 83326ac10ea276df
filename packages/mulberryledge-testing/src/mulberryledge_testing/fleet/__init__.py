"""
mulberryledge_testing.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's capacity tasks with an in-memory log, simulated workers and one clock.
"""

"""
mulberryledge_testing.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's capacity tasks over an in-memory log and modelled workers, on one clock.
"""

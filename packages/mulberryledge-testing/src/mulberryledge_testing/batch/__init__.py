"""
mulberryledge_testing.batch
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulates a batch fleet in virtual time: targets, a cloud, a log, demand with peaks and
faults, and checks the invariants. The product's scheduler runs on it unchanged, through
its ports.
"""

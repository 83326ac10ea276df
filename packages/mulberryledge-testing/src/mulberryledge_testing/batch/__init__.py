"""
mulberryledge_testing.batch
~~~~~~~~~~~~~~~~~~~~~~~~~~~

A fleet in virtual time for jobs of steps: targets, a cloud, a log, demand in turns and
faults, with a witness of what must always hold. The scheduler of the product runs on
it as it is, through its ports.
"""

"""
mulberryledge_testing.bench.log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the measures of the replicated log need.
"""

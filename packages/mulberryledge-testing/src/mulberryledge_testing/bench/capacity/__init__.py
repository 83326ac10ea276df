"""
mulberryledge_testing.bench.capacity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Modelled demand, baselines and figures of the capacity measures.
"""

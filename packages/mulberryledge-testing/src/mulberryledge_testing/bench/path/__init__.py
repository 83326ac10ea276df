"""
mulberryledge_testing.bench.path
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Load generator and child processes of the measures on calls.
"""

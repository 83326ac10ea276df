"""
mulberryledge_testing
~~~~~~~~~~~~~~~~~~~~~

Small stand-ins for targets, callers and the platform, used by demo, tests and bench.
"""

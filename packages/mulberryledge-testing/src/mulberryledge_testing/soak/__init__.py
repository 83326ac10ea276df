"""
mulberryledge_testing.soak
~~~~~~~~~~~~~~~~~~~~~~~~~~

Long randomised runs: ``python -m mulberryledge_testing.soak [seconds] [seed]``.
"""

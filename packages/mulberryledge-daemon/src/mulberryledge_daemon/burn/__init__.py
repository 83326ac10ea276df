"""
mulberryledge_daemon.burn
~~~~~~~~~~~~~~~~~~~~~~~~~

Classification, counting and storage of calls for the report on error-budget burn.
"""

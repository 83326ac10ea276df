"""
mulberryledge_daemon.entry
~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks of an entry: admission, loans, queueing and dispatch of calls.
"""

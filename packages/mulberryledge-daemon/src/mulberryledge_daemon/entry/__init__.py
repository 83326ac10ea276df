"""
mulberryledge_daemon.entry
~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks of an entry: admission, loans and dispatch of calls.
"""

"""
mulberryledge_daemon.log
~~~~~~~~~~~~~~~~~~~~~~~~

Adapters of the replicated log: disk, peers, and the tasks of one daemon.
"""

"""
mulberryledge_daemon.log
~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log of one daemon: storage, membership and requests to the leader.
"""

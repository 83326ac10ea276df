"""
mulberryledge_daemon.batch
~~~~~~~~~~~~~~~~~~~~~~~~~~

Scheduling of jobs of steps: the leader's tasks that run them on targets, and the
gateways that forward callers' requests to the leader.
"""

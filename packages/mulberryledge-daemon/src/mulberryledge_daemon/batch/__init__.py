"""
mulberryledge_daemon.batch
~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs of steps: the leader's tasks that run them on targets, and the gateways that
hand callers' requests to the leader.
"""

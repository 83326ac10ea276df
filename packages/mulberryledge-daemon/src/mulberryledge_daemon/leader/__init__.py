"""
mulberryledge_daemon.leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that run on the daemon that leads: lending, jobs, leases, maintenance.
"""

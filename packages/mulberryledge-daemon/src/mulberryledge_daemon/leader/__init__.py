"""
mulberryledge_daemon.leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks of the leading daemon: loans, jobs, leases, maintenance.
"""

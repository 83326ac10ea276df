"""
mulberryledge_daemon.http
~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP interfaces, one module for each kind of client.
"""

"""
mulberryledge_daemon.http
~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP adapters, one module a kind of client.
"""

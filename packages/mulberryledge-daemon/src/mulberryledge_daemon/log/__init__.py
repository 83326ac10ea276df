"""
mulberryledge_daemon.log
~~~~~~~~~~~~~~~~~~~~~~~~

Adapters of the replicated log, one module a variant.
"""

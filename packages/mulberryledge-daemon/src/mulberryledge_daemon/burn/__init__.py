"""
mulberryledge_daemon.burn
~~~~~~~~~~~~~~~~~~~~~~~~~

The counts behind the report on service-level burn: cause, recorder and file.
"""

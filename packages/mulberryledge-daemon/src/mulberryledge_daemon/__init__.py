"""
mulberryledge_daemon
~~~~~~~~~~~~~~~~~~~~

The daemon: tasks that own their state, and adapters around the core. It is opened by
:func:`mulberryledge_daemon.daemon.open_daemon`; nothing is imported here, as the
platform's programs need a part of it only, and start often.
"""

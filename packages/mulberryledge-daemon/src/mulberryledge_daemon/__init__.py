"""
mulberryledge_daemon
~~~~~~~~~~~~~~~~~~~~

The daemon: tasks that own their state, and adapters around the core. Open it with
:func:`mulberryledge_daemon.daemon.open_daemon`. This module imports nothing, because
the platform's programs start often and use only part of the package.
"""

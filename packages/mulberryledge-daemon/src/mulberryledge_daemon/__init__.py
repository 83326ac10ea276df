"""
mulberryledge_daemon
~~~~~~~~~~~~~~~~~~~~

The daemon: tasks that own their state, and adapters around the core.
"""

from mulberryledge_daemon.daemon import open_daemon
from mulberryledge_daemon.settings import load_settings

__all__ = ["load_settings", "open_daemon"]

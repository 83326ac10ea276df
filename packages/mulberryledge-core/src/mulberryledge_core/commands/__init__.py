"""
mulberryledge_core.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Typed commands of the replicated log; :mod:`mulberryledge_core.commands.table` finds
them by name.
"""

__all__ = ["Command"]

Command = object

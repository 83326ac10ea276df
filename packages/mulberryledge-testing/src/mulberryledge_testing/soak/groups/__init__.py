"""
mulberryledge_testing.soak.groups
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Randomised runs, one module a group, each with ``run(seed) -> str``.
"""

from importlib import import_module
from pkgutil import iter_modules

__all__ = ["GROUPS", "get_group_by_name"]

GROUPS = tuple(sorted(module.name for module in iter_modules(__path__)))


def get_group_by_name(name: str):
    """Return the run function of a group, or None."""
    if name not in GROUPS:
        return None
    return import_module(f"{__name__}.{name}").run

"""
mulberryledge_cli
~~~~~~~~~~~~~~~~~

The operators' command line.
"""

from mulberryledge_cli.main import main

__all__ = ["main"]

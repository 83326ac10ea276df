"""
mulberryledge_cli
~~~~~~~~~~~~~~~~~

Command line for the operators of a cluster.
"""

from mulberryledge_cli.main import main

__all__ = ["main"]

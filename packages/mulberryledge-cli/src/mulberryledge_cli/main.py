"""
mulberryledge_cli.main
~~~~~~~~~~~~~~~~~~~~~~

Entry point of the operators' command line.
"""

from cleo.application import Application

from mulberryledge_cli.commands import COMMANDS

__all__ = ["main", "make_application"]


def make_application() -> Application:
    """Return the application with every command."""
    application = Application("mulberryledge", "0.1.0")
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line."""
    return make_application().run()

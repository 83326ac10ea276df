"""
mulberryledge_cli.commands.base
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What all commands share: where the entries are, and how outcomes are shown.
"""

import json
import os

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Result

from mulberryledge_cli.client import Failure, OperatorClient

__all__ = ["COMMON_OPTIONS", "OperatorCommand"]

EXIT_OK = 0
EXIT_REFUSED = 1
COMMON_OPTIONS = [
    option("entries", None, "Base URLs of entries, separated by commas.", flag=False),
    option("key", None, "The operators' key.", flag=False),
    option("json", None, "Print JSON."),
]


class OperatorCommand(Command):
    """A command that talks to the entries."""

    options = COMMON_OPTIONS

    def client(self) -> OperatorClient:
        """Return a client from options or environment."""
        entries = self.option("entries") or os.environ.get("MULBERRYLEDGE_ENTRIES", "")
        key = self.option("key") or os.environ.get("MULBERRYLEDGE_KEY", "")
        urls = tuple(url.rstrip("/") for url in entries.split(",") if url)
        return OperatorClient(urls, key)

    def show(self, outcome: Result[dict, Failure], text: str) -> int:
        """Print an outcome and return the exit code."""
        if isinstance(outcome, Err):
            failure = outcome.err_value
            self.line_error(f"{failure.code}: {failure.message}")
            return EXIT_REFUSED
        if self.option("json"):
            self.line(json.dumps(outcome.ok_value))
            return EXIT_OK
        waiting = outcome.ok_value.get("waiting")
        suffix = f", not yet in force on {', '.join(waiting)}" if waiting else ""
        self.line(text + suffix)
        return EXIT_OK

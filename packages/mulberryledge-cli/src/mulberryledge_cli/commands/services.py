"""
mulberryledge_cli.commands.services
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on service documents.
"""

from pathlib import Path

from cleo.helpers import argument, option
from result import Err

from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_core.commands.teams import ApplyDocument
from mulberryledge_core.documents import parse_document

__all__ = ["COMMANDS"]

EXIT_INVALID = 2


class ServiceApply(OperatorCommand):
    """Put a service document in force."""

    name = "service apply"
    description = "Puts a service document in force everywhere."
    arguments = [argument("path", "The document.")]
    options = [
        *COMMON_OPTIONS,
        option("number", None, "Number of the new version.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Apply the document."""
        text = Path(self.argument("path")).read_text()
        parsed = parse_document(text)
        if isinstance(parsed, Err):
            self.line_error(parsed.err_value.message)
            return EXIT_INVALID
        name = parsed.ok_value.service.name
        command = ApplyDocument(text, int(self.option("number")))
        shown = f"service {name} version {command.version} is in force"
        return self.show(self.client().propose(command), shown)


COMMANDS = (ServiceApply,)

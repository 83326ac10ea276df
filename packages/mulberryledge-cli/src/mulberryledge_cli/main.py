"""
mulberryledge_cli.main
~~~~~~~~~~~~~~~~~~~~~~

Application and entry point of the operators' command line.
"""

from importlib.metadata import version

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.input import Input
from cleo.io.io import IO
from cleo.io.outputs.output import Output

from mulberryledge_cli.commands import COMMANDS
from mulberryledge_cli.commands.base import EXIT_INVALID

__all__ = ["main", "make_application"]


class OperatorApplication(Application):
    """Application that exits with its own code on usage errors."""

    def __init__(self):
        super().__init__("mulberryledge", version("mulberryledge-cli"))
        self.auto_exits(False)
        self.usage_error = False

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run one command and return its exit code."""
        self.usage_error = False
        code = super().run(input, output, error_output)
        return EXIT_INVALID if self.usage_error else code

    def render_error(self, error: Exception, io: IO) -> None:
        """Print an error and record whether it is a usage error."""
        if not isinstance(error, CleoError):
            super().render_error(error, io)
            return
        self.usage_error = True
        io.write_error_line(str(error))


def make_application() -> Application:
    """Return the application with all commands registered."""
    application = OperatorApplication()
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line."""
    return make_application().run()

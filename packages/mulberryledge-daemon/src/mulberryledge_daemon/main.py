"""
mulberryledge_daemon.main
~~~~~~~~~~~~~~~~~~~~~~~~~

The command line of the daemon.
"""

import signal
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from mulberryledge_daemon.daemon import Daemon, open_daemon
from mulberryledge_daemon.logs import configure_logging
from mulberryledge_daemon.settings import load_settings

__all__ = ["main"]


class CheckSettingsCommand(Command):
    """Check a settings file."""

    name = "check-settings"
    description = "Checks a settings file and names every fault."
    arguments = [argument("path", "The settings file.")]

    def handle(self) -> int:
        """Check the file."""
        loaded = load_settings(Path(self.argument("path")))
        if isinstance(loaded, Err):
            self.line_error(loaded.err_value.message)
            return 2
        self.line("good")
        return 0


class RunCommand(Command):
    """Run a daemon."""

    name = "run"
    description = "Runs the daemon until SIGTERM."
    arguments = [argument("path", "The settings file.")]

    def handle(self) -> int:
        """Run until a signal stops the daemon."""
        loaded = load_settings(Path(self.argument("path")))
        if isinstance(loaded, Err):
            self.line_error(loaded.err_value.message)
            return 2
        settings = loaded.ok_value
        configure_logging(settings.daemon.name)
        with open_daemon(reactor, settings) as daemon:
            return run(daemon)


def run(daemon: Daemon) -> int:
    """
    Run a daemon on the reactor; return the process's exit code.

    The first signal begins a planned stop, the next one hurries it.
    """
    codes = []

    async def stop() -> None:
        codes.append(1 if await daemon.stop() else 0)
        reactor.stop()

    def begin_or_hurry() -> None:
        if daemon.stopping:
            daemon.hurry()
        else:
            Deferred.fromCoroutine(stop())

    def on_signal(number, frame) -> None:
        reactor.callFromThread(begin_or_hurry)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reactor.callWhenRunning(Deferred.fromCoroutine, daemon.start())
    reactor.run(installSignalHandlers=False)
    return codes[0] if codes else 1


def main() -> int:
    """Run the command line."""
    application = Application("mulberryledged", "0.1.0")
    application.add(CheckSettingsCommand())
    application.add(RunCommand())
    return application.run()

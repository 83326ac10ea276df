"""
mulberryledge_daemon.main
~~~~~~~~~~~~~~~~~~~~~~~~~

The command line of the daemon.
"""

import json
import logging
import secrets
import signal
from dataclasses import asdict
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from mulberryledge_core.keys import KEY_BYTES, make_key
from mulberryledge_core.outcomes import Refusal
from mulberryledge_daemon.daemon import Daemon, open_daemon
from mulberryledge_daemon.log.recovery import recover
from mulberryledge_daemon.log.storage import StorageError
from mulberryledge_daemon.logs import configure_logging
from mulberryledge_daemon.settings import load_settings
from mulberryledge_daemon.steady_time import use_steady_time

__all__ = ["main"]

EXIT_INVALID = 2

logger = logging.getLogger(__name__)


class CheckSettingsCommand(Command):
    """Check a settings file."""

    name = "check-settings"
    description = "Checks a settings file and lists every fault."
    help = "Example: <c1>mulberryledged check-settings settings.toml</c1>"
    arguments = [argument("path", "The settings file.")]

    def handle(self) -> int:
        """Check the file."""
        loaded = load_settings(Path(self.argument("path")))
        if isinstance(loaded, Err):
            print_faults(self, loaded.err_value)
            return EXIT_INVALID
        self.line("good")
        return 0


class MakeKeyCommand(Command):
    """Generate an operators' key."""

    name = "make-key"
    description = "Generates an operators' key and its settings section."
    help = "Example: <c1>mulberryledged make-key</c1>"

    def handle(self) -> int:
        """Print the key, which is not stored, and its settings section."""
        key = make_key(secrets.token_bytes(KEY_BYTES))
        self.line("# Keep this key: it is shown only once and not stored.")
        self.line(f"# {key.text}")
        self.line("")
        self.line("[operator]")
        self.line(f'key_id = "{key.key_id}"')
        self.line(f'salt = "{key.salt.hex()}"')
        self.line(f'digest = "{key.digest.hex()}"')
        return 0


class RecoverCommand(Command):
    """Recover from one data folder after a permanent loss of the majority of voters."""

    name = "recover"
    description = "Bootstraps a new cluster from this daemon's data folder alone."
    help = (
        "Use only after a permanent loss of a majority of the voters, with all other"
        " daemons stopped; see docs/operations/lost-majority.md. Without"
        " <c1>--yes</c1> it changes nothing and prints the expected result."
    )
    arguments = [argument("path", "The settings file.")]
    options = [option("yes", None, "Change the data folder.")]

    def handle(self) -> int:
        """Recover, or only print the expected result."""
        loaded = load_settings(Path(self.argument("path")))
        if isinstance(loaded, Err):
            print_faults(self, loaded.err_value)
            return EXIT_INVALID
        try:
            recovery = recover(loaded.ok_value, write=self.option("yes"))
        except StorageError as fault:
            self.line_error(f"daemon.data_folder: {fault}")
            return EXIT_INVALID
        self.line(json.dumps(asdict(recovery), indent=1))
        return 0


class RunCommand(Command):
    """Run a daemon."""

    name = "run"
    description = "Runs the daemon until SIGTERM; SIGHUP reloads the settings."
    help = "Example: <c1>mulberryledged run settings.toml</c1>"
    arguments = [argument("path", "The settings file.")]

    def handle(self) -> int:
        """Run until a signal stops the daemon."""
        path = Path(self.argument("path"))
        loaded = load_settings(path)
        if isinstance(loaded, Err):
            print_faults(self, loaded.err_value)
            return EXIT_INVALID
        settings = loaded.ok_value
        level = settings.logs.level.upper()
        configure_logging(settings.daemon.name, level)
        use_steady_time(reactor)
        try:
            with open_daemon(reactor, settings) as daemon:
                configure_logging(settings.daemon.name, level, daemon.log_position)
                return run(daemon, path)
        except StorageError as fault:
            self.line_error(f"daemon.data_folder: {fault}")
            return EXIT_INVALID


def print_faults(command: Command, refusal: Refusal) -> None:
    """Print each fault on its own line."""
    if not refusal.faults:
        command.line_error(refusal.message)
    for fault in refusal.faults:
        command.line_error(f"{fault.place}: {fault.problem}")


def run(daemon: Daemon, path: Path) -> int:
    """
    Run a daemon on the reactor; return the exit code of the process.

    The first signal starts a planned stop; a later one ends its wait for requests.
    """
    exit_codes = []

    async def stop() -> None:
        exit_codes.append(1 if await daemon.stop() else 0)
        reactor.stop()

    def stop_or_expedite() -> None:
        if daemon.stopping:
            daemon.expedite_stop()
        else:
            Deferred.fromCoroutine(stop())

    def on_signal(number, frame) -> None:
        reactor.callFromThread(stop_or_expedite)

    def on_hangup(number, frame) -> None:
        reactor.callFromThread(reload_settings, daemon, path)

    signal.signal(signal.SIGHUP, on_hangup)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reactor.callWhenRunning(Deferred.fromCoroutine, daemon.start())
    reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else 1


def reload_settings(daemon: Daemon, path: Path) -> None:
    """Reload the settings; a file with faults changes nothing."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        extra = {"why": loaded.err_value.message}
        logger.error("settings not reloaded", extra=extra)
        return
    plan = daemon.reload(loaded.ok_value)
    logging.getLogger().setLevel(loaded.ok_value.logs.level.upper())
    extra = {"applied": plan.applied, "needs_restart": plan.needs_restart}
    logger.info("settings reloaded", extra=extra)


def main() -> int:
    """Run the command line."""
    application = Application("mulberryledged", "0.1.0")
    application.add(CheckSettingsCommand())
    application.add(MakeKeyCommand())
    application.add(RecoverCommand())
    application.add(RunCommand())
    return application.run()

"""
mulberryledge_daemon.log.opening
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Opens the replicated log of one daemon.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from importlib import import_module
from pathlib import Path
from random import Random, SystemRandom

from twisted.internet.defer import maybeDeferred
from twisted.internet.threads import deferToThreadPool

from mulberryledge_daemon.log.options import DEFAULT_OPTIONS, LogOptions
from mulberryledge_daemon.log.replicated import ReplicatedLog
from mulberryledge_daemon.log.storage import open_storage
from mulberryledge_daemon.peers.network import TlsIdentity
from mulberryledge_daemon.settings import Settings, TlsSection

__all__ = ["open_log"]


@contextmanager
def open_log(
    reactor,
    settings: Settings,
    random: Random | None = None,
    options: LogOptions = DEFAULT_OPTIONS,
) -> Iterator[ReplicatedLog]:
    """
    Open the replicated log of a daemon; it joins its peers once started.

    Raises
    ------
    StorageError
        If the data folder cannot be used.
    """
    with ExitStack() as stack:
        storage, run = None, maybeDeferred
        if settings.daemon.data_folder:
            folder = Path(settings.daemon.data_folder)
            name = settings.daemon.name
            folder_id = (
                options.address_bootstrap.initial_folder(name)
                if options.address_bootstrap
                else ""
            )
            storage = stack.enter_context(
                open_storage(folder, name, initial_folder=folder_id)
            )

            def run(function, *args):
                pool = reactor.getThreadPool()
                return deferToThreadPool(reactor, pool, function, *args)

        yield ReplicatedLog(
            reactor,
            settings,
            storage,
            random or SystemRandom(),
            run,
            options,
            tls_identity(settings.tls),
        )


def tls_identity(section: TlsSection) -> TlsIdentity | None:
    """Return a daemon's certificate; without one, the TLS libraries are not loaded."""
    if not section.certificate:
        return None
    return import_module("mulberryledge_daemon.peers.tls").PeerContext(section)

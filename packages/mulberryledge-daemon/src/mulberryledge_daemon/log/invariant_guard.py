"""
mulberryledge_daemon.log.invariant_guard
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Exits the process when an invariant of the replicated log is broken.
"""

import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["EXIT_INVARIANT_BROKEN", "exit_on_exception"]

EXIT_INVARIANT_BROKEN = 70

logger = logging.getLogger(__name__)


@contextmanager
def exit_on_exception() -> Iterator[None]:
    """
    Exit the process if the body raises an exception.

    The reactor would log it and continue with a state that may be inconsistent;
    the other daemons continue without this one.
    """
    try:
        yield
    except Exception:
        logger.critical("invariant broken: stopping", exc_info=True)
        logging.shutdown()
        os._exit(EXIT_INVARIANT_BROKEN)

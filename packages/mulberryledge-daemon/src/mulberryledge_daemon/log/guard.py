"""
mulberryledge_daemon.log.guard
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stops the process once an invariant of the replicated log is broken.
"""

import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["EXIT_BROKEN", "stop_if_broken"]

EXIT_BROKEN = 70

logger = logging.getLogger(__name__)


@contextmanager
def stop_if_broken() -> Iterator[None]:
    """
    End the process if the body fails.

    The reactor would log the failure and go on with a state that nobody can
    vouch for; the other daemons go on without this one.
    """
    try:
        yield
    except Exception:
        logger.critical("invariant broken: stopping", exc_info=True)
        logging.shutdown()
        os._exit(EXIT_BROKEN)

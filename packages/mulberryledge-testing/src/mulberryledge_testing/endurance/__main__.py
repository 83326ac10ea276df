"""
mulberryledge_testing.endurance.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs real daemons under load and faults and prints the verdict.
"""

import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from twisted.internet import reactor

from mulberryledge_testing.endurance.run import run
from mulberryledge_testing.reactor_thread import (
    run_coroutine,
    running_reactor,
)

__all__ = ["main"]

DEFAULT_SECONDS = 30.0
DEFAULT_SEED = 1
SLACK_S = 120.0


def main(seconds: float, seed: int) -> int:
    """Run once; return 1 if a promise was broken."""
    with running_reactor(), TemporaryDirectory() as folder:
        verdict = run_coroutine(
            lambda: run(reactor, Path(folder), seconds, seed), seconds + SLACK_S
        )
    print(f"seed {seed}: {verdict.text()}")
    return 1 if verdict.broken else 0


if __name__ == "__main__":
    given = sys.argv[1:]
    duration = float(given[0]) if given else DEFAULT_SECONDS
    sys.exit(main(duration, int(given[1]) if len(given) > 1 else DEFAULT_SEED))

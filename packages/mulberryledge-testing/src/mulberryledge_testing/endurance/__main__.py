"""
mulberryledge_testing.endurance.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Command line of an endurance run; prints the verdict.
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
    """Run once; return 1 if an invariant was violated, else 0."""
    with running_reactor(), TemporaryDirectory() as folder:
        verdict = run_coroutine(
            lambda: run(reactor, Path(folder), seconds, seed), seconds + SLACK_S
        )
    print(f"seed {seed}: {verdict.text()}")
    return 1 if verdict.broken else 0


if __name__ == "__main__":
    arguments = sys.argv[1:]
    duration = float(arguments[0]) if arguments else DEFAULT_SECONDS
    sys.exit(main(duration, int(arguments[1]) if len(arguments) > 1 else DEFAULT_SEED))

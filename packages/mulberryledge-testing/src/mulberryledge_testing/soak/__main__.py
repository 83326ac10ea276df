"""
mulberryledge_testing.soak.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs every group with one seed after the other until the time is over.
"""

import sys
import time

from mulberryledge_testing.soak.groups import GROUPS, get_group_by_name

__all__ = ["main"]

DEFAULT_SECONDS = 60.0
DEFAULT_SEED = 1


def main(seconds: float, seed: int) -> int:
    """Run until the time is over; a broken invariant ends the run."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in GROUPS:
            print(f"seed {seed} {name}: {get_group_by_name(name)(seed)}", flush=True)
        seed += 1
    return 0


if __name__ == "__main__":
    given = sys.argv[1:]
    duration = float(given[0]) if given else DEFAULT_SECONDS
    sys.exit(main(duration, int(given[1]) if len(given) > 1 else DEFAULT_SEED))

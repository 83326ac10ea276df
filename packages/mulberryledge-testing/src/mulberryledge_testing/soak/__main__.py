"""
mulberryledge_testing.soak.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs every group with one seed after the other until the time is over.
"""

import sys
import time
import traceback
from argparse import ArgumentParser

from mulberryledge_testing.soak.groups import GROUPS, get_group_by_name

__all__ = ["main"]

DEFAULT_SECONDS = 60.0
DEFAULT_SEED = 1
EXIT_BROKEN = 1


def main(arguments: list[str]) -> int:
    """Run until the time is over; the first broken invariant ends the run."""
    options = parse(arguments)
    if not GROUPS:
        print("no soak group is there, so nothing was tried", file=sys.stderr)
        return EXIT_BROKEN
    end = time.monotonic() + options.seconds
    seed = options.seed
    runs = 0
    while runs == 0 or time.monotonic() < end:
        for name in options.group or GROUPS:
            print(f"seed {seed} {name}: ", end="", flush=True)
            try:
                print(get_group_by_name(name)(seed), flush=True)
            except Exception:
                print("BROKEN", flush=True)
                traceback.print_exc()
                again = f"soak 0 {seed} --group {name}"
                print(f"again: python -m mulberryledge_testing.{again}")
                return EXIT_BROKEN
        seed += 1
        runs += 1
    print(f"{runs} seeds from {options.seed}, nothing broken")
    return 0


def parse(arguments: list[str]):
    """Return the parsed arguments."""
    parser = ArgumentParser(prog="soak", description=__doc__.splitlines()[-1])
    parser.add_argument("seconds", nargs="?", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("seed", nargs="?", type=int, default=DEFAULT_SEED)
    parser.add_argument("--group", action="append", choices=GROUPS)
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""
mulberryledge_testing.stand_in
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A stand-in target as a process, to try a daemon by hand.
"""

import sys
from argparse import ArgumentParser

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall

from mulberryledge_testing.callers import Caller
from mulberryledge_testing.targets import StandInTarget

__all__ = ["main"]

RENEW_INTERVAL_S = 1.0


def main(arguments: list[str]) -> int:
    """Announce a target that echoes its calls, and keep it until a signal."""
    parser = ArgumentParser(prog="stand_in", description=__doc__.splitlines()[-1])
    for name in ("url", "target", "host", "service", "key"):
        parser.add_argument(name)
    options = parser.parse_args(arguments)
    caller = Caller(reactor, options.url, options.key)
    target = StandInTarget(
        reactor, options.target, options.host, options.service, caller
    )
    codes = [0]

    async def start() -> None:
        response = await target.announce()
        print(response.body.decode().strip(), flush=True)
        if response.status != 200:
            codes[0] = 1
            reactor.stop()
            return
        loop = LoopingCall(lambda: ensureDeferred(target.renew()))
        loop.start(RENEW_INTERVAL_S, now=False)

    def begin() -> None:
        target.listen()
        ensureDeferred(start())

    reactor.callWhenRunning(begin)
    reactor.run()
    return codes[0]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

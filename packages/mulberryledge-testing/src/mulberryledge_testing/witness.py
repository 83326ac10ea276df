"""
mulberryledge_testing.witness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Compares what callers were told with what targets ran, request by request.
"""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["ANSWERED", "LOST", "NOT_RUN", "Told", "Witness"]

ANSWERED = "answered"
NOT_RUN = "not-run"
LOST = "lost"


@dataclass(frozen=True, slots=True)
class Told:
    """
    What a caller was told of one request.

    Attributes
    ----------
    outcome : str
        ``answered``, ``not-run``, ``ran`` or ``unknown``; ``lost`` when the entry
        went away without a reply.
    body : bytes
        Answer, if there was one.
    """

    outcome: str
    body: bytes = b""


@dataclass(slots=True)
class Witness:
    """
    Owns the records of one run and checks the promises on requests.

    Attributes
    ----------
    runs : Counter
        Runs on targets by request identifier.
    told : dict of str to list of Told
        Replies by request identifier, one a send.
    once : set of str
        Requests that must not be repeated.
    running, most_running : Counter
        Runs under way now by team, and the highest number seen at once.
    limits : dict of str to int
        Upper limit by team.
    broken : list of str
        Broken promises, in order of discovery.
    """

    runs: Counter = field(default_factory=Counter)
    told: dict[str, list[Told]] = field(default_factory=dict)
    once: set[str] = field(default_factory=set)
    running: Counter = field(default_factory=Counter)
    most_running: Counter = field(default_factory=Counter)
    limits: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def expect(self, condition: bool, text: str) -> None:
        """Record a broken promise unless the condition holds."""
        if not condition:
            self.broken.append(text)

    def begin(self, request_id: str, team: str) -> None:
        """Count the start of a run on a target."""
        self.runs[request_id] += 1
        self.running[team] += 1
        self.most_running[team] = max(self.most_running[team], self.running[team])
        count, limit = self.running[team], self.limits[team]
        self.expect(count <= limit, f"{team} runs {count}, its upper limit is {limit}")
        if request_id in self.once:
            count = self.runs[request_id]
            self.expect(count == 1, f"{request_id} ran {count} times")

    def end(self, team: str) -> None:
        """Count the end of a run on a target."""
        self.running[team] -= 1

    def tell(self, request_id: str, told: Told, whole: bytes) -> None:
        """Record a reply; an answer must be the whole answer to its own request."""
        runs = self.runs[request_id]
        if told.outcome == ANSWERED:
            text = f"{request_id} got {told.body[:60]!r}"
            self.expect(told.body == whole, text)
            self.expect(runs > 0, f"{request_id} was answered, but no target ran it")
        if told.outcome == NOT_RUN:
            text = f"{request_id} was refused as not run after {runs} runs"
            self.expect(runs == 0, text)
        self.told.setdefault(request_id, []).append(told)

    def check(self) -> None:
        """Check what can only be said once everything has ended."""
        for request_id, replies in self.told.items():
            outcomes = {reply.outcome for reply in replies}
            runs = self.runs[request_id]
            if outcomes == {NOT_RUN}:
                text = f"{request_id} was refused as not run, but ran {runs} times"
                self.expect(runs == 0, text)

    def summary(self) -> Counter:
        """Return the number of replies by outcome."""
        replies = (reply for told in self.told.values() for reply in told)
        return Counter(reply.outcome for reply in replies)

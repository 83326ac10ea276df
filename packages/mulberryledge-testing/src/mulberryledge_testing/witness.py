"""
mulberryledge_testing.witness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Compares what callers were told with what targets ran, request by request.
"""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Told", "Witness"]


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
    """

    runs: Counter = field(default_factory=Counter)
    told: dict[str, list[Told]] = field(default_factory=dict)
    once: set[str] = field(default_factory=set)
    running: Counter = field(default_factory=Counter)
    most_running: Counter = field(default_factory=Counter)
    limits: dict[str, int] = field(default_factory=dict)

    def begin(self, request_id: str, team: str) -> None:
        """Count the start of a run on a target."""
        self.runs[request_id] += 1
        self.running[team] += 1
        self.most_running[team] = max(self.most_running[team], self.running[team])
        limit = self.limits[team]
        assert self.running[team] <= limit, f"{team} runs over its limit of {limit}"
        if request_id in self.once:
            assert self.runs[request_id] == 1, f"{request_id} ran more than once"

    def end(self, team: str) -> None:
        """Count the end of a run on a target."""
        self.running[team] -= 1

    def tell(self, request_id: str, told: Told, whole: bytes) -> None:
        """Record a reply; an answer must be the whole answer to its own request."""
        if told.outcome == "answered":
            assert told.body == whole, f"{request_id} got {told.body!r}"
        self.told.setdefault(request_id, []).append(told)

    def check(self) -> None:
        """Check what can only be said once everything has ended."""
        for request_id, replies in self.told.items():
            outcomes = {reply.outcome for reply in replies}
            runs = self.runs[request_id]
            if outcomes == {"not-run"}:
                assert runs == 0, f"{request_id} was refused as not run, but ran"
            if "answered" in outcomes:
                assert runs > 0, f"{request_id} was answered, but no target ran it"

    def summary(self) -> dict[str, int]:
        """Return the number of replies by outcome."""
        replies = [reply for told in self.told.values() for reply in told]
        return dict(Counter(reply.outcome for reply in replies))

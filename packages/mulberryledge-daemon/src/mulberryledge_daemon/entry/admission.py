"""
mulberryledge_daemon.entry.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Who may ask: keys checked against the replicated state while it is fresh.
"""

from result import Err, Ok, Result

from mulberryledge_core.keys import secret_matches, split_key
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["KeyCache", "admit", "still_valid"]

CACHED_KEYS = 4_096


class KeyCache:
    """
    Remembers which header values proved which keys.

    A hit counts only while the very record that it was proved against is in the
    replicated state, so a withdrawn or replaced key misses.
    """

    def __init__(self):
        self.proved: dict[str, TeamKey] = {}

    def find(self, log: ReplicatedLog, authorization: str) -> TeamKey | None:
        """Return the key that the header value proved before, if still valid."""
        key = self.proved.get(authorization)
        if key is not None and log.state.keys.get(key.key_id) is key:
            return key
        return None

    def keep(self, authorization: str, key: TeamKey) -> None:
        """Remember a proof."""
        if len(self.proved) >= CACHED_KEYS:
            self.proved.clear()
        self.proved[authorization] = key


def admit(
    log: ReplicatedLog, authorization: str, cache: KeyCache | None = None
) -> Result[TeamKey, Refusal]:
    """
    Check the value of an Authorization header.

    Returns
    -------
    Result of TeamKey and Refusal
        Code ``not-fresh`` if this daemon cannot know which keys are withdrawn.
    """
    if not log.is_fresh():
        return Err(not_fresh())
    cached = cache.find(log, authorization) if cache is not None else None
    if cached is not None:
        return Ok(cached)
    scheme, _, text = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return Err(Refusal(Code.BAD_KEY, "send 'Authorization: Bearer <team key>'"))
    key_id, secret = split_key(text.strip())
    key = log.state.keys.get(key_id)
    if key is None or not secret_matches(key, secret):
        return Err(Refusal(Code.BAD_KEY, "the key is unknown or withdrawn"))
    if cache is not None:
        cache.keep(authorization, key)
    return Ok(key)


def still_valid(log: ReplicatedLog, key: TeamKey) -> Refusal | None:
    """Return why work under an admitted key may not go on to a target, or None."""
    if not log.is_fresh():
        return not_fresh()
    if log.state.keys.get(key.key_id) != key:
        text = "the key was withdrawn while the call waited"
        return Refusal(Code.BAD_KEY, text)
    return None


def not_fresh() -> Refusal:
    """Return the refusal of an entry that may have missed news."""
    text = "this entry has lost touch with the others: try another one"
    return Refusal(Code.NOT_FRESH, text)

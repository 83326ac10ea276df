"""
mulberryledge_daemon.entry.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Authentication of team keys against the replicated state while it is fresh.
"""

from result import Err, Ok, Result

from mulberryledge_core.keys import secret_matches, split_key
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["KeyCache", "admit", "recheck_key"]

MAX_CACHED_KEYS = 4_096


class KeyCache:
    """
    Caches the key that each verified Authorization header value stands for.

    An entry is valid only while the same key record is in the replicated state, so
    a withdrawn or replaced key is a cache miss.
    """

    def __init__(self):
        self.verified_keys: dict[str, TeamKey] = {}

    def find(self, log: ReplicatedLog, authorization: str) -> TeamKey | None:
        """Return the cached key of a header value if it is still valid."""
        key = self.verified_keys.get(authorization)
        if key is not None and log.state.keys.get(key.key_id) is key:
            return key
        return None

    def add(self, authorization: str, key: TeamKey) -> None:
        """Cache a verified header value; a full cache is cleared."""
        if len(self.verified_keys) >= MAX_CACHED_KEYS:
            self.verified_keys.clear()
        self.verified_keys[authorization] = key


def admit(
    log: ReplicatedLog, authorization: str, cache: KeyCache | None = None
) -> Result[TeamKey, Refusal]:
    """
    Authenticate the value of an Authorization header.

    Returns
    -------
    Result of TeamKey and Refusal
        Code ``not-fresh`` if this daemon may have missed the withdrawal of a key.
    """
    if not log.is_fresh():
        return Err(not_fresh_refusal())
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
        cache.add(authorization, key)
    return Ok(key)


def recheck_key(log: ReplicatedLog, key: TeamKey) -> Refusal | None:
    """Return why an admitted key may not be used for a dispatch any more, or None."""
    if not log.is_fresh():
        return not_fresh_refusal()
    if log.state.keys.get(key.key_id) != key:
        text = "the key was withdrawn while the call was queued"
        return Refusal(Code.BAD_KEY, text)
    return None


def not_fresh_refusal() -> Refusal:
    """Return the refusal of an entry whose state may be out of date."""
    text = "this entry is not in contact with the cluster: try another one"
    return Refusal(Code.NOT_FRESH, text)

"""
mulberryledge_daemon.entry.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Who may ask: keys checked against the replicated state while it is fresh.
"""

from result import Err, Ok, Result

from mulberryledge_core.keys import matches, split_key
from mulberryledge_core.model.teams import TeamKey
from mulberryledge_core.outcomes import Code, Refusal
from mulberryledge_daemon.ports import ReplicatedLog

__all__ = ["admit"]


def admit(log: ReplicatedLog, authorization: str) -> Result[TeamKey, Refusal]:
    """
    Check the value of an Authorization header.

    Returns
    -------
    Result of TeamKey and Refusal
        Code ``not-fresh`` if this daemon cannot know which keys are withdrawn.
    """
    if not log.is_fresh():
        text = "this entry has lost touch with the others: try another one"
        return Err(Refusal(Code.NOT_FRESH, text))
    scheme, _, text = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return Err(Refusal(Code.BAD_KEY, "send 'Authorization: Bearer <team key>'"))
    key_id, secret = split_key(text.strip())
    key = log.state.keys.get(key_id)
    if key is None or not matches(key, secret):
        return Err(Refusal(Code.BAD_KEY, "the key is unknown or withdrawn"))
    return Ok(key)

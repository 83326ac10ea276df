"""
mulberryledge_core.state.results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Constructors of the outcomes that appliers return.
"""

from result import Err, Ok

from mulberryledge_core.documents import NAME_RULE
from mulberryledge_core.outcomes import Applied, ApplyResult, Code, Refusal

__all__ = ["invalid_name", "not_found", "ok", "refuse"]


def ok(index: int, detail: str = "") -> ApplyResult:
    """Return a success that took effect at the index."""
    return Ok(Applied(index, detail))


def refuse(code: Code, message: str) -> ApplyResult:
    """Return a refusal."""
    return Err(Refusal(code, message))


def not_found(kind: str, name: str) -> ApplyResult:
    """Return the refusal for a name that is not in its table."""
    return refuse(Code.NOT_FOUND, f"{kind} {name!r} does not exist")


def invalid_name(kind: str, name: str) -> ApplyResult:
    """Return the refusal for a malformed name."""
    return refuse(Code.BAD_REQUEST, f"{kind} {name!r} is not a valid name: {NAME_RULE}")

"""
mulberryledge_core.keys
~~~~~~~~~~~~~~~~~~~~~~~

Team keys: a public identifier and a secret, stored as a salted hash only.
"""

import hashlib
import hmac
from dataclasses import dataclass

from mulberryledge_core.model.teams import TeamKey

__all__ = [
    "KEY_BYTES",
    "KEY_ID_RULE",
    "NewKey",
    "digest_secret",
    "is_key_id",
    "make_key",
    "secret_matches",
    "split_key",
]

ID_BYTES = 6
SALT_BYTES = 16
SECRET_BYTES = 24
MAX_KEY_ID_CHARS = 64
KEY_ID_RULE = "use 1 to 64 lower-case letters, digits and hyphens"
KEY_ID_CHARS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")
KEY_BYTES = ID_BYTES + SALT_BYTES + SECRET_BYTES


@dataclass(frozen=True, slots=True)
class NewKey:
    """A new key with its text, which is not stored and shown once only."""

    key_id: str
    text: str
    salt: bytes
    digest: bytes


def make_key(random_bytes: bytes) -> NewKey:
    """
    Make a key from :data:`KEY_BYTES` cryptographically random bytes.

    Returns
    -------
    NewKey
        Its ``text`` is ``mlk_<id>_<secret>``.
    """
    key_id = random_bytes[:ID_BYTES].hex()
    salt = random_bytes[ID_BYTES : ID_BYTES + SALT_BYTES]
    secret = random_bytes[ID_BYTES + SALT_BYTES :].hex()
    return NewKey(key_id, f"mlk_{key_id}_{secret}", salt, digest_secret(salt, secret))


def digest_secret(salt: bytes, secret: str) -> bytes:
    """
    Return the salted hash of a secret.

    The secret has 192 random bits, so a slow password hash is not needed.
    """
    return hashlib.blake2b(secret.encode(), salt=salt, digest_size=32).digest()


def is_key_id(text: str) -> bool:
    """Return whether the text is a valid key identifier."""
    return 0 < len(text) <= MAX_KEY_ID_CHARS and KEY_ID_CHARS.issuperset(text)


def split_key(text: str) -> tuple[str, str]:
    """Split a key into identifier and secret, both empty if it is malformed."""
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != "mlk":
        return "", ""
    return parts[1], parts[2]


def secret_matches(key: TeamKey, secret: str) -> bool:
    """Return whether the secret belongs to the key, in constant time."""
    return hmac.compare_digest(key.digest, digest_secret(key.salt, secret))

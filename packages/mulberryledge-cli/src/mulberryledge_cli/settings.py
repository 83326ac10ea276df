"""
mulberryledge_cli.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~

Where the entries are and which key to present: flags, then environment, then file.
"""

import os
import ssl
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from mulberryledge_core.codec import from_plain

__all__ = ["ClientSettings", "load_client_settings", "tls_context"]

DEFAULT_PATH = "~/.config/mulberryledge/settings.toml"
PATH_VARIABLE = "MULBERRYLEDGE_SETTINGS"
ENTRIES_VARIABLE = "MULBERRYLEDGE_ENTRIES"
KEY_VARIABLE = "MULBERRYLEDGE_KEY"


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """
    Settings of the operators' command line.

    Attributes
    ----------
    entries : tuple of str
        Base URLs of the entries' operators' interfaces.
    key, key_file : str
        The operators' key, or a file that holds it.
    ca_file : str
        Certificate authority of the entries, for ``https`` URLs.
    certificate_file, private_key_file : str
        Certificate that this client shows, and its key.
    """

    entries: tuple[str, ...] = ()
    key: str = ""
    key_file: str = ""
    ca_file: str = ""
    certificate_file: str = ""
    private_key_file: str = ""


def load_client_settings(
    path: str, entries: str, key: str, environment: Mapping[str, str] = os.environ
) -> Result[ClientSettings, str]:
    """
    Combine flags, environment and file.

    Parameters
    ----------
    path, entries, key : str
        Values of the flags, empty if not given.

    Returns
    -------
    Result of ClientSettings and str
        The error names the file and the place.
    """
    named = path or environment.get(PATH_VARIABLE, "")
    stored = _read(Path(named or DEFAULT_PATH).expanduser(), bool(named))
    if isinstance(stored, Err):
        return stored
    file = stored.ok_value
    given = entries or environment.get(ENTRIES_VARIABLE, "")
    urls = tuple(url.strip() for url in given.split(",")) if given else file.entries
    key = key or environment.get(KEY_VARIABLE, "") or file.key
    if not key and file.key_file:
        try:
            key = Path(file.key_file).expanduser().read_text().strip()
        except OSError as error:
            return Err(f"key_file {file.key_file}: {error.strerror}")
    return Ok(
        ClientSettings(
            entries=tuple(url.rstrip("/") for url in urls if url),
            key=key,
            ca_file=file.ca_file,
            certificate_file=file.certificate_file,
            private_key_file=file.private_key_file,
        )
    )


def _read(path: Path, required: bool) -> Result[ClientSettings, str]:
    if not required and not path.exists():
        return Ok(ClientSettings())
    try:
        plain = tomllib.loads(path.read_text())
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    except ValueError as error:
        return Err(f"{path}: not TOML: {error}")
    return from_plain(plain, ClientSettings).map_err(
        lambda refusal: f"{path}: {refusal.message}"
    )


def tls_context(settings: ClientSettings) -> Result[ssl.SSLContext | bool, str]:
    """Return how to check the entries and what to show them."""
    if not settings.ca_file:
        return Ok(True)
    try:
        context = ssl.create_default_context(cafile=settings.ca_file)
        if settings.certificate_file:
            key_file = settings.private_key_file or None
            context.load_cert_chain(settings.certificate_file, key_file)
    except OSError as error:
        return Err(f"TLS files: {error}")
    return Ok(context)

"""
mulberryledge_cli.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries, key and TLS files, read from flags, then environment, then settings file.
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
        Base URLs of the entries' operator APIs.
    key, key_file : str
        The operators' key, or a file that contains it.
    ca_file : str
        Certificate authority of the entries, for ``https`` URLs.
    certificate_file, private_key_file : str
        Client certificate and its private key.
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
    Combine flags, environment and settings file, in this order of precedence.

    Parameters
    ----------
    path, entries, key : str
        Values of the flags, empty if not given.

    Returns
    -------
    Result of ClientSettings and str
        The error names the file and the place of the fault.
    """
    explicit_path = path or environment.get(PATH_VARIABLE, "")
    loaded = _load_file(
        Path(explicit_path or DEFAULT_PATH).expanduser(), bool(explicit_path)
    )
    if isinstance(loaded, Err):
        return loaded
    from_file = loaded.ok_value
    entries_text = entries or environment.get(ENTRIES_VARIABLE, "")
    urls = (
        tuple(url.strip() for url in entries_text.split(","))
        if entries_text
        else from_file.entries
    )
    key = key or environment.get(KEY_VARIABLE, "") or from_file.key
    if not key and from_file.key_file:
        try:
            key = Path(from_file.key_file).expanduser().read_text().strip()
        except OSError as error:
            return Err(f"key_file {from_file.key_file}: {error.strerror}")
    return Ok(
        ClientSettings(
            entries=tuple(url.rstrip("/") for url in urls if url),
            key=key,
            ca_file=from_file.ca_file,
            certificate_file=from_file.certificate_file,
            private_key_file=from_file.private_key_file,
        )
    )


def _load_file(path: Path, required: bool) -> Result[ClientSettings, str]:
    if not required and not path.exists():
        return Ok(ClientSettings())
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    except ValueError as error:
        return Err(f"{path}: not TOML: {error}")
    return from_plain(document, ClientSettings).map_err(
        lambda refusal: f"{path}: {refusal.message}"
    )


def tls_context(settings: ClientSettings) -> Result[ssl.SSLContext | bool, str]:
    """Return a TLS context with the given files, or True for the default checks."""
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

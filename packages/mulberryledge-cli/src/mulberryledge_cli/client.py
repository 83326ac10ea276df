"""
mulberryledge_cli.client
~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP client, which tries the next entry where a resend is harmless.
"""

from dataclasses import dataclass

import httpx
from result import Err, Ok, Result

from mulberryledge_core.codec import to_plain
from mulberryledge_core.commands import Command

__all__ = ["Failure", "OperatorClient"]

TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request failed."""

    code: str
    message: str


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """
    Talks to the first entry that answers.

    Attributes
    ----------
    entries : tuple of str
        Base URLs of the operators' interfaces.
    key : str
        The operators' key.
    """

    entries: tuple[str, ...]
    key: str

    def propose(self, command: Command) -> Result[dict, Failure]:
        """Send a command; commands are idempotent, so a resend is harmless."""
        path = f"/v1/commands/{type(command).__name__}"
        return self.exchange("POST", path, to_plain(command))

    def table(self, name: str) -> Result[dict, Failure]:
        """Fetch one table of the state."""
        return self.exchange("GET", f"/v1/tables/{name}", None)

    def exchange(self, method: str, path: str, body) -> Result[dict, Failure]:
        """Try the entries in turn until one answers."""
        last = Failure("no-entry", "no entry is configured")
        for entry in self.entries:
            try:
                response = httpx.request(
                    method,
                    entry + path,
                    json=body,
                    headers={"Authorization": f"Bearer {self.key}"},
                    timeout=TIMEOUT_S,
                    trust_env=False,
                )
            except httpx.TransportError as error:
                last = Failure("no-entry", f"{entry}: {error}")
                continue
            if response.is_success:
                return Ok(response.json())
            answer = response.json()
            last = Failure(answer["code"], answer["message"])
            if response.status_code != 503:
                break
        return Err(last)

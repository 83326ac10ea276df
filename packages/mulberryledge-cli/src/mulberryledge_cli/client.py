"""
mulberryledge_cli.client
~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP client, which tries the next entry where a resend is harmless.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import httpx
from result import Err, Ok, Result

from mulberryledge_core.codec import to_plain
from mulberryledge_core.commands import Command

__all__ = ["Failure", "OperatorClient", "Progress"]

TIMEOUT_S = 15.0
RETRY_S = 5.0
RETRY_INTERVAL_S = 0.3
POLL_S = 1.0
DEFAULT_WAIT_S = 8.0
SHOWN_CHARS = 200
RETRY_STATUSES = frozenset((502, 503, 504))
LOST_ANSWER = "unknown-outcome"
NO_ENTRY = "no-entry"

Progress = Callable[[list[str], float], None]


@dataclass(frozen=True, slots=True)
class Failure:
    """
    Why a request failed.

    Attributes
    ----------
    code : str
        Code of the refusal, ``no-entry`` if no entry could be reached, or
        ``unknown-outcome`` if a request was sent and its answer was lost.
    message : str
        What happened, and what to do next.
    faults : tuple of dict
        Each fault with its place, where there are several.
    """

    code: str
    message: str
    faults: tuple[dict[str, str], ...] = ()


def no_progress(waiting: list[str], seconds: float) -> None:
    """Show nothing."""


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
    verify : ssl.SSLContext or bool
        How the entries' certificates are checked.
    wait_s : float
        Longest wait for a change to be in force everywhere, in seconds.
    progress : callable
        Told about the daemons that are waited for.
    """

    entries: tuple[str, ...]
    key: str
    verify: Any = True
    wait_s: float = DEFAULT_WAIT_S
    progress: Progress = no_progress

    def propose(self, command: Command) -> Result[dict, Failure]:
        """
        Send a command and wait until it is in force everywhere.

        Commands are idempotent, so a lost answer is followed by the same command
        at the next entry.
        """
        name = type(command).__name__
        path = f"/v1/commands/{name}?wait_s={min(POLL_S, self.wait_s)}"
        outcome, resent = self.send("POST", path, to_plain(command))
        if isinstance(outcome, Err) and resent and is_done(name, outcome.err_value):
            return Ok({"index": 0, "detail": "done by an earlier send", "waiting": []})
        if isinstance(outcome, Err) or not outcome.ok_value.get("waiting"):
            return outcome
        return Ok(self.wait_in_force(outcome.ok_value))

    def wait_in_force(self, answer: dict) -> dict:
        """Wait until an accepted command is in force everywhere, with progress."""
        began = time.monotonic()
        while answer["waiting"] and time.monotonic() - began < self.wait_s:
            self.progress(answer["waiting"], time.monotonic() - began)
            path = f"/v1/in-force/{answer['index']}?wait_s={POLL_S}"
            found = self.exchange("GET", path, None)
            if isinstance(found, Err):
                time.sleep(RETRY_INTERVAL_S)
                continue
            answer = answer | {"waiting": found.ok_value["waiting"]}
        return answer

    def table(self, name: str, row: str = "") -> Result[dict, Failure]:
        """Fetch the rows of one table of the state, or one row."""
        path = f"/v1/tables/{name}"
        if row:
            path += f"?name={quote(row, safe='')}"
        return self.exchange("GET", path, None).map(lambda answer: answer["rows"])

    def exchange(self, method: str, path: str, body) -> Result[dict, Failure]:
        """Try the entries in turn until one answers."""
        return self.send(method, path, body)[0]

    def send(self, method: str, path: str, body) -> tuple[Result[dict, Failure], bool]:
        """
        Try the entries in turn, and again for a few seconds.

        Returns
        -------
        tuple of Result and bool
            The outcome, and whether an earlier answer was lost.
        """
        if not self.entries:
            text = "no entry is configured: use --entries, MULBERRYLEDGE_ENTRIES"
            return Err(Failure(NO_ENTRY, f"{text} or the settings file")), False
        lost = False
        end = time.monotonic() + RETRY_S
        while True:
            for entry in self.entries:
                outcome = self.ask(entry, method, path, body)
                if not isinstance(outcome, Err):
                    return outcome, lost
                failure, retry = outcome.err_value
                lost = lost or failure.code == LOST_ANSWER
                if not retry:
                    return Err(failure), lost
            if time.monotonic() >= end:
                return Err(last_failure(failure, lost)), lost
            time.sleep(RETRY_INTERVAL_S)

    def ask(
        self, entry: str, method: str, path: str, body
    ) -> Result[dict, tuple[Failure, bool]]:
        """Send one request to one entry; the flag says whether to try the next."""
        content = {"content": body} if isinstance(body, bytes) else {"json": body}
        try:
            response = httpx.request(
                method,
                entry + path,
                headers={"Authorization": f"Bearer {self.key}"},
                timeout=TIMEOUT_S,
                trust_env=False,
                verify=self.verify,
                **content,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Err((Failure(NO_ENTRY, f"{entry}: {error}"), True))
        except httpx.TransportError as error:
            return Err((Failure(LOST_ANSWER, f"{entry}: {error}"), True))
        except (httpx.InvalidURL, httpx.UnsupportedProtocol) as error:
            text = (
                f"{entry!r} is no URL ({error}): use for example http://10.0.0.7:7071"
            )
            return Err((Failure("usage", text), False))
        return read_answer(entry, response)


def read_answer(
    entry: str, response: httpx.Response
) -> Result[dict, tuple[Failure, bool]]:
    """Read an answer, which may come from something that is no entry."""
    try:
        answer = response.json()
        if response.is_success:
            return Ok(dict(answer))
        faults = tuple(answer.get("faults", ()))
        failure = Failure(answer["code"], answer["message"], faults)
    except (ValueError, KeyError, TypeError, AttributeError):
        shown = response.text[:SHOWN_CHARS].strip()
        text = f"{entry} answered {response.status_code} without JSON: {shown!r}"
        hint = "; is this the operators' port of an entry?"
        failure = Failure("bad-answer", text + hint)
    return Err((failure, response.status_code in RETRY_STATUSES))


def is_done(name: str, failure: Failure) -> bool:
    """Return whether a resend was refused because an earlier send did it."""
    return name.startswith("Remove") and failure.code == "not-found"


def last_failure(failure: Failure, lost: bool) -> Failure:
    """Return the failure to show after every entry was tried."""
    if lost:
        text = f"{failure.message}; it may have been accepted: repeat the same command"
        return Failure(LOST_ANSWER, text)
    if failure.code == NO_ENTRY:
        return Failure(NO_ENTRY, f"{failure.message}; no entry could be reached")
    return failure

"""
mulberryledge_cli.client
~~~~~~~~~~~~~~~~~~~~~~~~

HTTP client of the operators' API, which retries idempotent requests at the next entry.
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

__all__ = ["Failure", "OperatorClient", "ProgressCallback"]

REQUEST_TIMEOUT_S = 15.0
RETRY_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.3
LONG_POLL_S = 1.0
DEFAULT_WAIT_S = 8.0
MAX_EXCERPT_CHARS = 200
RETRYABLE_STATUSES = frozenset((502, 503, 504))
UNKNOWN_OUTCOME = "unknown-outcome"
NO_ENTRY = "no-entry"
BAD_KEY = "bad-key"

ProgressCallback = Callable[[list[str], float], None]


@dataclass(frozen=True, slots=True)
class Failure:
    """
    Reason for a failed request.

    Attributes
    ----------
    code : str
        Code of the refusal, ``no-entry`` if no entry could be reached, or
        ``unknown-outcome`` if a request was sent and its answer was lost.
    message : str
        What happened and, where known, what to do next.
    faults : tuple of dict
        Faults of a document or request, each with its place.
    """

    code: str
    message: str
    faults: tuple[dict[str, str], ...] = ()


def ignore_progress(waiting: list[str], seconds: float) -> None:
    """Ignore progress reports."""


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """
    Client that uses the first entry that answers.

    Attributes
    ----------
    entries : tuple of str
        Base URLs of the entries' operator APIs.
    key : str
        The operators' key.
    verify : ssl.SSLContext or bool
        Verification of the entries' certificates, as in httpx.
    wait_s : float
        Maximum wait until a change is in force on every daemon, in seconds.
    progress : callable
        Called with the daemons still waited for and the seconds elapsed.
    """

    entries: tuple[str, ...]
    key: str
    verify: Any = True
    wait_s: float = DEFAULT_WAIT_S
    progress: ProgressCallback = ignore_progress

    def propose(self, command: Command) -> Result[dict, Failure]:
        """
        Send a command and wait until it is in force on every daemon.

        Commands are idempotent, so after a lost answer the same command is sent to
        the next entry.
        """
        name = type(command).__name__
        path = f"/v1/commands/{name}?wait_s={min(LONG_POLL_S, self.wait_s)}"
        outcome, answer_lost = self.send_with_retries("POST", path, to_plain(command))
        if (
            isinstance(outcome, Err)
            and answer_lost
            and is_already_removed(name, outcome.err_value)
        ):
            return Ok({"index": 0, "detail": "done by an earlier send", "waiting": []})
        if isinstance(outcome, Err) or not outcome.ok_value.get("waiting"):
            return outcome
        return Ok(self.wait_in_force(outcome.ok_value))

    def wait_in_force(self, answer: dict) -> dict:
        """Wait until an accepted command is in force, reporting progress."""
        started_s = time.monotonic()
        while answer["waiting"] and time.monotonic() - started_s < self.wait_s:
            self.progress(answer["waiting"], time.monotonic() - started_s)
            path = f"/v1/in-force/{answer['index']}?wait_s={LONG_POLL_S}"
            fetched = self.request("GET", path, None)
            if isinstance(fetched, Err):
                time.sleep(RETRY_INTERVAL_S)
                continue
            answer = answer | {"waiting": fetched.ok_value["waiting"]}
        return answer

    def fetch_rows(self, name: str, row: str = "") -> Result[dict, Failure]:
        """Fetch all rows, or one row, of a table of the cluster state."""
        path = f"/v1/tables/{name}"
        if row:
            path += f"?name={quote(row, safe='')}"
        return self.request("GET", path, None).map(lambda answer: answer["rows"])

    def request(self, method: str, path: str, body) -> Result[dict, Failure]:
        """Send a request to the entries in turn until one answers."""
        return self.send_with_retries(method, path, body)[0]

    def send_with_retries(
        self, method: str, path: str, body
    ) -> tuple[Result[dict, Failure], bool]:
        """
        Send a request to the entries in turn, retrying for ``RETRY_TIMEOUT_S``.

        Returns
        -------
        tuple of Result and bool
            The outcome, and whether the answer to any attempt was lost.
        """
        if not self.entries:
            text = "no entry is configured: use --entries, MULBERRYLEDGE_ENTRIES"
            return Err(Failure(NO_ENTRY, f"{text} or the settings file")), False
        answer_lost = False
        deadline_s = time.monotonic() + RETRY_TIMEOUT_S
        while True:
            for entry in self.entries:
                outcome = self.send_once(entry, method, path, body)
                if not isinstance(outcome, Err):
                    return outcome, answer_lost
                failure, retry = outcome.err_value
                answer_lost = answer_lost or failure.code == UNKNOWN_OUTCOME
                if answer_lost and failure.code == BAD_KEY:
                    failure = final_failure(failure, answer_lost)
                if not retry:
                    return Err(failure), answer_lost
            if time.monotonic() >= deadline_s:
                return Err(final_failure(failure, answer_lost)), answer_lost
            time.sleep(RETRY_INTERVAL_S)

    def send_once(
        self, entry: str, method: str, path: str, body
    ) -> Result[dict, tuple[Failure, bool]]:
        """Send one request to one entry; an error tells whether to retry it."""
        content = {"content": body} if isinstance(body, bytes) else {"json": body}
        try:
            response = httpx.request(
                method,
                entry + path,
                headers={"Authorization": f"Bearer {self.key}"},
                timeout=REQUEST_TIMEOUT_S,
                trust_env=False,
                verify=self.verify,
                **content,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Err((Failure(NO_ENTRY, f"{entry}: {error}"), True))
        except httpx.TransportError as error:
            return Err((Failure(UNKNOWN_OUTCOME, f"{entry}: {error}"), True))
        except (httpx.InvalidURL, httpx.UnsupportedProtocol) as error:
            text = f"{entry!r} is not a URL ({error}): use for example http://10.0.0.7:7071"
            return Err((Failure("usage", text), False))
        return parse_response(entry, response)


def parse_response(
    entry: str, response: httpx.Response
) -> Result[dict, tuple[Failure, bool]]:
    """Parse a response, which may come from a server that is not an entry."""
    try:
        answer = response.json()
        if response.is_success:
            return Ok(dict(answer))
        faults = tuple(answer.get("faults", ()))
        failure = Failure(answer["code"], answer["message"], faults)
    except (ValueError, KeyError, TypeError, AttributeError):
        excerpt = response.text[:MAX_EXCERPT_CHARS].strip()
        text = f"{entry} answered {response.status_code} without JSON: {excerpt!r}"
        hint = "; is this the operators' port of an entry?"
        failure = Failure("bad-answer", text + hint)
    return Err((failure, response.status_code in RETRYABLE_STATUSES))


def is_already_removed(name: str, failure: Failure) -> bool:
    """Return whether a retried removal failed because an earlier attempt succeeded."""
    return name.startswith("Remove") and failure.code == "not-found"


def final_failure(failure: Failure, answer_lost: bool) -> Failure:
    """Return the failure to report once the retries are exhausted."""
    if answer_lost:
        text = f"{failure.message}; it may have been accepted: repeat the same command"
        return Failure(UNKNOWN_OUTCOME, text)
    if failure.code == NO_ENTRY:
        return Failure(NO_ENTRY, f"{failure.message}; no entry could be reached")
    return failure

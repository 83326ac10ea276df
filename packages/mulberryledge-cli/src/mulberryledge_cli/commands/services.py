"""
mulberryledge_cli.commands.services
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on service documents.
"""

from pathlib import Path

from cleo.exceptions import CleoValueError
from cleo.helpers import argument, option
from result import Err, Ok, Result

from mulberryledge_cli.client import Failure
from mulberryledge_cli.commands.base import (
    COMMON_OPTIONS,
    EXIT_OK,
    OperatorCommand,
)
from mulberryledge_cli.commands.tables import make_list_command
from mulberryledge_cli.formatting import time_text
from mulberryledge_core.codec import to_plain
from mulberryledge_core.commands.teams import ApplyDocument, RemoveService
from mulberryledge_core.documents import document_diff, parse_document

__all__ = ["COMMANDS"]

MAX_VERSION = 2**53


class ServiceCommand(OperatorCommand):
    """Command on the document of a service."""

    def read_text(self) -> str:
        """Return the text of the document at the path argument."""
        path = self.argument("path")
        try:
            return Path(path).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise CleoValueError(f"{path}: {error}") from None

    def service_name(self, text: str) -> Result[str, Failure]:
        """Return the name of a document's service, or the document's faults."""
        parsed = parse_document(text)
        if isinstance(parsed, Ok):
            return Ok(parsed.ok_value.service.name)
        refusal = parsed.err_value
        faults = tuple(to_plain(fault) for fault in refusal.faults)
        return Err(Failure(refusal.code, refusal.message, faults))

    def retained_versions(self, name: str) -> Result[list[dict], Failure]:
        """Return the retained versions, oldest first; none for a new service."""
        fetched = self.client().fetch_rows("services", name)
        if isinstance(fetched, Ok):
            return Ok(fetched.ok_value[name]["history"])
        missing = fetched.err_value.code == "not-found"
        return Ok([]) if missing else fetched

    def find_version(self, name: str, number: int) -> Result[dict, Failure]:
        """Return one retained version of a service."""
        fetched = self.retained_versions(name)
        if isinstance(fetched, Err):
            return fetched
        for version in fetched.ok_value:
            if version["version"] == number:
                return Ok(version)
        retained = ", ".join(str(one["version"]) for one in fetched.ok_value) or "none"
        text = f"service {name!r} has no version {number}; kept are {retained}"
        return Err(Failure("not-found", text))


class ServiceCheck(ServiceCommand):
    """Check a service document."""

    name = "service check"
    description = "Checks a document as a whole and lists every fault."
    help = (
        "Example: <c1>mulberryledge service check route-plans.toml</c1>\n"
        "With --offline, only the checks that need no entry are made."
    )
    arguments = [argument("path", "The document.")]
    options = [*COMMON_OPTIONS, option("offline", None, "Send nothing to an entry.")]

    def handle(self) -> int:
        """Check the document."""
        text = self.read_text()
        if self.option("offline"):
            named = self.service_name(text)
            if isinstance(named, Err):
                return self.fail(named.err_value)
            return self.show(Ok({"detail": "good"}), "good")
        path = "/v1/checks/service"
        return self.show(self.client().request("POST", path, text.encode()), "good")


class ServiceDiff(ServiceCommand):
    """Compare a document with the one in force."""

    name = "service diff"
    description = "Shows what a document would change."
    help = "Example: <c1>mulberryledge service diff route-plans.toml</c1>"
    arguments = [argument("path", "The document.")]

    def handle(self) -> int:
        """Print the difference."""
        text = self.read_text()
        fetched = self.service_name(text).and_then(self.retained_versions)
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        old, title = "", "nothing"
        if fetched.ok_value:
            latest = fetched.ok_value[-1]
            old, title = latest["text"], f"version {latest['version']}"
        diff = document_diff(old, text, title, self.argument("path"))
        return self.show(Ok({"diff": diff}), diff or f"equal to {title}")


class ServiceApply(ServiceCommand):
    """Put a service document in force."""

    name = "service apply"
    description = "Puts a service document in force everywhere."
    help = (
        "Example: <c1>mulberryledge service apply route-plans.toml --number 3</c1>\n"
        "The number is that of the new version: one above the one in force. A new"
        " service needs no number. Repeating the same text with the same number"
        " succeeds."
    )
    arguments = [argument("path", "The document.")]
    options = [
        *COMMON_OPTIONS,
        option("number", None, "Number of the new version.", flag=False),
    ]

    def handle(self) -> int:
        """Apply the document."""
        text = self.read_text()
        named = self.service_name(text)
        if isinstance(named, Err):
            return self.fail(named.err_value)
        name = named.ok_value
        number = self.version_number(name, text)
        if isinstance(number, Err):
            return self.fail(number.err_value)
        return self.propose_version(name, text, number.ok_value)

    def propose_version(self, name: str, text: str, number: int) -> int:
        """Propose a text as the given version and show the outcome."""
        outcome = self.client().propose(ApplyDocument(text, number))
        shown = f"service {name} version {number} is in force"
        if isinstance(outcome, Ok):
            detail = str(outcome.ok_value.get("detail", ""))
            if detail.startswith("superseded"):
                shown = f"service {name} version {number} was accepted, and {detail}"
        return self.show(outcome, shown)

    def version_number(self, name: str, text: str) -> Result[int, Failure]:
        """Return the number given, 1 for a new service, or that of an equal text."""
        if self.option("number") is not None:
            return Ok(self.int_option("number", 1, MAX_VERSION))
        fetched = self.retained_versions(name)
        if isinstance(fetched, Err):
            return fetched
        if not fetched.ok_value:
            return Ok(1)
        latest = fetched.ok_value[-1]
        if latest["text"] == text:
            return Ok(latest["version"])
        message = (
            f"service {name!r} is at version {latest['version']}: check"
            f" 'service diff', then repeat with --number {latest['version'] + 1}"
        )
        return Err(Failure("usage", message))


class ServiceRollForward(ServiceApply):
    """Put the text of an old version in force under a new number."""

    name = "service roll-forward"
    description = "Puts the text of an old version in force as the next version."
    help = "Example: <c1>mulberryledge service roll-forward route-plans 2</c1>"
    arguments = [
        argument("service", "Name of the service."),
        argument("version", "Number of the version to restore."),
    ]
    options = COMMON_OPTIONS

    def handle(self) -> int:
        """Apply the old text as the next version."""
        name, given = self.argument("service"), self.argument("version")
        if not given.isdecimal():
            raise CleoValueError(f"version {given!r} is no whole number")
        old = self.find_version(name, int(given))
        latest = self.retained_versions(name)
        for one in (old, latest):
            if isinstance(one, Err):
                return self.fail(one.err_value)
        number, text = latest.ok_value[-1]["version"], old.ok_value["text"]
        if latest.ok_value[-1]["text"] != text:
            number += 1
        return self.propose_version(name, text, number)


class ServiceHistory(ServiceCommand):
    """List the retained versions of a service."""

    name = "service history"
    description = "Lists the retained versions of a service."
    help = "Example: <c1>mulberryledge service history route-plans</c1>"
    arguments = [argument("service", "Name of the service.")]

    def handle(self) -> int:
        """List the versions, newest first."""
        name = self.argument("service")
        fetched = self.client().fetch_rows("services", name)
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        versions = fetched.ok_value[name]["history"][::-1]
        rows = [
            (one["version"], one["index"], time_text(one["accepted_ms"]))
            for one in versions
        ]
        return self.show_rows(("version", "index", "accepted"), rows, versions)


class ServiceShow(ServiceCommand):
    """Print a service document."""

    name = "service show"
    description = "Prints the document in force, or an older version of it."
    help = "Example: <c1>mulberryledge service show route-plans --number 2</c1>"
    arguments = [argument("service", "Name of the service.")]
    options = [
        *COMMON_OPTIONS,
        option("number", None, "Number of the version.", flag=False),
    ]

    def handle(self) -> int:
        """Print the text."""
        name = self.argument("service")
        if self.option("number") is not None:
            number = self.int_option("number", 1, MAX_VERSION)
            fetched = self.find_version(name, number)
        else:
            fetched = self.client().fetch_rows("services", name)
            fetched = fetched.map(lambda rows: rows[name]["history"][-1])
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        return self.show(Ok(fetched.ok_value), fetched.ok_value["text"].rstrip())


class ServiceRemove(OperatorCommand):
    """Remove a service."""

    name = "service remove"
    description = "Removes a service without targets or unfinished jobs."
    help = "Example: <c1>mulberryledge service remove route-plans</c1>"
    arguments = [argument("service", "Name of the service.")]

    def handle(self) -> int:
        """Remove the service."""
        command = RemoveService(self.argument("service"))
        text = f"service {command.name} is gone"
        return self.show(self.client().propose(command), text)


class ServiceList(make_list_command("service", "services", ())):
    """List the services."""

    def handle(self) -> int:
        """List the services with owner, pool and version."""
        fetched = self.client().fetch_rows("services")
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        rows = [
            (
                name,
                row["document"]["service"]["team"],
                row["document"]["service"]["pool"],
                row["history"][-1]["version"],
                time_text(row["history"][-1]["accepted_ms"]),
            )
            for name, row in sorted(fetched.ok_value.items())
        ]
        headers = ("service", "team", "pool", "version", "accepted")
        self.show_rows(headers, rows, fetched.ok_value)
        return EXIT_OK


COMMANDS = (
    ServiceCheck,
    ServiceDiff,
    ServiceApply,
    ServiceHistory,
    ServiceRollForward,
    ServiceShow,
    ServiceList,
    ServiceRemove,
)

"""
mulberryledge_cli.commands.teams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on teams and their keys.
"""

import secrets

from cleo.helpers import argument, option
from result import Err, Ok

from mulberryledge_cli.commands.base import (
    COMMON_OPTIONS,
    OperatorCommand,
)
from mulberryledge_cli.commands.tables import make_list_command
from mulberryledge_cli.formatting import time_text
from mulberryledge_core.commands.teams import (
    CreateTeam,
    GiveKey,
    RemoveTeam,
    SetTeamQuota,
    WithdrawKey,
)
from mulberryledge_core.keys import KEY_BYTES, make_key

__all__ = ["COMMANDS"]

MIN_SHARE = 0.001
MAX_SHARE = 1_000_000.0
MAX_UPPER_LIMIT = 1_000_000


class TeamCreate(OperatorCommand):
    """Create a team."""

    name = "team create"
    description = "Creates a team with a share and an upper limit."
    help = "Example: <c1>mulberryledge team create dispatch --share 2 --limit 40</c1>"
    arguments = [argument("team", "Name of the team.")]
    options = [
        *COMMON_OPTIONS,
        option("share", None, "Weight under contention.", flag=False, default="1"),
        option("limit", None, "Concurrent calls and jobs.", flag=False, default="64"),
    ]

    def handle(self) -> int:
        """Create the team."""
        command = CreateTeam(
            self.argument("team"),
            self.float_option("share", MIN_SHARE, MAX_SHARE),
            self.int_option("limit", 0, MAX_UPPER_LIMIT),
        )
        return self.show(
            self.client().propose(command), f"team {command.name} is there"
        )


class TeamSet(OperatorCommand):
    """Change a team's quota."""

    name = "team set"
    description = "Changes a team's share, its upper limit, or both."
    help = "Example: <c1>mulberryledge team set dispatch --limit 60</c1>"
    arguments = [argument("team", "Name of the team.")]
    options = [
        *COMMON_OPTIONS,
        option("share", None, "Weight under contention.", flag=False),
        option("limit", None, "Concurrent calls and jobs.", flag=False),
    ]

    def handle(self) -> int:
        """Change the values given and keep the others."""
        name = self.argument("team")
        client = self.client()
        fetched = client.fetch_rows("teams", name)
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        team = fetched.ok_value[name]
        share, limit = team["share"], team["upper_limit"]
        if self.option("share") is not None:
            share = self.float_option("share", MIN_SHARE, MAX_SHARE)
        if self.option("limit") is not None:
            limit = self.int_option("limit", 0, MAX_UPPER_LIMIT)
        text = f"team {name} has share {share:g} and upper limit {limit}"
        return self.show(client.propose(SetTeamQuota(name, share, limit)), text)


class TeamRemove(OperatorCommand):
    """Remove a team."""

    name = "team remove"
    description = "Removes a team that owns no service, with its keys."
    help = "Example: <c1>mulberryledge team remove dispatch</c1>"
    arguments = [argument("team", "Name of the team.")]

    def handle(self) -> int:
        """Remove the team."""
        command = RemoveTeam(self.argument("team"))
        return self.show(self.client().propose(command), f"team {command.name} is gone")


class KeyGive(OperatorCommand):
    """Issue a new key to a team."""

    name = "key give"
    description = "Issues a new key to a team, shown once."
    help = (
        "Example: <c1>mulberryledge key give dispatch</c1>\n"
        "Older keys of the team stay valid until they are withdrawn."
    )
    arguments = [argument("team", "Name of the team.")]

    def handle(self) -> int:
        """Issue the key; a retry after a lost answer sends the same key."""
        key = make_key(secrets.token_bytes(KEY_BYTES))
        command = GiveKey(key.key_id, self.argument("team"), key.salt, key.digest)
        outcome = self.client().propose(command)
        if isinstance(outcome, Ok):
            outcome = Ok(outcome.ok_value | {"key": key.text})
        elif outcome.err_value.code == "unknown-outcome":
            text = f"if 'key list' shows {key.key_id}, withdraw it: its text is lost"
            self.line_error(text)
        return self.show(outcome, key.text)


class KeyList(OperatorCommand):
    """List keys."""

    name = "key list"
    description = "Lists the identifiers of the keys in force."
    help = "Example: <c1>mulberryledge key list --team dispatch</c1>"
    options = [
        *COMMON_OPTIONS,
        option("team", None, "Only keys of this team.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """List the keys, oldest first."""
        fetched = self.client().fetch_rows("keys")
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        team = self.option("team")
        keys = {
            key_id: row
            for key_id, row in fetched.ok_value.items()
            if team in ("", row["team"])
        }
        ordered = sorted(keys.items(), key=lambda item: item[1]["given_ms"])
        rows = [
            (key_id, row["team"], time_text(row["given_ms"])) for key_id, row in ordered
        ]
        return self.show_rows(("key", "team", "given"), rows, keys)


class KeyWithdraw(OperatorCommand):
    """Withdraw a key."""

    name = "key withdraw"
    description = "Withdraws a key by its identifier, the middle part of the key."
    help = "Example: <c1>mulberryledge key withdraw 0095227ab60f</c1>"
    arguments = [argument("key-id", "Identifier of the key.")]

    def handle(self) -> int:
        """Withdraw the key."""
        command = WithdrawKey(self.argument("key-id"))
        text = f"key {command.key_id} is withdrawn"
        return self.show(self.client().propose(command), text)


COMMANDS = (
    TeamCreate,
    TeamSet,
    make_list_command("team", "teams", ("share", "upper_limit")),
    TeamRemove,
    KeyGive,
    KeyList,
    KeyWithdraw,
)

"""
mulberryledge_cli.commands.teams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on teams and keys.
"""

import secrets

from cleo.helpers import argument, option
from result import Ok

from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_core.commands.teams import CreateTeam, GiveKey, WithdrawKey
from mulberryledge_core.keys import KEY_BYTES, make_key

__all__ = ["COMMANDS"]


class TeamCreate(OperatorCommand):
    """Create a team."""

    name = "team create"
    description = "Creates a team with a share and an upper limit."
    arguments = [argument("team", "Name of the team.")]
    options = [
        *COMMON_OPTIONS,
        option("share", None, "Weight when all is full.", flag=False, default="1"),
        option("limit", None, "Calls and jobs at once.", flag=False, default="64"),
    ]

    def handle(self) -> int:
        """Create the team."""
        command = CreateTeam(
            self.argument("team"),
            float(self.option("share")),
            int(self.option("limit")),
        )
        return self.show(
            self.client().propose(command), f"team {command.name} is there"
        )


class KeyGive(OperatorCommand):
    """Give a team a new key."""

    name = "key give"
    description = "Gives a team a new key, shown once."
    arguments = [argument("team", "Name of the team.")]

    def handle(self) -> int:
        """Give the key."""
        key = make_key(secrets.token_bytes(KEY_BYTES))
        command = GiveKey(key.key_id, self.argument("team"), key.salt, key.digest)
        outcome = self.client().propose(command)
        if isinstance(outcome, Ok):
            outcome = Ok(outcome.ok_value | {"key": key.text})
        return self.show(outcome, key.text)


class KeyWithdraw(OperatorCommand):
    """Withdraw a key."""

    name = "key withdraw"
    description = "Withdraws a key by its identifier, the middle part of the key."
    arguments = [argument("key-id", "Identifier of the key.")]

    def handle(self) -> int:
        """Withdraw the key."""
        command = WithdrawKey(self.argument("key-id"))
        text = f"key {command.key_id} is withdrawn"
        return self.show(self.client().propose(command), text)


COMMANDS = (TeamCreate, KeyGive, KeyWithdraw)

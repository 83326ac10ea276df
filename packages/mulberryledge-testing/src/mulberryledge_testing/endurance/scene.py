"""
mulberryledge_testing.endurance.scene
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Deployment of an endurance run: pool, hosts, teams and services.
"""

from dataclasses import dataclass

from mulberryledge_core.commands.fleet import AddHost, CreatePool
from mulberryledge_core.commands.teams import ApplyDocument, CreateTeam

__all__ = ["HOSTS", "ONCE", "POOL", "QUEUE", "REPEATABLE", "TEAMS", "Quota", "setup"]

POOL = "interior"
REPEATABLE = "route-plans"
ONCE = "payouts"
QUEUE = "settlements"
HOSTS = tuple(f"host-{number}" for number in range(1, 7))
ZONES = ("nizwa", "bahla", "izki")


@dataclass(frozen=True, slots=True)
class Quota:
    """A team with its share and upper limit."""

    name: str
    share: float
    upper_limit: int


TEAMS = (Quota("dispatch", 3, 6), Quota("payroll", 1, 3), Quota("clerks", 1, 10))
OWNER = TEAMS[0].name
DOCUMENTS = {
    REPEATABLE: "[calls]\ndeadline_ms = 4000\n",
    ONCE: "[calls]\nrepeatable = false\ndeadline_ms = 4000\n",
    QUEUE: "[queue]\nopen = true\nlease_ms = 5000\n",
}
DOCUMENT = """
[service]
name = "{name}"
team = "{team}"
pool = "{pool}"
{sections}
[availability]
max_hosts_out = 1
min_hosts_serving = 1
"""


def setup() -> list[object]:
    """Return the operators' commands that create the deployment, in order."""
    commands: list[object] = [CreatePool(POOL)]
    for number, host in enumerate(HOSTS):
        zone = ZONES[number % len(ZONES)]
        rack = f"{zone}-{number // len(ZONES)}"
        commands.append(AddHost(host, POOL, "dakhiliyah", zone, rack))
    commands.extend(
        CreateTeam(team.name, team.share, team.upper_limit) for team in TEAMS
    )
    for name, sections in DOCUMENTS.items():
        text = DOCUMENT.format(name=name, team=OWNER, pool=POOL, sections=sections)
        commands.append(ApplyDocument(text, 1))
    return commands

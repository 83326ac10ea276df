"""
mulberryledge_testing.upkeep.groupings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How often each grouping of lost hosts identifies the failures that caused the losses.
"""

from dataclasses import dataclass
from itertools import pairwise
from random import Random

from mulberryledge_core.decisions.loss_grouping import (
    connected_regions,
    get_grouping_by_name,
    rack_of,
)
from mulberryledge_core.model.hosts import Host
from mulberryledge_testing.upkeep.fleets import LARGE
from mulberryledge_testing.upkeep.world import World

__all__ = ["Score", "score_groupings"]

TRIALS = 400
MAX_SINGLES = 6


@dataclass(frozen=True, slots=True)
class Score:
    """
    Result of one grouping.

    Attributes
    ----------
    right : float
        Share of the trials in which exactly the true events were found.
    messages : float
        Messages per trial that the hosts bordering on the lost ones would exchange.
    """

    right: float
    messages: float


def score_groupings(seed: int) -> dict[str, Score]:
    """Compare both groupings on the same random losses."""
    fleet = dict(World(LARGE, seed).state.hosts)
    random = Random(seed)
    right = {"domain": 0, "region": 0}
    messages = 0
    for _ in range(TRIALS):
        expected = draw_lost_events(fleet, random)
        lost = [fleet[name] for event in expected for name in event]
        for name in right:
            found = get_grouping_by_name(name)(lost, fleet)
            right[name] += {frozenset(event.hosts) for event in found} == expected
        regions = connected_regions(lost, fleet)
        messages += sum(count_border_messages(fleet, region) for region in regions)
    return {
        "domain": Score(right["domain"] / TRIALS, 0.0),
        "region": Score(right["region"] / TRIALS, messages / TRIALS),
    }


def draw_lost_events(fleet: dict[str, Host], random: Random) -> set[frozenset[str]]:
    """Draw lost hosts, and in half of the trials a lost rack or availability zone."""
    names = sorted(fleet)
    one = fleet[random.choice(names)]
    kind = random.choice(("host", "host", "rack", "zone"))
    expected = set()
    if kind == "rack":
        racks = [host for host in fleet.values() if rack_of(host) == rack_of(one)]
        expected.add(frozenset(host.name for host in racks))
    if kind == "zone":
        zone = one.availability_zone
        zones = [host for host in fleet.values() if host.availability_zone == zone]
        expected.add(frozenset(host.name for host in zones))
    taken = {name for event in expected for name in event}
    for name in random.sample(names, random.randint(1, MAX_SINGLES)):
        if name not in taken:
            expected.add(frozenset((name,)))
    return expected


def count_border_messages(fleet: dict[str, Host], region: list[Host]) -> int:
    """
    Return the number of messages of an agreement among a region's border hosts.

    In the worst case of flooding, each of the ``b`` border hosts sends to all others
    in each of ``b - 1`` rounds.
    """
    lost = {host.name for host in region}
    own = {rack_of(host) for host in region}
    racks = sorted({rack_of(host) for host in fleet.values()})
    near = set(own)
    for left, right in pairwise(racks):
        if left[0] == right[0] and {left, right} & own:
            near |= {left, right}
    border = sum(
        rack_of(host) in near and host.name not in lost for host in fleet.values()
    )
    return border * (border - 1) * max(0, border - 1)

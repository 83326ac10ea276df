"""
mulberryledge_core.burn
~~~~~~~~~~~~~~~~~~~~~~~

Error budgets and burn rates over several windows, summed over daemons.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from mulberryledge_core.model.burn import (
    BurnReport,
    Counts,
    Interval,
    ServiceObjective,
)

__all__ = [
    "ALERTS",
    "WINDOWS_S",
    "AlertRule",
    "Burn",
    "FleetReport",
    "burn_rate",
    "sum_reports",
]

WINDOWS_S = (300, 1_800, 3_600, 21_600, 259_200)
S_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class AlertRule:
    """
    Alert that fires if a long and a short window both reach a burn rate.

    The short window lets the alert end soon after its cause.

    Attributes
    ----------
    word : str
        Severity, ``page`` or ``ticket``.
    """

    word: str
    rate: float
    long_s: int
    short_s: int


# Source: Site Reliability Workbook, chapter 5, multiwindow multi-burn-rate alerts.
ALERTS = (
    AlertRule("page", 14.4, 3_600, 300),
    AlertRule("page", 6.0, 21_600, 1_800),
    AlertRule("ticket", 1.0, 259_200, 21_600),
)


@dataclass(frozen=True, slots=True)
class Burn:
    """
    Burn of a service's error budget, by all calls or by those of one team.

    Attributes
    ----------
    team : str
        Calling team; empty for all teams.
    objective : ServiceObjective
        Objective that defines the error budget.
    windows : dict of int to Counts
        Counts by length of the window in seconds.
    budget_left : float
        Remaining share of the error budget, negative if it is exceeded.
    alert : str
        Severity of the alert: ``page``, ``ticket`` or empty.
    """

    team: str
    objective: ServiceObjective
    windows: dict[int, Counts]
    budget_left: float
    alert: str

    def rate(self, window_s: int) -> float:
        """Return the burn rate over a window; at 1 it spends exactly the budget."""
        counts = self.windows.get(window_s, Counts())
        return burn_rate(counts, self.objective.success_share)


@dataclass(frozen=True, slots=True)
class FleetReport:
    """
    Burn of the whole fleet, summed over the daemons that answered.

    Attributes
    ----------
    daemons : tuple of str
        Daemons whose counts are included.
    since_ms : int
        Log time of the earliest daemon's first count, in milliseconds.
    """

    daemons: tuple[str, ...]
    since_ms: int
    now_ms: int
    services: tuple[Burn, ...]
    teams: tuple[Burn, ...]
    history: tuple[Interval, ...]


def burn_rate(counts: Counts, success_share: float) -> float:
    """Return the ratio of the share of bad calls to the share allowed."""
    if not counts.total:
        return 0.0
    return counts.bad / counts.total / (1.0 - success_share)


def sum_reports(reports: Iterable[BurnReport]) -> FleetReport:
    """Sum reports; of several reports of one daemon the last counts."""
    by_daemon = {report.daemon: report for report in reports}
    objectives = {
        one.service: one for report in by_daemon.values() for one in report.objectives
    }
    sums: dict[tuple[str, str], dict[int, Counts]] = {}
    history: dict[tuple[str, int, int], Counts] = {}
    for report in by_daemon.values():
        for series in report.series:
            for team in ("", series.team):
                windows = sums.setdefault((series.service, team), {})
                for one in series.windows:
                    total = windows.get(one.window_s, Counts()) + one.counts
                    windows[one.window_s] = total
        for one in report.history:
            key = (one.service, one.start_ms, one.length_ms)
            history[key] = history.get(key, Counts()) + one.counts
    burns = [
        _make_burn(team, objectives[service], windows)
        for (service, team), windows in sorted(sums.items())
        if service in objectives
    ]
    starts = [report.since_ms for report in by_daemon.values()]
    return FleetReport(
        daemons=tuple(sorted(by_daemon)),
        since_ms=min(starts, default=0),
        now_ms=max((report.now_ms for report in by_daemon.values()), default=0),
        services=tuple(burn for burn in burns if not burn.team),
        teams=tuple(burn for burn in burns if burn.team),
        history=tuple(Interval(*key, one) for key, one in sorted(history.items())),
    )


def _make_burn(
    team: str, objective: ServiceObjective, windows: dict[int, Counts]
) -> Burn:
    budget_s = objective.window_days * S_PER_DAY
    spent_share = burn_rate(windows.get(budget_s, Counts()), objective.success_share)
    burn = Burn(team, objective, windows, 1.0 - spent_share, "")
    alerts = [
        rule.word
        for rule in ALERTS
        if burn.rate(rule.long_s) >= rule.rate and burn.rate(rule.short_s) >= rule.rate
    ]
    return Burn(
        team, objective, windows, 1.0 - spent_share, alerts[0] if alerts else ""
    )

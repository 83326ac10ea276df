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
    A burn rate that matters if a long and a short window both reach it.

    The short window ends the alert soon after the cause is gone.
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
    The burn of one service, or of one team's calls to it.

    Attributes
    ----------
    team : str
        Calling team, empty for all teams.
    objective : ServiceObjective
        Objective that the burn is measured against.
    windows : dict of int to Counts
        Counts by length of the window in seconds.
    budget_left : float
        Share of the error budget that is left, below zero if it is overspent.
    alert : str
        ``page``, ``ticket`` or empty.
    """

    team: str
    objective: ServiceObjective
    windows: dict[int, Counts]
    budget_left: float
    alert: str

    def rate(self, window_s: int) -> float:
        """Return the burn rate over a window; 1 spends the budget exactly."""
        counts = self.windows.get(window_s, Counts())
        return burn_rate(counts, self.objective.success_share)


@dataclass(frozen=True, slots=True)
class FleetReport:
    """
    Burn of the whole fleet, summed over the daemons that answered.

    Attributes
    ----------
    daemons : tuple of str
        Daemons whose counts are in.
    since_ms : int
        Log time of the first count of any daemon, in milliseconds.
    """

    daemons: tuple[str, ...]
    since_ms: int
    now_ms: int
    services: tuple[Burn, ...]
    teams: tuple[Burn, ...]
    history: tuple[Interval, ...]


def burn_rate(counts: Counts, success_share: float) -> float:
    """Return the share of bad calls over the share that the objective allows."""
    if not counts.total:
        return 0.0
    return counts.bad / counts.total / (1.0 - success_share)


def sum_reports(reports: Iterable[BurnReport]) -> FleetReport:
    """Sum the reports of several daemons; each daemon counts once."""
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
        _burn(team, objectives[service], windows)
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


def _burn(team: str, objective: ServiceObjective, windows: dict[int, Counts]) -> Burn:
    budget_s = objective.window_days * S_PER_DAY
    spent = burn_rate(windows.get(budget_s, Counts()), objective.success_share)
    burn = Burn(team, objective, windows, 1.0 - spent, "")
    words = [
        rule.word
        for rule in ALERTS
        if burn.rate(rule.long_s) >= rule.rate and burn.rate(rule.short_s) >= rule.rate
    ]
    return Burn(team, objective, windows, 1.0 - spent, words[0] if words else "")

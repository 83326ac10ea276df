"""
mulberryledge_daemon.leader.policies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Maintenance and repair policies from the daemon's settings.
"""

from mulberryledge_core.decisions.repair import RepairPolicy
from mulberryledge_daemon.leader.maintenance import MaintenancePolicy
from mulberryledge_daemon.settings import TimingSection

__all__ = ["maintenance_policy", "repair_policy"]


def maintenance_policy(timing: TimingSection) -> MaintenancePolicy:
    """Return the time limits of waves."""
    return MaintenancePolicy(
        probation_ms=to_milliseconds(timing.probation_s),
        reboot_slow_ms=to_milliseconds(timing.reboot_slow_s),
        reboot_timeout_ms=to_milliseconds(timing.reboot_timeout_s),
        long_drain_ms=to_milliseconds(timing.long_drain_s),
    )


def repair_policy(timing: TimingSection) -> RepairPolicy:
    """Return the time limits of repairs."""
    return RepairPolicy(
        probation_ms=to_milliseconds(timing.probation_s),
        confirm_ms=to_milliseconds(timing.repair_confirm_s),
        reboot_ms=to_milliseconds(timing.repair_reboot_s),
        replace_ms=to_milliseconds(timing.repair_replace_s),
    )


def to_milliseconds(seconds: float) -> int:
    """Return the time in milliseconds, rounded down."""
    return int(seconds * 1_000)

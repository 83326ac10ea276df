"""
mulberryledge_daemon.leader.policies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Policies of maintenance and repair from the daemon's settings.
"""

from mulberryledge_core.decisions.repair import RepairPolicy
from mulberryledge_daemon.leader.maintenance import MaintenancePolicy
from mulberryledge_daemon.settings import TimingSection

__all__ = ["maintenance_policy", "repair_policy"]


def maintenance_policy(timing: TimingSection) -> MaintenancePolicy:
    """Return the times that waves go by."""
    return MaintenancePolicy(
        probation_ms=milliseconds(timing.probation_s),
        slow_ms=milliseconds(timing.reboot_slow_s),
        timeout_ms=milliseconds(timing.reboot_timeout_s),
        long_drain_ms=milliseconds(timing.long_drain_s),
    )


def repair_policy(timing: TimingSection) -> RepairPolicy:
    """Return the times that the repair goes by."""
    return RepairPolicy(
        probation_ms=milliseconds(timing.probation_s),
        confirm_ms=milliseconds(timing.repair_confirm_s),
        reboot_ms=milliseconds(timing.repair_reboot_s),
        replace_ms=milliseconds(timing.repair_replace_s),
    )


def milliseconds(seconds: float) -> int:
    """Return whole milliseconds."""
    return int(seconds * 1_000)

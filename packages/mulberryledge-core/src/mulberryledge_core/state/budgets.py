"""
mulberryledge_core.state.budgets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Availability budgets: one count of planned and unplanned loss a service.
"""

from mulberryledge_core.model.hosts import Host, HostPhase
from mulberryledge_core.model.services import Service
from mulberryledge_core.model.targets import TargetPhase
from mulberryledge_core.state.tables import ClusterState

__all__ = ["budget_refusal", "is_out", "service_hosts"]


def is_out(state: ClusterState, host: Host, service: str) -> bool:
    """Return whether the host counts as out for the service."""
    if host.phase != HostPhase.SERVING:
        return True
    return not any(
        target.host == host.name
        and target.service == service
        and target.phase == TargetPhase.SERVING
        for target in state.targets.values()
    )


def service_hosts(state: ClusterState, service: Service) -> tuple[Host, ...]:
    """Return the hosts that run, or ran until they were lost, the service."""
    names = {
        target.host
        for target in state.targets.values()
        if target.service == service.name
    }
    return tuple(state.hosts[name] for name in sorted(names) if name in state.hosts)


def budget_refusal(state: ClusterState, host: Host) -> str | None:
    """Return why taking the host out would break a budget, or None."""
    for service in state.services.values():
        hosts = service_hosts(state, service)
        if host not in hosts:
            continue
        reason = _service_refusal(state, service, hosts, host)
        if reason is not None:
            return reason
    return None


def _service_refusal(
    state: ClusterState, service: Service, hosts: tuple[Host, ...], host: Host
) -> str | None:
    budget = service.document.availability
    out = [one for one in hosts if one == host or is_out(state, one, service.name)]
    zone = [one for one in out if one.availability_zone == host.availability_zone]
    rack = [one for one in zone if one.rack == host.rack]
    checks = (
        ("max_hosts_out", len(out), budget.max_hosts_out),
        ("max_hosts_out_per_zone", len(zone), budget.max_hosts_out_per_zone),
        ("max_hosts_out_per_rack", len(rack), budget.max_hosts_out_per_rack),
    )
    for field, count, bound in checks:
        if count > bound:
            return f"service {service.name!r}: {field} is {bound}, {count} would be out"
    serving = len(hosts) - len(out)
    if serving < budget.min_hosts_serving:
        return (
            f"service {service.name!r}: min_hosts_serving is"
            f" {budget.min_hosts_serving}, {serving} would serve"
        )
    return None

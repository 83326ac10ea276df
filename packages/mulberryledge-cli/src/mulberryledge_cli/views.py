"""
mulberryledge_cli.views
~~~~~~~~~~~~~~~~~~~~~~~

Cluster state rebuilt from the entries' tables, to compute plans on the client.
"""

import time

from result import Err, Ok, Result

from mulberryledge_cli.client import Failure, OperatorClient
from mulberryledge_core.codec import from_plain
from mulberryledge_core.model.hosts import Host, Pool
from mulberryledge_core.model.maintenance import Permit, Wave
from mulberryledge_core.model.services import Service
from mulberryledge_core.state import ClusterState

__all__ = ["fetch_state", "now_ms"]

ROW_TYPES = {
    "pools": Pool,
    "hosts": Host,
    "services": Service,
    "waves": Wave,
    "permits": Permit,
}


def now_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


def fetch_state(client: OperatorClient) -> Result[ClusterState, Failure]:
    """Fetch the tables that wave plans and disruption budgets need."""
    tables = {}
    for table, row_type in ROW_TYPES.items():
        fetched = client.fetch_rows(table)
        if isinstance(fetched, Err):
            return fetched
        rows = from_plain(fetched.ok_value, dict[str, row_type])
        if isinstance(rows, Err):
            text = f"{table}: {rows.err_value.message}"
            return Err(Failure("bad-answer", f"this release cannot read {text}"))
        tables[table] = rows.ok_value
    return Ok(ClusterState(now_ms=now_ms(), **tables))

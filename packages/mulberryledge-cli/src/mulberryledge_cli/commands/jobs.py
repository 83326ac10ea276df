"""
mulberryledge_cli.commands.jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands on queued and running jobs.
"""

from urllib.parse import urlencode

from cleo.helpers import argument, option
from result import Err

from mulberryledge_cli.commands.base import COMMON_OPTIONS, OperatorCommand
from mulberryledge_cli.commands.tables import make_show_command
from mulberryledge_cli.formatting import time_text
from mulberryledge_core.commands.work import CancelJobs

__all__ = ["COMMANDS"]


class JobList(OperatorCommand):
    """List jobs."""

    name = "job list"
    description = "Lists jobs, the newest last."
    help = "Example: <c1>mulberryledge job list --service ledgers --phase queued</c1>"
    options = [
        *COMMON_OPTIONS,
        option("service", None, "Only jobs of this queue.", flag=False, default=""),
        option("team", None, "Only jobs of this team.", flag=False, default=""),
        option("phase", None, "Only jobs in this phase.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """List the jobs that match all given options."""
        filters = {
            name: value
            for name in ("service", "team", "phase")
            if (value := self.option(name))
        }
        path = f"/v1/tables/jobs?{urlencode(filters)}"
        fetched = self.client().request("GET", path, None)
        if isinstance(fetched, Err):
            return self.fail(fetched.err_value)
        jobs, total = fetched.ok_value["rows"], fetched.ok_value["total"]
        if total > len(jobs):
            self.line_error(f"showing the last {len(jobs)} of {total} jobs")
        ordered = sorted(jobs.values(), key=lambda job: job["submitted_ms"])
        rows = [
            (
                job["job_id"],
                job["service"],
                job["team"],
                job["phase"],
                job["attempt"],
                job["target"] or "-",
                time_text(job["submitted_ms"]),
            )
            for job in ordered
        ]
        headers = ("job", "service", "team", "phase", "attempt", "target", "submitted")
        return self.show_rows(headers, rows, jobs)


class JobCancel(OperatorCommand):
    """Cancel jobs."""

    name = "job cancel"
    description = "Cancels jobs of one team; running ones are asked to stop."
    help = "Example: <c1>mulberryledge job cancel accounts 3f2a 77b0</c1>"
    arguments = [
        argument("team", "Team of the jobs."),
        argument("jobs", "Identifiers of the jobs.", multiple=True),
    ]

    def handle(self) -> int:
        """Cancel the jobs."""
        command = CancelJobs(self.argument("team"), tuple(self.argument("jobs")))
        text = f"cancelled or asked to stop: {', '.join(command.job_ids)}"
        return self.show(self.client().propose(command), text)


COMMANDS = (JobList, make_show_command("job", "jobs"), JobCancel)

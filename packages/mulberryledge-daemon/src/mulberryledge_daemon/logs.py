"""
mulberryledge_daemon.logs
~~~~~~~~~~~~~~~~~~~~~~~~~

Logging as JSON lines on standard error.
"""

import json
import logging

__all__ = ["JsonFormatter", "configure_logging"]

STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a record, with the fields given as ``extra``, as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in STANDARD_FIELDS:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logging(daemon: str, level: int = logging.INFO) -> None:
    """Send all logs to standard error as JSON lines that name the daemon."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter())
    handler.addFilter(lambda record: setattr(record, "daemon", daemon) or True)
    logging.basicConfig(level=level, handlers=[handler], force=True)

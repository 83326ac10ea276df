"""
mulberryledge_testing.failed_runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Folders of runs with real processes; those of failed runs are kept for the trace.
"""

import shutil
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

__all__ = ["folder_kept_on_failure"]

FAILED_RUNS = Path("build") / "failed"


@contextmanager
def folder_kept_on_failure(
    has_failed: Callable[[], bool], parent: Path = FAILED_RUNS
) -> Iterator[Path]:
    """Yield the absolute path of a new folder, which is removed after a success."""
    parent.mkdir(parents=True, exist_ok=True)
    folder = Path(tempfile.mkdtemp(dir=parent)).resolve()
    failed = True  # an exception leaves the block before the outcome is known
    try:
        yield folder
        failed = has_failed()
    finally:
        if failed:
            print(f"the logs of the run are kept in {folder}")
        else:
            shutil.rmtree(folder)

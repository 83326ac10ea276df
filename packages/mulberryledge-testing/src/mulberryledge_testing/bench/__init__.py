"""
mulberryledge_testing.bench
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The measures of the project: ``python -m mulberryledge_testing.bench [group ...]``.
"""

from mulberryledge_testing.bench.measures import Measure

__all__ = ["Measure"]

"""
mulberryledge_core.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decisions as pure functions over frozen data, one module a decision.
"""

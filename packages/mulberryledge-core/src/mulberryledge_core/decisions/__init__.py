"""
mulberryledge_core.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Scheduling, capacity and maintenance decisions.

Each decision is a pure function of the replicated state and of observations that
the caller passes in.
"""

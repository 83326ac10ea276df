"""
mulberryledge_core.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decisions as pure functions of the replicated state and of what was observed.
"""

"""
mulberryledge_core.model
~~~~~~~~~~~~~~~~~~~~~~~~

Immutable data classes of the replicated state, one module per subject.
"""

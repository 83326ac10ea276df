"""
mulberryledge_core.model
~~~~~~~~~~~~~~~~~~~~~~~~

Frozen data of the replicated state, one module a subject.
"""

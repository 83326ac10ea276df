"""
mulberryledge_core.batch
~~~~~~~~~~~~~~~~~~~~~~~~

Jobs composed of steps: their replicated state, and the decisions on where and when
their tasks run.
"""

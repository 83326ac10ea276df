"""
mulberryledge_core.batch
~~~~~~~~~~~~~~~~~~~~~~~~

Jobs made of steps: their replicated state, and the decisions on where and when
their tasks run.
"""

"""
mulberryledge_core.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Pure decisions over frozen data: what to lend, route, retry, refuse.
"""

"""
mulberryledge_core
~~~~~~~~~~~~~~~~~~

Data model, scheduling decisions and the replicated log, all without I/O: sockets,
files, clocks and random numbers are not used here, their results are arguments.
"""

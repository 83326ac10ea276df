"""
mulberryledge_core
~~~~~~~~~~~~~~~~~~

Frozen data, decisions and the replicated log. Nothing here opens a socket or a
file, reads a clock or draws a random number: each of these is an argument.
"""

"""
mulberryledge_daemon.peers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Connections between the daemons: websockets that carry CBOR messages.
"""

"""
mulberryledge_daemon.peers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Connections between the daemons: WebSockets that carry CBOR messages.
"""

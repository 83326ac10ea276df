"""
A TCP proxy that cuts a path silently and heals it.

What is sent during a cut is lost. A connection from before the cut, whose far end has
crashed behind it, is reset once its near end sends something after the cut. One that
was opened during the cut stays silent until its near end gives up.
"""

import socket
import struct
import threading
from contextlib import suppress

RESET = struct.pack("ii", 1, 0)


class Path:
    """Owns one listening address and the connections that it forwards."""

    def __init__(self, ip, port, target_ip, target_port):
        self.target = (target_ip, target_port)
        self.is_cut = False
        self.epoch = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        """Lose everything from now on."""
        self.is_cut = True
        self.epoch += 1

    def heal(self):
        """Forward new connections again."""
        self.is_cut = False

    def accept(self):
        """Accept connections."""
        while True:
            near, _ = self.listener.accept()
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.is_cut:
                threading.Thread(target=self.hold, args=(near,), daemon=True).start()
                continue
            try:
                far = socket.create_connection(self.target, 1.0)
            except OSError:
                self.reset(near)
                continue
            far.settimeout(None)
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for one, other, is_near in ((near, far, True), (far, near, False)):
                arguments = (one, other, is_near, self.epoch)
                threading.Thread(target=self.pump, args=arguments, daemon=True).start()

    def hold(self, near):
        """Lose what arrives until the near end gives up."""
        try:
            while near.recv(65536):
                pass
        except OSError:
            pass
        near.close()

    def pump(self, source, sink, is_near, epoch):
        """Forward one direction of a connection."""
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            if epoch != self.epoch:
                if not is_near:
                    return  # the end of the far side is lost in the cut
                if data and not self.is_cut:
                    self.reset(source)
                    return
                if data:
                    continue
                source.close()
                return
            if not data:
                for one in (source, sink):
                    with suppress(OSError):
                        one.shutdown(socket.SHUT_RDWR)
                return
            try:
                sink.sendall(data)
            except OSError:
                return

    def reset(self, one):
        """Reset a connection."""
        try:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            one.close()
        except OSError:
            pass

"""
mulberryledge_daemon.peers.tls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Mutual TLS between daemons: each shows a certificate of the cluster's authority that
carries its name. Renewed files are taken up with the next connection.
"""

import logging
from pathlib import Path

from cryptography import x509
from cryptography.x509.oid import NameOID
from OpenSSL import SSL

from mulberryledge_daemon.settings import TlsSection

__all__ = ["PeerContext"]

logger = logging.getLogger(__name__)


class PeerContext:
    """
    Makes the TLS contexts of both sides of a connection.

    Raises
    ------
    OSError, SSL.Error
        If the files cannot be used at the start; later faulty ones are logged and
        the earlier ones stay in use.
    """

    def __init__(self, section: TlsSection):
        self.section = section
        self.stamps = self.read_stamps()
        self.context = make_context(section)

    def names_shown(self, transport) -> tuple[str, ...]:
        """Return the names in the certificate that a peer has shown."""
        return certificate_names(transport)

    def getContext(self) -> SSL.Context:
        """Return a context with the present files."""
        try:
            stamps = self.read_stamps()
            if stamps != self.stamps:
                self.context = make_context(self.section)
                self.stamps = stamps
                logger.info("certificates reloaded")
        except (OSError, SSL.Error) as error:
            logger.error("certificates not reloaded", extra={"why": str(error)})
        return self.context

    def read_stamps(self) -> tuple[tuple[int, int], ...]:
        """Return times of change and inode numbers of the files."""
        stats = (Path(path).stat() for path in paths(self.section))
        return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)


def paths(section: TlsSection) -> tuple[str, str, str]:
    """Return the files of a section."""
    return section.certificate, section.private_key, section.authority


def make_context(section: TlsSection) -> SSL.Context:
    """Return a context that demands a certificate of the authority."""
    context = SSL.Context(SSL.TLS_METHOD)
    context.set_min_proto_version(SSL.TLS1_3_VERSION)
    context.use_certificate_chain_file(section.certificate)
    context.use_privatekey_file(section.private_key)
    context.check_privatekey()
    context.load_verify_locations(section.authority)
    context.set_verify(
        SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, lambda *args: bool(args[4])
    )
    return context


def certificate_names(transport) -> tuple[str, ...]:
    """Return the names in the certificate that the peer has shown."""
    shown = transport.getPeerCertificate()
    if shown is None:
        return ()
    certificate = shown.to_cryptography()
    common = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    try:
        extension = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        )
        others = extension.value.get_values_for_type(x509.DNSName)
    except x509.ExtensionNotFound:
        others = []
    return (*(str(one.value) for one in common), *others)

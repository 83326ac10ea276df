"""
mulberryledge_daemon.peers.tls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Mutual TLS between daemons: each presents a certificate with its name, issued by
the cluster's authority. Renewed files take effect with the next connection.
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
        If the files cannot be used at the start; faulty renewals are logged and
        the earlier files stay in use.
    """

    def __init__(self, section: TlsSection):
        self.section = section
        self.file_versions = self.read_file_versions()
        self.context = make_context(section)

    def peer_names(self, transport) -> tuple[str, ...]:
        """Return the names in a peer's certificate."""
        return certificate_names(transport)

    def getContext(self) -> SSL.Context:
        """Return a context with the current files."""
        try:
            file_versions = self.read_file_versions()
            if file_versions != self.file_versions:
                self.context = make_context(self.section)
                self.file_versions = file_versions
                logger.info("certificates reloaded")
        except (OSError, SSL.Error) as error:
            logger.error("certificates not reloaded", extra={"why": str(error)})
        return self.context

    def read_file_versions(self) -> tuple[tuple[int, int], ...]:
        """Return modification times and inode numbers of the files."""
        stats = (Path(path).stat() for path in certificate_files(self.section))
        return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)


def certificate_files(section: TlsSection) -> tuple[str, str, str]:
    """Return the files of a section."""
    return section.certificate, section.private_key, section.authority


def make_context(section: TlsSection) -> SSL.Context:
    """Return a context that requires peer certificates issued by the authority."""
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
    """Return the names in the certificate of a connection's peer."""
    peer_certificate = transport.getPeerCertificate()
    if peer_certificate is None:
        return ()
    certificate = peer_certificate.to_cryptography()
    common_names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    try:
        extension = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        )
        dns_names = extension.value.get_values_for_type(x509.DNSName)
    except x509.ExtensionNotFound:
        dns_names = []
    return (*(str(one.value) for one in common_names), *dns_names)

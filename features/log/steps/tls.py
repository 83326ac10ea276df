"""Steps on mutual TLS between two networks on loopback."""

import os
import tempfile
import time
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from mulberryledge_testing.processes import wait_until
from mulberryledge_testing.reactor_thread import run_coroutine
from twisted.internet import reactor

from mulberryledge_daemon.peers.messages import Hello
from mulberryledge_daemon.peers.network import Network, NetworkHandlers, PeerAddress
from mulberryledge_daemon.peers.tls import PeerContext
from mulberryledge_daemon.settings import TlsSection

REFUSAL_S = 0.7


class Authority:
    """Signs certificates."""

    def __init__(self, name):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self.sign(self.name, self.key.public_key(), True, 1)

    def sign(self, subject, public_key, is_authority, days):
        now = datetime.now(UTC)
        constraints = x509.BasicConstraints(ca=is_authority, path_length=None)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(days=2))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(constraints, critical=True)
            .sign(self.key, hashes.SHA256())
        )

    def write(self, folder, name, days=1, authority=None):
        """Write the files of a daemon and return its section."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self.sign(subject, key.public_key(), False, days)
        folder.mkdir(exist_ok=True)
        section = TlsSection(*(str(folder / one) for one in ("cert", "key", "ca")))
        pem = serialization.Encoding.PEM
        replace(section.certificate, certificate.public_bytes(pem))
        replace(
            section.private_key,
            key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        )
        trusted = (authority or self).certificate.public_bytes(pem)
        replace(section.authority, trusted)
        return section


def replace(path, data):
    beside = f"{path}.new"
    Path(beside).write_bytes(data)
    os.replace(beside, path)


def open_network(context, name, section):
    handlers = NetworkHandlers(
        lambda: Hello(name, "", 1, "", ""),
        lambda hello: "",
        lambda sender, message: None,
        lambda peer: None,
    )
    tls = PeerContext(section) if section is not None else None
    network = Network(reactor, name, handlers, Random(1), tls)

    async def listen():
        network.listen("127.0.0.1", 0)

    run_coroutine(listen)
    context.add_cleanup(run_coroutine, network.stop)
    return network


@given('an authority and daemon "{name}" that listens with its certificate')
def step_listen(context, name):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    context.folder = Path(scratch.name)
    context.authority = Authority("cluster")
    section = context.authority.write(context.folder / name, name)
    context.server = open_network(context, name, section)


def dial(context, section):
    network = open_network(context, "v2", section)

    async def connect():
        port = context.server.port.getHost().port
        network.set_peers((PeerAddress("v1", "127.0.0.1", port),))

    run_coroutine(connect)
    context.client = network


@when('daemon "v2" dials with its certificate')
def step_good(context):
    dial(context, context.authority.write(context.folder / "v2", "v2"))


@when('daemon "v2" dials with no TLS at all')
def step_plain(context):
    dial(context, None)


@when('daemon "v2" dials with a certificate of another authority')
def step_other(context):
    other = Authority("cluster")
    folder = context.folder / "v2"
    dial(context, other.write(folder, "v2", authority=context.authority))


@when('daemon "v2" dials with an outdated certificate')
def step_outdated(context):
    dial(context, context.authority.write(context.folder / "v2", "v2", days=-1))


@when('daemon "v2" dials with the certificate of "v3"')
def step_wrong_name(context):
    dial(context, context.authority.write(context.folder / "v2", "v3"))


@when('the authority and the certificate of "v1" are replaced')
def step_renew(context):
    context.authority = Authority("cluster")
    context.authority.write(context.folder / "v1", "v1")


@when('daemon "v2" dials with a certificate of the new authority')
def step_renewed(context):
    step_good(context)


@when('the certificate file of "v1" becomes garbage')
def step_garbage(context):
    replace(context.server.tls.section.certificate, b"garbage")


@then("they are connected: {connected}")
def step_connected(context, connected):
    if connected == "yes":
        wait_until(lambda: is_connected(context), "connected", 5.0)
        return
    with suppress(TimeoutError):
        wait_until(lambda: is_connected(context), "connected", REFUSAL_S)
        time.sleep(REFUSAL_S)
    assert not is_connected(context)


def is_connected(context):
    return "v1" in context.client.links and "v2" in context.server.links

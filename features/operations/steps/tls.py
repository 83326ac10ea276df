"""Steps on TLS towards operators."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from mulberryledge_testing.reactor_thread import run_coroutine
from steps_common import operate
from twisted.internet import reactor

from mulberryledge_core.keys import digest_secret
from mulberryledge_daemon.daemon import open_daemon
from mulberryledge_daemon.settings import (
    DaemonSection,
    OperatorSection,
    Settings,
    TlsSection,
)

PEM = serialization.Encoding.PEM
SALT = bytes(16)


def named(name):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def sign(subject, public_key, issuer, issuer_key, is_authority=False):
    now = datetime.now(UTC)
    constraints = x509.BasicConstraints(ca=is_authority, path_length=None)
    address = x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))])
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(constraints, critical=True)
        .add_extension(address, critical=False)
        .sign(issuer_key, hashes.SHA256())
    )


class Authority:
    """Writes certificates, keys and its own certificate into a folder."""

    def __init__(self, folder, name):
        self.folder = Path(folder)
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = named(name)
        own = sign(self.name, self.key.public_key(), self.name, self.key, True)
        self.path = self.folder / f"{name}.pem"
        self.path.write_bytes(own.public_bytes(PEM))

    def issue(self, name):
        """Return the paths of a new certificate and its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = sign(named(name), key.public_key(), self.name, self.key)
        paths = self.folder / f"{name}.cert", self.folder / f"{name}.key"
        paths[0].write_bytes(certificate.public_bytes(PEM))
        plain = serialization.NoEncryption()
        form = serialization.PrivateFormat.PKCS8
        paths[1].write_bytes(key.private_bytes(PEM, form, plain))
        return tuple(map(str, paths))


@given("a daemon whose operators' port speaks TLS, and an operator of its authority")
def step_daemon(context):
    context.authority = Authority(context.folder, "authority")
    certificate, private_key = context.authority.issue("entry-1")
    settings = Settings(
        daemon=DaemonSection("entry-1"),
        operator=OperatorSection(
            "operator", SALT.hex(), digest_secret(SALT, "test").hex()
        ),
        tls=TlsSection(certificate, private_key, str(context.authority.path), True),
    )
    opened = open_daemon(reactor, settings)
    context.daemon = opened.__enter__()
    context.add_cleanup(opened.__exit__, None, None, None)
    run_coroutine(context.daemon.start)
    context.add_cleanup(run_coroutine, context.daemon.stop)


def operate_tls(context, line, pair, scheme="https", key="mlk_operator_test"):
    """Run a command line with a settings file that names certificates."""
    port = context.daemon.operators_port
    lines = [
        f'entries = ["{scheme}://127.0.0.1:{port}"]',
        f'key = "{key}"',
        f'ca_file = "{context.authority.path}"',
    ]
    if pair:
        lines += [
            f'certificate_file = "{pair[0]}"',
            f'private_key_file = "{pair[1]}"',
        ]
    path = Path(context.folder) / "client.toml"
    path.write_text("\n".join(lines) + "\n")
    operate(context, f"{line} --settings {path}", connect=False)


@when('the operator runs "{line}" over TLS')
def step_good(context, line):
    operate_tls(context, line, context.authority.issue("operator"))


@when('an operator without a certificate runs "{line}" over TLS')
def step_none(context, line):
    operate_tls(context, line, ())


@when('an operator of another authority runs "{line}" over TLS')
def step_other(context, line):
    other = Authority(context.folder, "other")
    operate_tls(context, line, other.issue("stranger"))


@when('an operator who speaks plain HTTP runs "{line}" over TLS')
def step_plain(context, line):
    operate_tls(context, line, (), scheme="http")


@when('an operator with a wrong key runs "{line}" over TLS')
def step_key(context, line):
    pair = context.authority.issue("operator")
    operate_tls(context, line, pair, key="mlk_operator_wrong")


@then("the exit code is not 0 and no pool is shown")
def step_refused(context):
    assert context.code != 0, context.shown
    assert "none" not in context.shown, context.shown

"""Generates a certificate authority and service certificates for demo and tests."""

import datetime
import ipaddress
import pathlib
import typing

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

HOST = '127.0.0.1'
CERTIFICATE_DAYS = 30


def write(
    folder: pathlib.Path,
    names: typing.Sequence[str],
    days: int = CERTIFICATE_DAYS,
) -> None:
    """Write a certificate authority, and a certificate and key for each service.

    :param folder: directory for the PEM files.
    :param names: names of the services.
    :param days: validity in days; a negative number makes expired certificates.
    """
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority_name = _x509_name('egretjunction demo authority')
    authority = (
        _certificate_builder(
            authority_name, authority_name, authority_key, CERTIFICATE_DAYS
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(authority_key, hashes.SHA256())
    )
    _write_pem(folder / 'authority.pem', authority)
    for name in names:
        key = ec.generate_private_key(ec.SECP256R1())
        alternative_names = [
            x509.DNSName(name),
            x509.IPAddress(ipaddress.ip_address(HOST)),
        ]
        certificate = (
            _certificate_builder(_x509_name(name), authority_name, key, days)
            .add_extension(
                x509.SubjectAlternativeName(alternative_names), critical=False
            )
            .sign(authority_key, hashes.SHA256())
        )
        _write_pem(folder / f'{name}.pem', certificate)
        (folder / f'{name}.key').write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        )


def _x509_name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, common_name)])


def _certificate_builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    days: int,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    not_before = now - datetime.timedelta(days=CERTIFICATE_DAYS * 2)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(not_before)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _write_pem(path: pathlib.Path, certificate: x509.Certificate) -> None:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

"""Settings of each process, read from INI files and validated."""

import datetime
import pathlib
import types
import typing

import msgspec
from cryptography import x509
from cryptography.hazmat.primitives import serialization

from egretjunction import _ini
from egretjunction import addresses
from egretjunction import errors
from egretjunction.decisions import document

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 32

Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=document.MAX_COUNT)]
Seed = typing.Annotated[int, msgspec.Meta(ge=0)]
Seconds = document.Seconds
Name = document.Name


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[entry]``.

    :param name: unique name of this entry.
    :param domain: its failure domain.
    :param data: UDP address for datagrams from the fabric and the agents.
    :param control: TCP address for control messages.
    :param admin: HTTP address of metrics and status.
    :param fabric: UDP address of the fabric, for answers to callers.
    :param platform: base URL of the platform's key-value service.
    :param seeds: control addresses of other entries.
    :param key_file: file with the secret that entries and agents share.
    """

    name: Name
    domain: Name
    data: addresses.Address
    control: addresses.Address
    admin: addresses.Address
    fabric: addresses.Address
    platform: str
    key_file: str
    seeds: tuple[addresses.Address, ...] = ()


class Agent(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[agent]``.

    :param name: unique name of the backend server beside this agent.
    :param domain: its failure domain.
    :param service: the service of the backend server.
    :param data: UDP address for datagrams from entries.
    :param admin: HTTP address of metrics, status and drain.
    :param backend: HTTP address of the backend server.
    :param slots: number of requests that the backend server runs concurrently.
    :param max_connections: maximum number of flows on this agent.
    :param seeds: control addresses of entries.
    :param certificate_file: PEM certificate chain presented to callers.
    :param private_key_file: PEM private key of the certificate.
    :param key_file: file with the secret that entries and agents share.
    :param drain_seconds: longest wait for remaining flows while draining.
    :param platform: base URL of the platform's key-value service, whose registry
        lists entries when no seed responds.
    """

    name: Name
    domain: Name
    service: Name
    data: addresses.Address
    admin: addresses.Address
    backend: addresses.Address
    certificate_file: str
    private_key_file: str
    key_file: str
    seeds: tuple[addresses.Address, ...]
    slots: Count = 2
    max_connections: Count = 2000
    drain_seconds: Seconds = 3600
    platform: str = ''


class Platform(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[platform]`` of the platform stand-in.

    :param listen: HTTP address to listen on.
    :param writes_per_second: rate limit of calls that write.
    :param reads_per_second: rate limit of calls that read.
    """

    listen: addresses.Address
    writes_per_second: Count = 500
    reads_per_second: Count = 2000


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[backend]`` of the backend server stand-in.

    :param feed_epoch: Unix time of update 0 of the feed.
    :param feed_interval_seconds: interval between updates.
    """

    name: Name
    listen: addresses.Address
    slots: Count = 2
    max_connections: Count = 2000
    cold_start_seconds: Seconds = 0
    feed_epoch: float = 0
    feed_interval_seconds: Seconds = 0.5
    seed: Seed = 0


class Fabric(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[fabric]`` of the fabric stand-in.

    :param services: UDP addresses of services, to which callers send.
    :param entries: data addresses of the entries.
    :param answers: UDP address for answers from entries.
    :param admin: HTTP address for changing the settings below.
    :param loss: fraction of packets that are dropped.
    :param duplication: fraction of packets that are sent twice.
    :param reordering: fraction of packets that are delayed behind later ones.
    """

    services: tuple[addresses.Address, ...]
    entries: tuple[addresses.Address, ...]
    answers: addresses.Address
    admin: addresses.Address
    loss: Fraction = 0
    duplication: Fraction = 0
    reordering: Fraction = 0
    delay_seconds: Seconds = 0
    jitter_seconds: Seconds = 0
    seed: Seed = 0


STRUCT_BY_SECTION: typing.Mapping[str, type] = types.MappingProxyType(
    {
        'entry': Entry,
        'agent': Agent,
        'platform': Platform,
        'backend': Backend,
        'fabric': Fabric,
    },
)


def load(path: str, section: str) -> typing.Any:
    """Read and validate the settings file of a process.

    :param path: the INI file.
    :param section: one of the names in ``STRUCT_BY_SECTION``.
    :return: an instance of the struct of that section.
    :raises errors.SettingsErrors: with all errors in the file.
    :raises errors.SettingsError: when the file cannot be read as INI.
    """
    reader = _ini.SectionReader(read_text(path), path)
    section_settings = reader.read(section, STRUCT_BY_SECTION[section])
    reader.raise_errors()
    return section_settings


def read_text(path: str) -> str:
    """Return the text of a file.

    :raises errors.SettingsError: when the file cannot be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            path,
            '*',
            '*',
            str(error),
            'a readable text file',
        ) from error


def check_certificate(
    certificate_file: str,
    private_key_file: str,
    now: datetime.datetime,
) -> datetime.datetime:
    """Check that a certificate is valid and belongs to a private key.

    :param certificate_file: PEM chain that starts with the service's certificate.
    :param private_key_file: PEM private key.
    :param now: the current time, with a time zone.
    :return: expiry time of the certificate.
    :raises errors.SettingsError: when a file cannot be used or the two do not match.
    """
    chain_text = read_text(certificate_file)
    key_text = read_text(private_key_file)
    try:
        certificate = x509.load_pem_x509_certificate(chain_text.encode())
    except ValueError as error:
        allowed = 'a PEM certificate'
        raise _file_error(certificate_file, str(error), allowed) from error
    try:
        key = serialization.load_pem_private_key(key_text.encode(), None)
    except (ValueError, TypeError) as error:
        allowed = 'a PEM private key without a password'
        raise _file_error(private_key_file, str(error), allowed) from error
    if certificate.public_key() != key.public_key():
        allowed = f'the private key of {certificate_file}'
        raise _file_error(private_key_file, 'another key', allowed)
    expires = certificate.not_valid_after_utc
    if not certificate.not_valid_before_utc <= now < expires:
        allowed = 'a certificate that is valid now'
        given = f'valid from {certificate.not_valid_before_utc} to {expires}'
        raise _file_error(certificate_file, given, allowed)
    return expires


def _file_error(path: str, given: str, allowed: str) -> errors.SettingsError:
    return errors.SettingsError(path, '*', '*', given, allowed)


def read_key(path: str) -> bytes:
    """Return the shared secret in a key file.

    :raises errors.SettingsError: when the file or the secret is missing, or the
        secret is too short or too long.
    """
    key = read_text(path).strip().encode()
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise errors.SettingsError(
            path,
            '*',
            'key',
            f'{len(key)} bytes',
            f'{MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes',
        )
    return key

"""Starts a daemon that relays, on a platform whose adapter is given."""

import gc
import importlib
import types
import typing

from egretjunction import addresses
from egretjunction import errors
from egretjunction.relay import _logs
from egretjunction.relay import adapter
from egretjunction.relay import settings

_KIND_BY_ROLE = types.MappingProxyType(
    {'entry': settings.RelayEntry, 'agent': settings.RelayAgent},
)
Connect = typing.Callable[[int, addresses.Address], adapter.Adapter]


def run(role: str, settings_path: str, connect: Connect) -> None:
    """Run a daemon until it has drained.

    What was imported by then is never garbage; the collector passes over it.

    :param role: ``entry`` or ``agent``.
    :param settings_path: its INI file.
    :param connect: returns the adapter, given the clients' port and the address
        of the key-value service.
    :raises errors.RefusedError: when there is no such role.
    :raises errors.SettingsErrors: with every error in the settings.
    """
    if role not in _KIND_BY_ROLE:
        raise errors.RefusedError(f'no role "{role}": it is entry or agent')
    given = settings.read(_read_text(settings_path), settings_path, _KIND_BY_ROLE[role])
    platform = connect(given.client_port, given.platform)
    module = importlib.import_module(f'egretjunction.relay.{role}')
    gc.freeze()
    gc.enable()
    module.start(given, platform, _logs.EventLog(role, given.name))


def _read_text(path: str) -> str:
    try:
        with open(path, encoding='utf-8') as opened:
            return opened.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            path, '*', '*', str(error), 'a readable text file'
        ) from error

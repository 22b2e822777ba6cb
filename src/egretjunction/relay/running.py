"""Runs a relay daemon on the platform that an adapter connects to."""

import gc
import importlib
import types
import typing

from egretjunction import addresses
from egretjunction import errors
from egretjunction.relay import _logs
from egretjunction.relay import adapter
from egretjunction.relay import settings

_SETTINGS_BY_ROLE = types.MappingProxyType(
    {'entry': settings.RelayEntry, 'agent': settings.RelayAgent},
)
ConnectPlatform = typing.Callable[[int, addresses.Address], adapter.Adapter]


def run(
    role: str, settings_path: str, connect: ConnectPlatform, started_at: float
) -> None:
    """Run a daemon until it has drained.

    Imported objects live as long as the process; they are frozen so that the garbage
    collector does not traverse them.

    :param role: ``entry`` or ``agent``.
    :param settings_path: path of its INI file.
    :param connect: returns the platform's adapter for the clients' port and the
        address of the key-value service.
    :param started_at: start of the process by the monotonic clock.
    :raises errors.RefusedError: when the role is unknown.
    :raises errors.SettingsErrors: with every error in the settings.
    :raises errors.SettingsError: when the file is unreadable or not valid INI.
    """
    if role not in _SETTINGS_BY_ROLE:
        raise errors.RefusedError(
            f'unknown role "{role}"; the roles are entry and agent'
        )

    def read_settings() -> settings.RelayEntry | settings.RelayAgent:
        return settings.read(
            _read_text(settings_path), settings_path, _SETTINGS_BY_ROLE[role]
        )

    role_settings = read_settings()
    platform = connect(role_settings.client_port, role_settings.platform)
    module = importlib.import_module(f'egretjunction.relay.{role}')
    gc.freeze()
    gc.enable()
    log = _logs.EventLog(role, role_settings.name)
    module.start(role_settings, platform, log, read_settings, started_at)


def _read_text(path: str) -> str:
    try:
        with open(path, encoding='utf-8') as settings_file:
            return settings_file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            path, '*', '*', str(error), 'a readable text file'
        ) from error

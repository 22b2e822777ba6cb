"""Starts a daemon that relays, on a platform whose adapter is given."""

import pathlib
import sys
import typing

from egretjunction import addresses
from egretjunction import errors
from egretjunction.relay import adapter
from egretjunction.relay import agent
from egretjunction.relay import entry
from egretjunction.relay import settings

Connect = typing.Callable[[int, addresses.Address], adapter.Adapter]


async def run(role: str, settings_path: str, connect: Connect) -> None:
    """Run a daemon until it has drained.

    :param role: ``entry`` or ``agent``.
    :param settings_path: its INI file.
    :param connect: returns the adapter, given the clients' port and the address
        of the key-value service.
    :raises errors.RefusedError: when there is no such role.
    :raises errors.SettingsErrors: with every error in the settings.
    """
    text = pathlib.Path(settings_path).read_text(encoding='utf-8')
    if role == 'entry':
        given = settings.read(text, settings_path, settings.RelayEntry)
        platform = connect(given.clients.port, given.platform)
        await entry.RelayEntry(given, platform, _log).run()
    elif role == 'agent':
        given = settings.read(text, settings_path, settings.RelayAgent)
        platform = connect(given.entries.port, given.platform)
        await agent.RelayAgent(given, platform, _log).run()
    else:
        raise errors.RefusedError(f'no role "{role}": it is entry or agent')


def _log(event: str, **fields: object) -> None:
    pairs = ' '.join(f'{name}={shown}' for name, shown in fields.items())
    sys.stdout.write(f'event={event} {pairs}\n')
    sys.stdout.flush()

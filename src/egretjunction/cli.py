"""The command line: daemons, configuration, demo and stand-ins."""

import asyncio
import sys
import typing

import typer

from egretjunction import errors
from egretjunction import logs
from egretjunction import settings

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help='A layer-4 load balancer that keeps every flow with its backend server.',
)
standin_app = typer.Typer(no_args_is_help=True, help='Run a stand-in, for tests only.')
app.add_typer(standin_app, name='standin')

SettingsPath = typing.Annotated[
    str,
    typer.Option('--settings', help='INI file with the settings of this process.'),
]


@app.command()
def entry(settings_path: SettingsPath) -> None:
    """Run an entry daemon."""
    from egretjunction import entry as daemon  # noqa: PLC0415

    given = settings.load(settings_path, 'entry')
    logs.configure(given.name)
    asyncio.run(_run_daemon(daemon.Entry, given))


@app.command()
def agent(settings_path: SettingsPath) -> None:
    """Run the agent beside a backend server."""
    from egretjunction import agent as daemon  # noqa: PLC0415

    given = settings.load(settings_path, 'agent')
    logs.configure(f'agent-{given.name}')
    asyncio.run(_run_daemon(daemon.Agent, given))


async def _run_daemon(kind: typing.Any, given: typing.Any) -> None:
    await kind(given).run()


@standin_app.command('platform')
def standin_platform(settings_path: SettingsPath) -> None:
    """Run the stand-in for the platform's key-value service."""
    from egretjunction.standins import platform  # noqa: PLC0415

    given = settings.load(settings_path, 'platform')
    logs.configure('platform')
    asyncio.run(platform.run(given))


@standin_app.command('fabric')
def standin_fabric(settings_path: SettingsPath) -> None:
    """Run the stand-in for the packet fabric."""
    from egretjunction.standins import fabric  # noqa: PLC0415

    given = settings.load(settings_path, 'fabric')
    logs.configure('fabric')
    asyncio.run(fabric.run(given))


@standin_app.command('backend')
def standin_backend(settings_path: SettingsPath) -> None:
    """Run the stand-in for a backend server."""
    from egretjunction.standins import backend  # noqa: PLC0415

    given = settings.load(settings_path, 'backend')
    logs.configure(f'backend-{given.name}')
    asyncio.run(backend.run(given))


def main() -> None:
    """Run a command; errors become a message and an exit code."""
    try:
        app()
    except (errors.EgretjunctionError, ExceptionGroup) as error:
        for line in describe(error):
            sys.stderr.write(f'error: {line}\n')
        sys.exit(getattr(error, 'exit_code', 1))


def describe(error: BaseException) -> list[str]:
    """Return one message for each error in a group."""
    if isinstance(error, BaseExceptionGroup):
        return [line for each in error.exceptions for line in describe(each)]
    return [str(error)]

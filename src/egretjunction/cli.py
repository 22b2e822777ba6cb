"""The command line: daemons, configuration, demo and stand-ins."""

import asyncio
import logging
import pathlib
import sys
import tempfile
import typing

import msgspec
import typer

from egretjunction import _config_cli
from egretjunction import errors
from egretjunction import logs
from egretjunction import operators
from egretjunction import settings

REPORT_PAGE = pathlib.Path('report.html')

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help='A layer-4 load balancer that keeps every flow with its backend server.',
)


standin_app = typer.Typer(no_args_is_help=True, help='Run a stand-in, for tests only.')
app.add_typer(standin_app, name='standin')
app.add_typer(_config_cli.app, name='config')

SettingsPath = typing.Annotated[
    str,
    typer.Option('--settings', help='INI file with the settings of this process.'),
]


@app.command()
def entry(settings_path: SettingsPath) -> None:
    """Run an entry daemon."""
    from egretjunction.quic import entry as daemon

    given = settings.load(settings_path, 'entry')
    logs.configure(given.name)
    asyncio.run(_run_daemon(daemon.Entry, given))


@app.command()
def agent(settings_path: SettingsPath) -> None:
    """Run the agent beside a backend server."""
    from egretjunction.quic import agent as daemon

    given = settings.load(settings_path, 'agent')
    logs.configure(f'agent-{given.name}')
    asyncio.run(_run_daemon(daemon.Agent, given))


@app.command()
def status(
    admin: typing.Annotated[str, typer.Argument(help='Admin address, ip:port.')],
) -> None:
    """Print the view of an entry or an agent."""
    shown = asyncio.run(operators.status_of(admin))
    sys.stdout.write(f'{msgspec.json.format(shown).decode()}\n')


@app.command()
def demo(
    seconds: typing.Annotated[float, typer.Option(help='Length of the load.')] = 60,
    seed: typing.Annotated[int, typer.Option(help='Seed of the load.')] = 1,
    *,
    lakeshore: typing.Annotated[bool, typer.Option(help="Lakeshore's size.")] = False,
    report: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Write all that was seen to a JSON file.'),
    ] = None,
    folder: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Keep settings and logs of all processes here.'),
    ] = None,
) -> None:
    """Run a user's whole system on this machine, with planned changes midway.

    Ends with exit code 1 when a promise was broken.
    """
    from egretjunction import demo as runner
    from egretjunction.standins import sizes

    logs.configure('demo', logging.WARNING)
    size = sizes.LAKESHORE if lakeshore else sizes.SYLFAEN
    with tempfile.TemporaryDirectory(prefix='egretjunction-') as temporary:
        place = folder or pathlib.Path(temporary)
        place.mkdir(parents=True, exist_ok=True)
        result = runner.run(place, size, seconds, seed)
    runner.show(result)
    if report is not None:
        report.write_bytes(msgspec.json.encode(result))
    if not result.totals.is_clean:
        raise typer.Exit(1)


@app.command()
def report(
    path: typing.Annotated[pathlib.Path, typer.Argument(help='JSON file of a run.')],
    output: typing.Annotated[
        pathlib.Path,
        typer.Option(help='Where to write the page.'),
    ] = REPORT_PAGE,
) -> None:
    """Render a run of the demo as one HTML page with plots."""
    from egretjunction import demo as runner
    from egretjunction import reports

    try:
        result = msgspec.json.decode(path.read_bytes(), type=runner.Result)
    except (OSError, msgspec.DecodeError) as error:
        raise errors.SettingsError(
            str(path),
            '*',
            '*',
            str(error),
            'a file that "egretjunction demo --report" has written',
        ) from error
    output.write_text(reports.render(result), 'utf-8')
    sys.stdout.write(f'{output}\n')


async def _run_daemon(kind: typing.Any, given: typing.Any) -> None:
    await kind(given).run()


@standin_app.command('platform')
def standin_platform(settings_path: SettingsPath) -> None:
    """Run the stand-in for the platform's key-value service."""
    from egretjunction.standins import platform

    given = settings.load(settings_path, 'platform')
    logs.configure('platform')
    asyncio.run(platform.run(given))


@standin_app.command('fabric')
def standin_fabric(settings_path: SettingsPath) -> None:
    """Run the stand-in for the packet fabric."""
    from egretjunction.standins import fabric

    given = settings.load(settings_path, 'fabric')
    logs.configure('fabric')
    asyncio.run(fabric.run(given))


@standin_app.command('backend')
def standin_backend(settings_path: SettingsPath) -> None:
    """Run the stand-in for a backend server."""
    from egretjunction.standins import backend

    given = settings.load(settings_path, 'backend')
    logs.configure(f'backend-{given.name}')
    asyncio.run(backend.run(given))


def main() -> None:
    """Run a command; errors become a message and an exit code."""
    try:
        app()
    except (errors.EgretjunctionError, ExceptionGroup) as error:
        for line in errors.describe(error):
            sys.stderr.write(f'error: {line}\n')
        sys.exit(getattr(error, 'exit_code', 1))

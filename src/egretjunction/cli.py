"""Command line interface: daemons, configuration, demo and stand-ins."""

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

DEFAULT_REPORT_PATH = pathlib.Path('report.html')

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help='A layer-4 load balancer that keeps every flow on its backend server.',
)


standin_app = typer.Typer(no_args_is_help=True, help='Run a stand-in, for tests only.')
app.add_typer(standin_app, name='standin')
app.add_typer(_config_cli.app, name='config')

SettingsPath = typing.Annotated[
    str,
    typer.Option('--settings', help='INI file with the settings of the process.'),
]


@app.command()
def entry(settings_path: SettingsPath) -> None:
    """Run an entry daemon."""
    from egretjunction.quic import entry as daemon

    process_settings = settings.load(settings_path, 'entry')
    logs.configure(process_settings.name)
    asyncio.run(_run_daemon(daemon.Entry, process_settings))


@app.command()
def agent(settings_path: SettingsPath) -> None:
    """Run the agent beside a backend server."""
    from egretjunction.quic import agent as daemon

    process_settings = settings.load(settings_path, 'agent')
    logs.configure(f'agent-{process_settings.name}')
    asyncio.run(_run_daemon(daemon.Agent, process_settings))


@app.command()
def status(
    admin: typing.Annotated[str, typer.Argument(help='Admin address as ip:port.')],
) -> None:
    """Print the status of an entry or an agent as JSON."""
    daemon_status = asyncio.run(operators.status_of(admin))
    sys.stdout.write(f'{msgspec.json.format(daemon_status).decode()}\n')


@app.command()
def demo(
    seconds: typing.Annotated[
        float, typer.Option(help='Duration of the load, in seconds.')
    ] = 60,
    seed: typing.Annotated[int, typer.Option(help='Random seed of the load.')] = 1,
    *,
    lakeshore: typing.Annotated[
        bool, typer.Option(help='Use the system size of Lakeshore.')
    ] = False,
    report: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Write the results to a JSON file.'),
    ] = None,
    folder: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            help='Keep the settings and logs of all processes in this folder.'
        ),
    ] = None,
) -> None:
    """Run a complete system on this machine and make planned changes under load.

    Exits with code 1 when a guarantee was violated.
    """
    from egretjunction import demo as runner
    from egretjunction.standins import sizes

    logs.configure('demo', logging.WARNING)
    size = sizes.LAKESHORE if lakeshore else sizes.SYLFAEN
    with tempfile.TemporaryDirectory(prefix='egretjunction-') as temporary:
        run_folder = folder or pathlib.Path(temporary)
        run_folder.mkdir(parents=True, exist_ok=True)
        result = runner.run(run_folder, size, seconds, seed)
    runner.show(result)
    if report is not None:
        report.write_bytes(msgspec.json.encode(result))
    if not result.totals.is_clean:
        raise typer.Exit(1)


@app.command()
def report(
    path: typing.Annotated[
        pathlib.Path, typer.Argument(help='JSON file written by "demo --report".')
    ],
    output: typing.Annotated[
        pathlib.Path,
        typer.Option(help='HTML file to write.'),
    ] = DEFAULT_REPORT_PATH,
) -> None:
    """Render the results of a demo run as an HTML page with plots."""
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
            'a JSON file written by "egretjunction demo --report"',
        ) from error
    output.write_text(reports.render(result), 'utf-8')
    sys.stdout.write(f'{output}\n')


async def _run_daemon(daemon_type: typing.Any, process_settings: typing.Any) -> None:
    await daemon_type(process_settings).run()


@standin_app.command('platform')
def standin_platform(settings_path: SettingsPath) -> None:
    """Run the stand-in for the platform's key-value service."""
    from egretjunction.standins import platform

    process_settings = settings.load(settings_path, 'platform')
    logs.configure('platform')
    asyncio.run(platform.run(process_settings))


@standin_app.command('fabric')
def standin_fabric(settings_path: SettingsPath) -> None:
    """Run the stand-in for the packet fabric."""
    from egretjunction.standins import fabric

    process_settings = settings.load(settings_path, 'fabric')
    logs.configure('fabric')
    asyncio.run(fabric.run(process_settings))


@standin_app.command('backend')
def standin_backend(settings_path: SettingsPath) -> None:
    """Run the stand-in for a backend server."""
    from egretjunction.standins import backend

    process_settings = settings.load(settings_path, 'backend')
    logs.configure(f'backend-{process_settings.name}')
    asyncio.run(backend.run(process_settings))


def main() -> None:
    """Run the command line; report errors on standard error and by the exit code."""
    try:
        app()
    except (errors.EgretjunctionError, ExceptionGroup) as error:
        for line in errors.describe(error):
            sys.stderr.write(f'error: {line}\n')
        sys.exit(getattr(error, 'exit_code', 1))

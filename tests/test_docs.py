"""Commands, modules and links in the docs exist, and logged events are listed."""

import pathlib
import re
import shlex

import pytest
import typer.main

from egretjunction import cli

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [
    ROOT / 'README.md',
    ROOT / 'CONTRIBUTING.md',
    *sorted((ROOT / 'docs').glob('*.md')),
]
SOURCES = [path.read_text('utf-8') for path in (ROOT / 'src').rglob('*.py')]


def _commands():
    for page in PAGES:
        for command_text in re.findall(
            r'(?:bin/)?egretjunction ([a-z][^`\n|&]*)', page.read_text()
        ):
            yield pytest.param(
                command_text.strip(), id=f'{page.name}: {command_text.strip()}'
            )


@pytest.mark.parametrize('command_line', _commands())
def test_command_in_the_docs_exists_with_its_options(command_line):
    command = typer.main.get_command(cli.app)
    arguments = shlex.split(command_line)
    while arguments and hasattr(command, 'commands'):
        name = arguments.pop(0).rstrip(',.:;')
        assert name in command.commands, command_line
        command = command.commands[name]
    known_options = {
        option for parameter in command.params for option in parameter.opts
    }
    for argument in arguments:
        if argument.startswith('--'):
            assert argument.rstrip('`,') in known_options, command_line


def test_modules_in_the_docs_exist():
    for page in PAGES:
        for module in re.findall(
            r'python3? -m ((?:bench|spec)[.a-z]*)', page.read_text()
        ):
            path = ROOT / module.replace('.', '/')
            assert path.with_suffix('.py').exists() or path.is_dir(), module


def test_every_logged_event_is_listed_for_operators():
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text('utf-8')
    pattern = (
        r"(?:\.(?:info|warning|error)\(|effects\.Log\(|_log\(|\blog\()\s*'([a-z_]+)'"
    )
    events = {event for source in SOURCES for event in re.findall(pattern, source)}
    assert len(events) > 15
    assert not {event for event in events if f'`{event}`' not in page}


def test_links_between_pages_resolve():
    for page in PAGES:
        for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
            assert (page.parent / target).exists(), (page.name, target)

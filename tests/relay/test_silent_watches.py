"""Entry processes whose connections to the store go silent."""

import contextlib
import time
import types

import pytest

from egretjunction import addresses
from egretjunction.relay import listings
from tests.platform import store_standin
from tests.relay import soaking
from tests.relay import test_daemons as daemons

ENTRIES = 8
WATCHING_SECONDS = 1.0  # entries that have a version watch again within this time
STABLE_SECONDS = 3.0  # machines whose connections went silent count as disturbed
OTHER_ENTRIES = 21  # as many as at the largest sites whose bound is 5 s


def _write_version(state, version):
    document = daemons._configuration(version, soaking.SERVICE)
    state.write({'op/config': document}, [])


def _list_entry(state, name, domain, host):
    inner, metrics = (
        addresses.Address(host, port) for port in (soaking.AGENTS, soaking.METRICS)
    )
    state.write(dict([listings.entry_item(name, domain, inner, metrics)]), [])


def _list_other_entries(state, count):
    for number in range(count):
        host = f'127.0.9.{number + 1}'
        _list_entry(state, f'other-{number}', 'elsewhere', host)


@contextlib.contextmanager
def _running_entries(folder, state, address, count):
    """Yield entries that have the version 1, and an agent that they hear from."""
    site = types.SimpleNamespace(network=39, folder=folder, store=address)
    _write_version(state, 1)
    processes = [soaking.Process(site, 'agent', 1)]
    processes += [soaking.Process(site, 'entry', n + 1) for n in range(count)]
    for entry in processes[1:]:
        _list_entry(state, entry.name, entry.domain, entry.host)
    for process in processes:
        process.start()
    try:
        _await_version(processes[1:], 1, soaking.START_SECONDS)
        _announce_server(processes[0])
        yield processes[1:]
    finally:
        for process in processes:
            process.popen.kill()
            process.popen.wait()


def _announce_server(agent):
    """Send the first heartbeat of a backend server, at which its agent lists itself."""
    daemons._wait_until(lambda: soaking.announce(agent.host) == 200)


def _await_version(entries, version, seconds):
    """Wait until a version is in force at all entries; fail after some seconds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if all(entry.version() == version for entry in entries):
            return
        time.sleep(0.05)
    versions = [entry.version() for entry in entries]
    pytest.fail(f'versions after {seconds} s: {versions}, expected: {version}')


def test_version_after_all_watches_went_silent_is_in_force_in_time(tmp_path):
    """Guards against watches that nobody misses for up to 25 s at a large site."""
    with store_standin.running() as (state, address):
        _list_other_entries(state, OTHER_ENTRIES)
        with _running_entries(tmp_path, state, address, 1) as entries:
            _write_version(state, 2)
            _await_version(entries, 2, soaking.BOUND_SECONDS)
            time.sleep(WATCHING_SECONDS)
            state.silence_connections()
            time.sleep(STABLE_SECONDS)
            _write_version(state, 3)
            _await_version(entries, 3, soaking.BOUND_SECONDS)


def test_entries_whose_watches_started_together_do_not_miss_a_version_together(
    tmp_path,
):
    """Guards against watches of all entries that end within the same few seconds."""
    with (
        store_standin.running() as (state, address),
        _running_entries(tmp_path, state, address, ENTRIES) as entries,
    ):
        _write_version(state, 2)
        _await_version(entries, 2, soaking.BOUND_SECONDS)
        time.sleep(WATCHING_SECONDS)
        state.silence_connections(answers_probes=True)
        _write_version(state, 3)
        _await_version(entries, 3, soaking.BOUND_SECONDS)

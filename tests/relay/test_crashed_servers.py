"""Searches for owners of flows beside an agent whose server has crashed."""

import pytest

from tests.platform import store_standin
from tests.relay import serving

FLOWS = 24
CRASHED, LIVING = 2, 3  # both in the failure domain of the entry


@pytest.fixture
def system(tmp_path):
    with store_standin.running() as (state, store):
        state.write({'op/config': serving.configuration()}, [])
        started = serving.System(tmp_path, store, 1, (CRASHED, LIVING))
        try:
            started.start()
            yield started
        finally:
            started.stop()


@pytest.mark.parametrize('seconds', [0.2, 4.0])
def test_restarted_agent_whose_server_crashed_resets_no_flow_of_another(
    system, seconds
):
    """Guards against a flow in question that is reset with a dead server's own.

    :param seconds: from the crash to the restart of the entry, which then searches;
        after the shorter time the agent has not found the server to be lost.
    """
    (entry,) = system.entries
    system.restart(system.agent_by_number[CRASHED])
    system.run(2)
    system.clients.open(FLOWS)
    system.run(3)
    living_ports = system.clients.ports_of(LIVING)
    assert living_ports
    assert system.clients.ports_of(CRASHED)
    system.crash(CRASHED)
    system.run(seconds)
    system.restart(entry)
    system.run(5)
    assert not [event for event in system.clients.broken if event[0] in living_ports]
    assert 'event=flow_located' in entry.log_path.read_text('utf-8')

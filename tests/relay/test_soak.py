"""A short soak; ``python -m tests.relay.soaking`` plays longer ones."""

import pytest

from tests.relay import soaking


@pytest.mark.parametrize('seed', [4, 7, 10])
def test_open_flows_and_versions_outlast_restores_and_restarts(seed, tmp_path):
    soak = soaking.Soak(seed, tmp_path, entry_count=3, agent_count=3)
    assert not soak.run(14)
    assert soak.clients.answers

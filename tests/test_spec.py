"""The specification holds, finds every planted fault, and agrees with the code."""

import minicheck
import pytest

from egretjunction.decisions import configuration
from egretjunction.decisions import document
from spec import core
from spec import exploring
from tests import builders


@pytest.mark.parametrize('name', sorted(core.MACHINES))
def test_every_invariant_holds_in_every_state(name):
    protocol = core.MACHINES[name]('')
    for invariant, found in minicheck.check_safety(protocol)['properties'].items():
        assert found['holds'] is True, (invariant, found)


@pytest.mark.parametrize(('name', 'planted', 'invariant'), core.PLANTED)
def test_every_planted_fault_is_found(name, planted, invariant):
    protocol = core.MACHINES[name](planted)
    found = minicheck.check_safety(protocol)['properties'][invariant]
    assert found['holds'] is False
    assert len(found['counterexample']) > 1


def test_each_invariant_has_a_planted_fault():
    covered = {(name, invariant) for name, _, invariant in core.PLANTED}
    for name in ('request', 'flow', 'drain', 'generations'):
        for invariant in core.MACHINES[name]('').invariants:
            assert (name, invariant) in covered


def _text(generation):
    return builders.DOCUMENT.replace('7001', str(7000 + generation))


@pytest.mark.parametrize('seed', range(20))
def test_real_configuration_follows_the_walks_of_the_specification(seed):
    protocol = core.generations()
    followed = [
        configuration.ActiveConfiguration(),
        configuration.ActiveConfiguration(),
    ]
    for label, state in exploring.walk(protocol, seed, 60):
        process = int(label[0]) if label[0].isdigit() else None
        if process is not None and 'replaced' in label:
            followed[process] = configuration.ActiveConfiguration()
        elif process is not None and ('reads' in label or 'hears' in label):
            generation = int(label.split()[3 if 'hears' in label else 2])
            text = _text(generation)
            change = builders.change(generation, document.split(text))
            followed[process].replace(change, text)
        assert tuple(each.generation for each in followed) == state['own']

"""Tests that the model keeps its invariants, detects faults and matches the code."""

import minicheck
import pytest

from egretjunction.decisions import configuration
from egretjunction.decisions import document
from spec import core
from spec import exploring
from tests import builders


@pytest.mark.parametrize('name', sorted(core.PROTOCOL_BY_NAME))
def test_every_invariant_holds_in_every_state(name):
    protocol = core.PROTOCOL_BY_NAME[name]('')
    for invariant, verification in minicheck.check_safety(protocol)[
        'properties'
    ].items():
        assert verification['holds'] is True, (invariant, verification)


@pytest.mark.parametrize(('name', 'fault', 'invariant'), core.INJECTED_FAULTS)
def test_every_injected_fault_is_detected(name, fault, invariant):
    protocol = core.PROTOCOL_BY_NAME[name](fault)
    verification = minicheck.check_safety(protocol)['properties'][invariant]
    assert verification['holds'] is False
    assert len(verification['counterexample']) > 1


def test_every_invariant_has_an_injected_fault():
    covered = {(name, invariant) for name, _, invariant in core.INJECTED_FAULTS}
    for name in ('request', 'flow', 'drain', 'generations'):
        for invariant in core.PROTOCOL_BY_NAME[name]('').invariants:
            assert (name, invariant) in covered


def _document_text(generation):
    return builders.DOCUMENT.replace('7001', str(7000 + generation))


@pytest.mark.parametrize('seed', range(20))
def test_configuration_agrees_with_random_walks_of_the_model(seed):
    protocol = core.generations()
    adopted = [configuration.ActiveConfiguration(), configuration.ActiveConfiguration()]
    for label, state in exploring.random_walk(protocol, seed, 60):
        process = int(label[0]) if label[0].isdigit() else None
        if process is not None and 'replaced' in label:
            adopted[process] = configuration.ActiveConfiguration()
        elif process is not None and ('reads' in label or 'receives' in label):
            generation = int(label.split()[3 if 'receives' in label else 2])
            text = _document_text(generation)
            change = builders.change(generation, document.split(text))
            adopted[process].replace(change, text)
        assert tuple(active.generation for active in adopted) == state['adopted']

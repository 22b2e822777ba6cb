"""Changes are accepted once, whatever happens to calls and other operators."""

import msgspec
import pytest
import structlog
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from egretjunction import document_changes
from egretjunction import errors
from egretjunction import operators
from egretjunction import platform
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from tests import stepping

FAULTS = ['', '', '', 'lost_request', 'lost_answer', 'late', 'down']
KEY_BY_TEAM = {'booking': 'booking key', 'photo': 'photo key'}


def _section(team, port, limit=16):
    return (
        f'[service {team}]\nteam = {team}\naddress = 127.0.0.1:{port}\n'
        f'backend_servers = {team}-*\nqueue_limit = {limit}\n'
    )


def _team(team):
    return f'[team {team}]\nkey_sha256 = {document.digest(KEY_BY_TEAM[team])}\n'


def _document(**limits):
    ports = {'booking': 7001, 'photo': 7002}
    text = '\n'.join(
        [
            *(_team(team) for team in KEY_BY_TEAM),
            *(_section(team, ports[team], limits.get(team, 16)) for team in ports),
        ],
    )
    return document.parse(text, 'test')


def _author(team='booking', key=None):
    digest = document.digest(key or KEY_BY_TEAM[team])
    return operators.Author('tester', team, digest)


def _apply(service, base, wanted, team='booking'):
    return stepping.Run(service, operators.apply(service, base, wanted, _author(team)))


def _accepted(service):
    return stepping.Run(service, operators.read(service)).finish().result


@pytest.fixture
def service():
    """Return a platform on which generation 1 is accepted."""
    created = stepping.MemoryPlatform()
    _apply(created, operators.EMPTY, _document()).finish()
    return created


def test_change_is_accepted_with_the_next_generation(service):
    run = _apply(service, _document(), _document(booking=20)).finish()
    assert run.result.generation == 2
    accepted = _accepted(service)
    assert accepted.document.services['booking'].queue_limit == 20
    assert [change.generation for change in accepted.head.recent] == [1, 2]


def test_document_without_a_difference_makes_no_generation(service):
    assert _apply(service, _document(), _document()).finish().result is None
    assert _accepted(service).generation == 1


def test_lost_answer_of_the_swap_is_settled_by_reading_back(service):
    run = _apply(service, _document(), _document(booking=20))
    _until_swap(run)
    run.step('lost_answer')
    run.finish()
    assert run.error is None
    assert run.result.generation == 2
    assert _accepted(service).generation == 2


def test_lost_request_of_the_swap_is_sent_again(service):
    run = _apply(service, _document(), _document(booking=20))
    _until_swap(run)
    run.step('lost_request')
    assert run.finish().result.generation == 2


def _until_swap(run):
    while (run.pending[0], run.pending[1][0]) != ('put', platform.HEAD_KEY):
        run.step()


def test_swap_that_lands_late_keeps_its_snapshot(service):
    run = _apply(service, _document(), _document(booking=20))
    _until_swap(run)
    run.step('late')
    _until_swap(run)
    service.arrive()
    assert run.finish().result.generation == 2
    service.lapse()
    assert _accepted(service).document.services['booking'].queue_limit == 20


def test_operator_is_told_when_the_effect_is_not_known(service):
    run = _apply(service, _document(), _document(booking=20))
    _until_swap(run)
    run.step('lost_answer')
    run.step('down')
    run.finish()
    assert isinstance(run.error, errors.NotKnownError)
    change_id = _accepted(service).head.change_id
    assert f'config settle {change_id}' in str(run.error)


def test_changes_of_different_sections_both_land(service):
    base = _document()
    first = _apply(service, base, _document(booking=20))
    second = _apply(service, base, _document(photo=30), 'photo')
    for _ in range(2):
        first.step()
        second.step()
    first.finish()
    second.finish()
    services = _accepted(service).document.services
    assert (services['booking'].queue_limit, services['photo'].queue_limit) == (20, 30)


def test_second_change_of_the_same_section_is_refused_with_both_diffs(service):
    base = _document()
    _apply(service, base, _document(booking=20)).finish()
    run = _apply(service, base, _document(booking=30)).finish()
    (conflict,) = run.error.exceptions
    assert conflict.section == 'service booking'
    assert '+queue_limit = 30' in conflict.ours
    assert '+queue_limit = 20' in conflict.theirs
    assert _accepted(service).document.services['booking'].queue_limit == 20


@pytest.mark.parametrize(
    ('author', 'message'),
    [
        (_author('photo'), 'belongs to team "booking"'),
        (_author('booking', 'guessed'), 'key is not that of team "booking"'),
        (operators.Author('x', 'nobody', 'y'), 'is in no \\[team\\] section'),
    ],
)
def test_sections_of_another_team_cannot_be_changed(service, author, message):
    wanted = _document(booking=20)
    run = stepping.Run(service, operators.apply(service, _document(), wanted, author))
    run.finish()
    with pytest.raises(errors.OwnershipError, match=message):
        raise run.error


def test_revert_makes_a_new_generation(service):
    _apply(service, _document(), _document(booking=20)).finish()
    read = stepping.Run(service, operators.read_generation(service, 1)).finish()
    run = _apply(service, _document(booking=20), read.result).finish()
    assert run.result.generation == 3
    assert _accepted(service).document.services['booking'].queue_limit == 16


def test_revert_to_an_unknown_generation_names_the_known_ones(service):
    run = stepping.Run(service, operators.read_generation(service, 9)).finish()
    with pytest.raises(errors.RefusedError, match='only of: 1'):
        raise run.error


def test_audit_trail_stays_bounded_and_exports_what_it_drops(service):
    current = _document()
    with structlog.testing.capture_logs() as logged:
        for number in range(40):
            wanted = _document(booking=100 + number)
            _apply(service, current, wanted).finish()
            current = wanted
    head = service.item_by_key[platform.HEAD_KEY].data
    assert len(head) <= configuration.MAX_RECENT_BYTES + 500
    generations = {change.generation for change in _accepted(service).head.recent}
    exported = {
        msgspec.json.decode(line['change'])['generation']
        for line in logged
        if line['event'] == 'audit_exported'
    }
    assert exported == set(range(1, 42)) - generations


def test_old_snapshots_lapse(service):
    current = _document()
    for number in range(40):
        wanted = _document(booking=100 + number)
        _apply(service, current, wanted).finish()
        current = wanted
    service.lapse()
    snapshots = [key for key in service.item_by_key if 'snapshot' in key]
    assert len(snapshots) == len(_accepted(service).head.recent)


def test_snapshot_that_does_not_match_its_digest_is_refused(service):
    head = msgspec.json.decode(
        service.item_by_key[platform.HEAD_KEY].data,
        type=document_changes.Head,
    )
    service._put(
        head.snapshot_key, 'changed', service._get(head.snapshot_key).revision, 0
    )
    run = stepping.Run(service, operators.read(service)).finish()
    with pytest.raises(errors.PlatformUnavailableError, match='does not match'):
        raise run.error


class OperatorsMachine(stateful.RuleBasedStateMachine):
    """Up to four operators race, with every fault at every call."""

    def __init__(self):
        super().__init__()
        self.service = stepping.MemoryPlatform()
        _apply(self.service, operators.EMPTY, _document()).finish()
        self.runs = []
        self.number = 100
        self.generations = [1]

    @stateful.precondition(lambda self: self._open() < 4)
    @stateful.rule(team=st.sampled_from(sorted(KEY_BY_TEAM)))
    def begin(self, team):
        self.number += 1
        base = _accepted(self.service).document
        text = base.text().replace(
            base.sections[f'service {team}'],
            _section(team, {'booking': 7001, 'photo': 7002}[team], self.number),
        )
        wanted = document.parse(text, 'edit')
        self.runs.append((team, self.number, _apply(self.service, base, wanted, team)))

    @stateful.precondition(lambda self: self._open())
    @stateful.rule(
        pick=st.integers(0, 3),
        fault=st.sampled_from(FAULTS),
    )
    def step(self, pick, fault):
        still = [run for _, _, run in self.runs if not run.is_over]
        still[pick % len(still)].step(fault)

    @stateful.precondition(lambda self: self.service.late)
    @stateful.rule()
    def late_call_arrives(self):
        self.service.arrive()

    @stateful.invariant()
    def generations_rise_by_one(self):
        generation = _accepted(self.service).generation
        assert generation - self.generations[-1] in {0, 1}
        self.generations.append(generation)

    def teardown(self):
        for _, _, run in self.runs:
            run.finish()
        while self.service.late:
            self.service.arrive()
        self.service.lapse()
        accepted = _accepted(self.service)
        trail = {
            change.sections.get(f'service {team}', '') or ''
            for change in accepted.head.recent
            for team in KEY_BY_TEAM
        }
        for _, number, run in self.runs:
            landed = any(f'queue_limit = {number}\n' in text for text in trail)
            if run.error is None:
                assert landed
            elif not isinstance(run.error, errors.NotKnownError):
                assert not landed
        assert len({change.change_id for change in accepted.head.recent}) == len(
            accepted.head.recent,
        )

    def _open(self):
        return sum(1 for _, _, run in self.runs if not run.is_over)


TestOperatorsMachine = OperatorsMachine.TestCase
TestOperatorsMachine.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=35,
    deadline=None,
)

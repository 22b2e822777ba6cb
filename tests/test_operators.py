"""Changes are accepted exactly once despite failed calls and concurrent operators."""

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


def _service_section(team, port, limit=16):
    return (
        f'[service {team}]\nteam = {team}\naddress = 127.0.0.1:{port}\n'
        f'backend_servers = {team}-*\nqueue_limit = {limit}\n'
    )


def _team_section(team):
    return f'[team {team}]\nkey_sha256 = {document.digest(KEY_BY_TEAM[team])}\n'


def _document(**limits):
    ports = {'booking': 7001, 'photo': 7002}
    text = '\n'.join(
        [
            *(_team_section(team) for team in KEY_BY_TEAM),
            *(
                _service_section(team, ports[team], limits.get(team, 16))
                for team in ports
            ),
        ],
    )
    return document.parse(text, 'test')


def _author(team='booking', key=None):
    digest = document.digest(key or KEY_BY_TEAM[team])
    return operators.Author('tester', team, digest)


def _apply(service, base, wanted, team='booking'):
    return stepping.SteppedRun(
        service, operators.apply(service, base, wanted, _author(team))
    )


def _accepted(service):
    return stepping.SteppedRun(service, operators.read(service)).finish().result


@pytest.fixture
def service():
    """Return a platform whose accepted generation is 1."""
    memory_platform = stepping.InMemoryPlatform()
    _apply(memory_platform, operators.EMPTY, _document()).finish()
    return memory_platform


def test_change_is_accepted_with_the_next_generation(service):
    run = _apply(service, _document(), _document(booking=20)).finish()
    assert run.result.generation == 2
    accepted = _accepted(service)
    assert accepted.document.services['booking'].queue_limit == 20
    assert [change.generation for change in accepted.head.recent] == [1, 2]


def test_unchanged_document_makes_no_generation(service):
    assert _apply(service, _document(), _document()).finish().result is None
    assert _accepted(service).generation == 1


def test_swap_with_a_lost_response_is_settled_by_reading_the_head(service):
    run = _apply(service, _document(), _document(booking=20))
    _step_until_swap(run)
    run.step('lost_answer')
    run.finish()
    assert run.error is None
    assert run.result.generation == 2
    assert _accepted(service).generation == 2


def test_swap_with_a_lost_request_is_retried(service):
    run = _apply(service, _document(), _document(booking=20))
    _step_until_swap(run)
    run.step('lost_request')
    assert run.finish().result.generation == 2


def _step_until_swap(run):
    while (run.pending_call[0], run.pending_call[1][0]) != ('put', platform.HEAD_KEY):
        run.step()


def test_delayed_swap_keeps_its_snapshot(service):
    run = _apply(service, _document(), _document(booking=20))
    _step_until_swap(run)
    run.step('late')
    _step_until_swap(run)
    service.deliver_delayed_call()
    assert run.finish().result.generation == 2
    service.expire_leases()
    assert _accepted(service).document.services['booking'].queue_limit == 20


def test_unknown_outcome_is_raised_with_the_change_id(service):
    run = _apply(service, _document(), _document(booking=20))
    _step_until_swap(run)
    run.step('lost_answer')
    run.step('down')
    run.finish()
    assert isinstance(run.error, errors.NotKnownError)
    change_id = _accepted(service).head.change_id
    assert f'config settle {change_id}' in str(run.error)


def test_delayed_swap_stays_possible_after_a_restore(service):
    """Guards against a change called not accepted that takes effect later."""
    copy = service.copy()
    other = _apply(service, _document(), _document(photo=30), 'photo').finish()
    assert other.result.generation == 2
    run = _apply(service, _document(), _document(booking=20))
    _step_until_swap(run)
    run.step('late')
    service.restore(copy)
    while run.pending_call[0] == 'get':
        run.step()
    while not run.is_finished:
        run.step('down')
    assert isinstance(run.error, errors.NotKnownError)


def test_change_after_a_restore_gets_a_generation_that_was_never_used(service):
    """Guards against two documents of one generation, one of which was lost."""
    copy = service.copy()
    lost = _apply(service, _document(), _document(booking=20)).finish().result
    active = configuration.ActiveConfiguration()
    active.apply_changes(_accepted(service).head.recent)
    service.restore(copy)
    assert configuration.next_generation(None, service.era) > lost.generation
    new = _apply(service, _document(), _document(photo=30), 'photo').finish().result
    assert new.generation > lost.generation
    active.apply_changes(_accepted(service).head.recent)
    assert active.generation == lost.generation
    assert active.replace(new, _accepted(service).document.text())
    assert active.document.text() == _accepted(service).document.text()


def test_snapshot_that_a_restore_took_away_before_the_swap_is_written_again(service):
    """Guards against an accepted head without its document."""
    run = _apply(service, _document(), _document(booking=20))
    copy = service.copy()
    _step_until_swap(run)
    service.restore(copy)
    assert run.finish().result.generation == 2
    assert _accepted(service).document.services['booking'].queue_limit == 20


def test_concurrent_changes_of_different_sections_are_merged(service):
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
    run = stepping.SteppedRun(
        service, operators.apply(service, _document(), wanted, author)
    )
    run.finish()
    with pytest.raises(errors.OwnershipError, match=message):
        raise run.error


def test_revert_makes_a_new_generation(service):
    _apply(service, _document(), _document(booking=20)).finish()
    reading = stepping.SteppedRun(
        service, operators.read_generation(service, 1)
    ).finish()
    run = _apply(service, _document(booking=20), reading.result).finish()
    assert run.result.generation == 3
    assert _accepted(service).document.services['booking'].queue_limit == 16


def test_revert_to_an_unknown_generation_names_the_known_ones(service):
    run = stepping.SteppedRun(service, operators.read_generation(service, 9)).finish()
    with pytest.raises(errors.RefusedError, match='only of: 1'):
        raise run.error


def test_audit_trail_is_bounded_and_logs_evicted_changes(service):
    current = _document()
    with structlog.testing.capture_logs() as log_lines:
        for number in range(40):
            wanted = _document(booking=100 + number)
            _apply(service, current, wanted).finish()
            current = wanted
    head = service.item_by_key[platform.HEAD_KEY].data
    assert len(head) <= configuration.MAX_RECENT_BYTES + 500
    kept = {change.generation for change in _accepted(service).head.recent}
    exported = {
        msgspec.json.decode(line['change'])['generation']
        for line in log_lines
        if line['event'] == 'audit_exported'
    }
    assert exported == set(range(1, 42)) - kept


def test_snapshots_of_evicted_changes_expire(service):
    current = _document()
    for number in range(40):
        wanted = _document(booking=100 + number)
        _apply(service, current, wanted).finish()
        current = wanted
    service.expire_leases()
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
    run = stepping.SteppedRun(service, operators.read(service)).finish()
    with pytest.raises(errors.PlatformUnavailableError, match='does not match'):
        raise run.error


class OperatorsMachine(stateful.RuleBasedStateMachine):
    """Up to four concurrent operators, with a possible fault at each platform call.

    A run without an error must have its change accepted, and a run that failed
    must not, unless its outcome is unknown.
    """

    def __init__(self):
        super().__init__()
        self.service = stepping.InMemoryPlatform()
        _apply(self.service, operators.EMPTY, _document()).finish()
        self.runs = []
        self.last_queue_limit = 100
        self.generations = [1]

    @stateful.precondition(lambda self: self._unfinished_count() < 4)
    @stateful.rule(team=st.sampled_from(sorted(KEY_BY_TEAM)))
    def begin_change(self, team):
        self.last_queue_limit += 1
        base = _accepted(self.service).document
        text = base.text().replace(
            base.sections[f'service {team}'],
            _service_section(
                team, {'booking': 7001, 'photo': 7002}[team], self.last_queue_limit
            ),
        )
        wanted = document.parse(text, 'edit')
        self.runs.append(
            (team, self.last_queue_limit, _apply(self.service, base, wanted, team))
        )

    @stateful.precondition(lambda self: self._unfinished_count())
    @stateful.rule(
        run_index=st.integers(0, 3),
        fault=st.sampled_from(FAULTS),
    )
    def step(self, run_index, fault):
        unfinished = [run for _, _, run in self.runs if not run.is_finished]
        unfinished[run_index % len(unfinished)].step(fault)

    @stateful.precondition(lambda self: self.service.delayed_calls)
    @stateful.rule()
    def delayed_call_arrives(self):
        self.service.deliver_delayed_call()

    @stateful.invariant()
    def generation_rises_by_at_most_one(self):
        generation = _accepted(self.service).generation
        assert generation - self.generations[-1] in {0, 1}
        self.generations.append(generation)

    def teardown(self):
        for _, _, run in self.runs:
            run.finish()
        while self.service.delayed_calls:
            self.service.deliver_delayed_call()
        self.service.expire_leases()
        accepted = _accepted(self.service)
        accepted_sections = {
            change.sections.get(f'service {team}', '') or ''
            for change in accepted.head.recent
            for team in KEY_BY_TEAM
        }
        for _, limit, run in self.runs:
            is_accepted = any(
                f'queue_limit = {limit}\n' in text for text in accepted_sections
            )
            if run.error is None:
                assert is_accepted
            elif not isinstance(run.error, errors.NotKnownError):
                assert not is_accepted
        assert len({change.change_id for change in accepted.head.recent}) == len(
            accepted.head.recent,
        )

    def _unfinished_count(self):
        return sum(1 for _, _, run in self.runs if not run.is_finished)


TestOperatorsMachine = OperatorsMachine.TestCase
TestOperatorsMachine.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=35,
    deadline=None,
)

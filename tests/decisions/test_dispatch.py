"""Slots, queueing, load shedding and cancellation at one backend server."""

import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from egretjunction.decisions import dispatch

FAR_DEADLINE = 1e9


def _request(key, size=dispatch.Size.SMALL, deadline=FAR_DEADLINE):
    return dispatch.Request(key, size, deadline)


def _keys(effects, kind):
    return [effect.key for effect in effects if isinstance(effect, kind)]


def test_no_more_requests_run_than_there_are_slots():
    dispatcher = dispatch.Dispatcher(slots=2, queue_limit=10)
    started = [
        key
        for number in range(5)
        for key in _keys(dispatcher.offer(_request(number), 0), dispatch.Start)
    ]
    assert started == [0, 1]
    assert _keys(dispatcher.finish(0, 1), dispatch.Start) == [2]


def test_a_full_queue_sheds_with_a_retry_after_delay():
    dispatcher = dispatch.Dispatcher(slots=1, queue_limit=1)
    dispatcher.offer(_request('a'), 0)
    dispatcher.offer(_request('b'), 0)
    (shed,) = dispatcher.offer(_request('c'), 0)
    assert isinstance(shed, dispatch.Shed)
    assert shed.retry_after_seconds > 0


def test_a_request_that_cannot_meet_its_deadline_is_shed_at_once():
    dispatcher = dispatch.Dispatcher(slots=1, queue_limit=10)
    dispatcher.offer(_request('a', dispatch.Size.LARGE), 0)
    effects = dispatcher.offer(_request('b', dispatch.Size.LARGE, deadline=5), 0)
    assert _keys(effects, dispatch.Shed) == ['b']


def test_a_waiting_request_is_shed_once_it_can_no_longer_meet_its_deadline():
    dispatcher = dispatch.Dispatcher(slots=1, queue_limit=10)
    dispatcher.offer(_request('a'), 0)
    dispatcher.offer(_request('b', deadline=1), 0)
    assert dispatcher.expire(0.5) == []
    assert _keys(dispatcher.expire(0.99), dispatch.Shed) == ['b']


def test_large_requests_leave_a_slot_free_while_small_ones_arrive():
    dispatcher = dispatch.Dispatcher(slots=2, queue_limit=10)
    dispatcher.offer(_request('small'), 0)
    dispatcher.finish('small', 0.05)
    assert _keys(
        dispatcher.offer(_request('l1', dispatch.Size.LARGE), 1), dispatch.Start
    )
    assert not _keys(
        dispatcher.offer(_request('l2', dispatch.Size.LARGE), 1), dispatch.Start
    )
    assert _keys(dispatcher.offer(_request('next'), 1.5), dispatch.Start) == ['next']


def test_large_requests_use_every_slot_when_no_small_ones_arrive():
    dispatcher = dispatch.Dispatcher(slots=2, queue_limit=10)
    assert _keys(
        dispatcher.offer(_request('l1', dispatch.Size.LARGE), 0), dispatch.Start
    )
    assert _keys(
        dispatcher.offer(_request('l2', dispatch.Size.LARGE), 0), dispatch.Start
    )


def test_a_waiting_large_request_starts_once_small_ones_stop():
    dispatcher = dispatch.Dispatcher(slots=2, queue_limit=10)
    dispatcher.offer(_request('small'), 0)
    dispatcher.offer(_request('l1', dispatch.Size.LARGE), 0)
    dispatcher.offer(_request('l2', dispatch.Size.LARGE), 0)
    assert not _keys(dispatcher.finish('small', 0.05), dispatch.Start)
    idle_until = dispatch.RECENT_SMALL_SECONDS + 0.1
    assert _keys(dispatcher.expire(idle_until), dispatch.Start) == ['l2']


def test_a_cancelled_running_request_is_stopped_and_frees_its_slot():
    dispatcher = dispatch.Dispatcher(slots=1, queue_limit=10)
    dispatcher.offer(_request('a'), 0)
    dispatcher.offer(_request('b'), 0)
    effects = dispatcher.cancel('a', 0.1)
    assert _keys(effects, dispatch.Stop) == ['a']
    assert _keys(effects, dispatch.Start) == ['b']
    assert dispatcher.finish('a', 0.2) == []


def test_a_cancelled_waiting_request_never_starts():
    dispatcher = dispatch.Dispatcher(slots=1, queue_limit=10)
    dispatcher.offer(_request('a'), 0)
    dispatcher.offer(_request('b'), 0)
    assert dispatcher.cancel('b', 0.1) == []
    assert dispatcher.finish('a', 0.2) == []


class DispatcherMachine(stateful.RuleBasedStateMachine):
    """Checks the slots and counts for any order of arrivals, ends and cancels."""

    def __init__(self):
        super().__init__()
        self.dispatcher = dispatch.Dispatcher(slots=2, queue_limit=3)
        self.now = 0.0
        self.number = 0
        self.waiting = set()
        self.running = set()
        self.settled = set()

    def _apply(self, effects):
        for effect in effects:
            assert effect.key not in self.settled
            if isinstance(effect, dispatch.Start):
                self.waiting.remove(effect.key)
                self.running.add(effect.key)
            elif isinstance(effect, dispatch.Shed):
                self.waiting.remove(effect.key)
                self.settled.add(effect.key)

    @stateful.rule(
        size=st.sampled_from(dispatch.Size),
        seconds=st.floats(min_value=0.01, max_value=20),
    )
    def arrive(self, size, seconds):
        self.number += 1
        self.waiting.add(self.number)
        request = dispatch.Request(self.number, size, self.now + seconds)
        self._apply(self.dispatcher.offer(request, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(pick=st.randoms(use_true_random=False))
    def end(self, pick):
        key = pick.choice(sorted(self.running))
        self.running.remove(key)
        self.settled.add(key)
        self._apply(self.dispatcher.finish(key, self.now))

    @stateful.precondition(lambda self: self.running or self.waiting)
    @stateful.rule(pick=st.randoms(use_true_random=False))
    def give_up(self, pick):
        key = pick.choice(sorted(self.running | self.waiting))
        self.running.discard(key)
        self.waiting.discard(key)
        effects = self.dispatcher.cancel(key, self.now)
        self._apply(
            [effect for effect in effects if not isinstance(effect, dispatch.Stop)]
        )
        self.settled.add(key)

    @stateful.rule(seconds=st.floats(min_value=0.01, max_value=5))
    def pass_time(self, seconds):
        self.now += seconds
        self._apply(self.dispatcher.expire(self.now))

    @stateful.invariant()
    def counts_agree(self):
        assert len(self.running) <= 2
        assert self.dispatcher.running == len(self.running)
        assert self.dispatcher.waiting == len(self.waiting)


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)


@pytest.mark.parametrize('slots', [1, 2, 5])
def test_limits_can_change_while_requests_run(slots):
    dispatcher = dispatch.Dispatcher(slots=1, queue_limit=10)
    for number in range(6):
        dispatcher.offer(_request(number), 0)
    dispatcher.set_limits(slots, 10)
    dispatcher.finish(0, 1)
    assert dispatcher.running == slots

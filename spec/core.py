"""Model of the core protocol as four small state machines, explored exhaustively.

Where the daemons decide with a pure function, the model calls the same function, so
the two cannot diverge. Each state machine takes the name of a fault to inject; the
model checker must find a counterexample for every injected fault.
"""

import typing

import minicheck

from egretjunction import addresses
from egretjunction import verdicts
from egretjunction.decisions import ownership
from egretjunction.decisions import placement
from egretjunction.decisions import retries

MAX_ATTEMPTS = 3
KEY = b'0123456789abcdef'
NOT_RUN = verdicts.Verdict.NOT_RUN.value
RAN = verdicts.Verdict.RAN.value
POSSIBLY_RUN = verdicts.Verdict.MAY_HAVE_RUN.value

State = dict[str, typing.Any]
Actions = list[tuple[str, State]]


def _protocol(
    name: str,
    initial: State,
    enabled_actions: typing.Callable[[State], Actions],
    invariants: dict[str, typing.Callable[[State], bool]],
) -> minicheck.Protocol:
    """Return a protocol from actions that list only the fields they change.

    :param name: name of the state machine.
    :param initial: initial value of each field.
    :param enabled_actions: returns the label and the changed fields of each action
        that a state enables.
    :param invariants: predicates that must hold in every reachable state.
    """
    fields = tuple(initial)

    def transitions(state: tuple) -> list[tuple[str, tuple]]:
        before = dict(zip(fields, state, strict=True))
        return [
            (label, tuple({**before, **change}[field] for field in fields))
            for label, change in enabled_actions(before)
        ]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=fields,
        initial=tuple(initial.values()),
        transitions=transitions,
        invariants=invariants,
    )


def request(fault: str = '', *, idempotent: bool = False) -> minicheck.Protocol:
    """Model a request with retries, lost and duplicate messages, and agent crashes.

    ``progress`` is how far the request got at the agent, -1 before it arrives.
    """
    initial = {
        'attempt': 1,
        'sent': False,
        'progress': -1,
        'agent alive': True,
        'response': '',
        'verdict': NOT_RUN,
        'reported': '',
        'runs': 0,
    }

    def enabled_actions(state: State) -> Actions:
        if state['reported']:
            return _agent_actions(state, fault)
        return [
            *_caller_actions(state, fault, idempotent),
            *_agent_actions(state, fault),
        ]

    invariants = {
        'reported not run implies never run': lambda state: (
            state['reported'] != NOT_RUN or state['runs'] == 0
        ),
        'reported ran implies run': lambda state: (
            state['reported'] != RAN or state['runs'] > 0
        ),
    }
    if not idempotent:
        invariants['runs at most once'] = lambda state: state['runs'] <= 1
    return _protocol('request', initial, enabled_actions, invariants)


def _caller_actions(state: State, fault: str, idempotent: bool) -> Actions:
    actions: Actions = []
    if not state['sent']:
        actions.append(('send', {'sent': True}))
        actions.append(
            ('handshake fails', _after_attempt(state, NOT_RUN, fault, idempotent))
        )
    elif state['response']:
        outcome = _after_attempt(state, state['response'], fault, idempotent)
        actions.append(('receive response', outcome))
    if state['sent']:
        timeout_verdict = (
            NOT_RUN if fault == 'timeout counts as not run' else POSSIBLY_RUN
        )
        actions.append(
            ('time out', _after_attempt(state, timeout_verdict, fault, idempotent))
        )
    return actions


def _after_attempt(state: State, verdict: str, fault: str, idempotent: bool) -> State:
    """Return the change after an attempt, by the retry rules of the caller library.

    :param state: the current state.
    :param verdict: verdict of the attempt.
    :param fault: injected fault, empty for none.
    :param idempotent: whether the request may run twice.
    """
    earlier = verdicts.Verdict(state['verdict'])
    last = verdicts.Verdict(verdict)
    combined = verdicts.over_attempts(earlier, last)
    if fault == 'keeps only the last verdict':
        combined = last
    may_retry = retries.may_repeat(combined, idempotent)
    if (
        fault == 'retries what may have run'
        and combined is verdicts.Verdict.MAY_HAVE_RUN
    ):
        may_retry = True
    if may_retry and state['attempt'] < MAX_ATTEMPTS:
        return {
            'attempt': state['attempt'] + 1,
            'sent': False,
            'progress': -1,
            'agent alive': True,
            'response': '',
            'verdict': combined.value,
        }
    return {'reported': combined.value}


def _agent_actions(state: State, fault: str) -> Actions:
    progress = verdicts.Progress
    reached = state['progress']
    actions: Actions = []
    if not state['agent alive'] or not state['sent']:
        return actions
    actions.append(('agent crashes', {'agent alive': False}))
    if reached == -1:
        actions.append(('request arrives', {'progress': progress.QUEUED}))
    elif fault == 'duplicate message runs again' and state['runs'] < 2:
        actions.append(('duplicate arrives', {'progress': progress.QUEUED}))
    if reached == progress.QUEUED:
        shed_verdict = verdicts.verdict_at(progress.QUEUED).value
        actions.append(
            ('shed', {'response': shed_verdict, 'progress': progress.ANSWERED})
        )
        actions.append(('dispatch', {'progress': progress.SENT}))
    if reached == progress.SENT:
        cut_verdict = verdicts.verdict_at(progress.SENT).value
        if fault == 'sent request counts as not run':
            cut_verdict = NOT_RUN
        actions.append(
            ('run', {'progress': progress.FIRST_BYTE, 'runs': state['runs'] + 1})
        )
        actions.append(
            (
                'connection breaks before the run',
                {'response': cut_verdict, 'progress': progress.ANSWERED},
            )
        )
        change = {
            'response': cut_verdict,
            'progress': progress.ANSWERED,
            'runs': state['runs'] + 1,
        }
        actions.append(('connection breaks after the run', change))
    if reached == progress.SENT and fault == 'responds before the run':
        actions.append(('respond', {'response': RAN, 'progress': progress.ANSWERED}))
    if reached == progress.FIRST_BYTE:
        actions.append(('respond', {'response': RAN, 'progress': progress.ANSWERED}))
    return actions


def flow(fault: str = '') -> minicheck.Protocol:
    """Model a flow with address reuse and entries that disagree about membership.

    Entries may send the first packet to different agents, so several agents can
    accept the flow; the caller completes the handshake with the first response only.
    """
    endpoint_by_agent = {
        'a': ('bookings', addresses.Address('10.0.0.1', 1)),
        'b': ('bookings', addresses.Address('10.0.0.2', 1)),
    }
    initial = {
        'first packets left': 2,
        'accepted by': frozenset(),
        'owner': '',
        'address reused': False,
        'served by': frozenset(),
        'handshakes': 0,
    }

    def enabled_actions(state: State) -> Actions:
        actions: Actions = []
        if state['first packets left']:
            for agent in endpoint_by_agent:
                accepted_by = state['accepted by'] | {agent}
                change = {
                    'first packets left': state['first packets left'] - 1,
                    'accepted by': accepted_by,
                }
                actions.append(
                    (f'some entry sends the first packet to {agent}', change)
                )
        for agent in sorted(state['accepted by']):
            if not state['owner'] or fault == 'both handshakes complete':
                change = {'owner': agent, 'handshakes': state['handshakes'] + 1}
                if state['handshakes'] < 2:
                    actions.append(
                        (f'caller completes the handshake with {agent}', change)
                    )
        if state['owner']:
            actions.extend(_packet_actions(state, fault, endpoint_by_agent))
        if state['owner'] and not state['address reused']:
            change = {'address reused': True}
            actions.append(('address is reused by surveys', change))
        return actions

    return _protocol(
        'flow',
        initial,
        enabled_actions,
        {
            'at most one handshake completes': lambda state: state['handshakes'] <= 1,
            'only the owner serves a flow': lambda state: (
                state['served by'] <= {(state['owner'], 'bookings')}
            ),
        },
    )


def _packet_actions(
    state: State,
    fault: str,
    endpoint_by_agent: dict[str, tuple[str, addresses.Address]],
) -> Actions:
    """Return what happens to a packet of the flow that arrives at any entry.

    :param state: the current state.
    :param fault: injected fault, empty for none.
    :param endpoint_by_agent: service and address of each agent at the start.
    """
    service, address = endpoint_by_agent[state['owner']]
    connection_id = ownership.mint(KEY, service, ownership.Owner(address, 1), b'abc')
    owner = ownership.owner_of(KEY, service, connection_id)
    if fault == 'entry rehashes packets':
        return [
            (
                f'packet served by {agent}',
                {'served by': state['served by'] | {(agent, service)}},
            )
            for agent in endpoint_by_agent
        ]
    if owner is None:
        return []
    receiver = next(
        name
        for name, endpoint in endpoint_by_agent.items()
        if endpoint[1] == owner.address
    )
    current_service = 'surveys' if state['address reused'] else service
    verified_owner = ownership.owner_of(KEY, current_service, connection_id)
    if verified_owner is None and fault != 'agent does not check the service':
        return [('packet is reset', {})]
    return [
        (
            'packet is served',
            {'served by': state['served by'] | {(receiver, current_service)}},
        )
    ]


def drain(fault: str = '') -> minicheck.Protocol:
    """Model a draining agent while the entries learn of the drain one by one."""
    initial = {
        'state': 'serving',
        'unaware entries': frozenset(('entry-1', 'entry-2')),
        'flows': 1,
        'accepted after drain': 0,
        'broken flows': 0,
    }

    def enabled_actions(state: State) -> Actions:
        actions: Actions = []
        if state['state'] == 'serving':
            actions.append(('drain', {'state': 'draining'}))
        if state['state'] != 'serving':
            for entry in sorted(state['unaware entries']):
                actions.append(
                    (
                        f'{entry} learns of the drain',
                        {'unaware entries': state['unaware entries'] - {entry}},
                    )
                )
        if state['unaware entries'] and state['state'] != 'exited':
            actions.extend(_first_packet_actions(state, fault))
        if state['flows']:
            actions.append(('flow ends', {'flows': state['flows'] - 1}))
        if state['state'] == 'draining':
            if not state['flows']:
                actions.append(('exit', {'state': 'exited'}))
            elif fault == 'exits before its flows end':
                change = {'state': 'exited', 'broken flows': state['flows'], 'flows': 0}
                actions.append(('exit early', change))
        return actions

    return _protocol(
        'drain',
        initial,
        enabled_actions,
        {
            'a draining agent accepts no flow': lambda state: (
                state['accepted after drain'] == 0
            ),
            'a drain breaks no flow': lambda state: state['broken flows'] == 0,
        },
    )


def _first_packet_actions(state: State, fault: str) -> Actions:
    """Return how an agent handles a first packet, by the placement rule of the daemon.

    :param state: the current state.
    :param fault: injected fault, empty for none.
    """
    is_open = state['state'] == 'serving' or fault == 'draining agent accepts flows'
    own = placement.OwnLoad(2, state['flows'], 0, is_open=is_open)
    search_state = placement.SearchState(0, 0, placement.MAX_LOAD)
    decision = placement.decide(own, 0, [0, 0], search_state)
    if decision.action is not placement.Action.TAKE:
        return [('first packet is passed on', {})]
    accepted_late = state['accepted after drain'] + (state['state'] != 'serving')
    change = {
        'flows': min(2, state['flows'] + 1),
        'accepted after drain': min(1, accepted_late),
    }
    return [('flow is accepted', change)]


def generations(fault: str = '') -> minicheck.Protocol:
    """Model two processes that learn of generations from the platform and peers.

    ``highest`` is the highest generation that each process has adopted since its
    start; a replaced process starts without a generation.
    """
    initial = {
        'head': 1,
        'adopted': (0, 0),
        'highest': (0, 0),
        'in flight': frozenset(),
    }

    def enabled_actions(state: State) -> Actions:
        actions: Actions = []
        if state['head'] < 3:
            actions.append(('accept a change', {'head': state['head'] + 1}))
        for process in (0, 1):
            for read in range(1, state['head'] + 1):
                label = f'{process} reads {read} from the platform'
                actions.append((label, _adopt(state, process, read, fault)))
            for sent in sorted(state['in flight']):
                label = f'{process} receives generation {sent} from a peer'
                actions.append((label, _adopt(state, process, sent, fault)))
            if state['adopted'][process]:
                in_flight = state['in flight'] | {state['adopted'][process]}
                actions.append(
                    (f'{process} announces its generation', {'in flight': in_flight})
                )
            actions.append((f'{process} is replaced', _replace(state, process)))
        return actions

    return _protocol(
        'generations',
        initial,
        enabled_actions,
        {
            'generations never decrease': lambda state: all(
                adopted >= highest
                for adopted, highest in zip(
                    state['adopted'], state['highest'], strict=True
                )
            ),
        },
    )


def _adopt(state: State, process: int, generation: int, fault: str) -> State:
    adopted, highest = list(state['adopted']), list(state['highest'])
    if generation > adopted[process] or fault == 'adopts older generations':
        adopted[process] = generation
    highest[process] = max(highest[process], adopted[process])
    return {'adopted': tuple(adopted), 'highest': tuple(highest)}


def _replace(state: State, process: int) -> State:
    adopted, highest = list(state['adopted']), list(state['highest'])
    adopted[process] = 0
    highest[process] = 0
    return {'adopted': tuple(adopted), 'highest': tuple(highest)}


PROTOCOL_BY_NAME: dict[str, typing.Callable[[str], minicheck.Protocol]] = {
    'request': request,
    'idempotent request': lambda fault: request(fault, idempotent=True),
    'flow': flow,
    'drain': drain,
    'generations': generations,
}

INJECTED_FAULTS = (
    ('request', 'timeout counts as not run', 'reported not run implies never run'),
    ('request', 'sent request counts as not run', 'reported not run implies never run'),
    ('request', 'responds before the run', 'reported ran implies run'),
    ('request', 'retries what may have run', 'runs at most once'),
    ('request', 'duplicate message runs again', 'runs at most once'),
    (
        'idempotent request',
        'keeps only the last verdict',
        'reported not run implies never run',
    ),
    ('flow', 'both handshakes complete', 'at most one handshake completes'),
    ('flow', 'entry rehashes packets', 'only the owner serves a flow'),
    ('flow', 'agent does not check the service', 'only the owner serves a flow'),
    ('drain', 'draining agent accepts flows', 'a draining agent accepts no flow'),
    ('drain', 'exits before its flows end', 'a drain breaks no flow'),
    ('generations', 'adopts older generations', 'generations never decrease'),
)

"""The core protocol as four small state machines, explored exhaustively.

Where the daemons decide by a pure function, the specification calls that same
function, so that the two cannot differ. Each machine takes the name of a fault
to plant; the checker must find every planted one.
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
MAY = verdicts.Verdict.MAY_HAVE_RUN.value

State = dict[str, typing.Any]
Steps = list[tuple[str, State]]


def _protocol(
    name: str,
    initial: State,
    steps: typing.Callable[[State], Steps],
    invariants: dict[str, typing.Callable[[State], bool]],
) -> minicheck.Protocol:
    """Return a protocol whose transitions are given as changes of some fields."""
    fields = tuple(initial)

    def transitions(state: tuple) -> list[tuple[str, tuple]]:
        before = dict(zip(fields, state, strict=True))
        return [
            (label, tuple({**before, **change}[field] for field in fields))
            for label, change in steps(before)
        ]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=fields,
        initial=tuple(initial.values()),
        transitions=transitions,
        invariants=invariants,
    )


def request(planted: str = '', *, idempotent: bool = False) -> minicheck.Protocol:
    """Return one request with retries, lost and repeated messages, and deaths.

    ``step`` is how far the request got at the agent; -1 while it is on its way.
    """
    initial = {
        'attempt': 1,
        'sent': False,
        'step': -1,
        'alive': True,
        'answer': '',
        'known': NOT_RUN,
        'told': '',
        'runs': 0,
    }

    def steps(now: State) -> Steps:
        if now['told']:
            return _agent_steps(now, planted)
        return [*_caller_steps(now, planted, idempotent), *_agent_steps(now, planted)]

    invariants = {
        'told not run means never run': lambda now: (
            now['told'] != NOT_RUN or now['runs'] == 0
        ),
        'told ran means run': lambda now: now['told'] != RAN or now['runs'] > 0,
    }
    if not idempotent:
        invariants['runs at most once'] = lambda now: now['runs'] <= 1
    return _protocol('request', initial, steps, invariants)


def _caller_steps(now: State, planted: str, idempotent: bool) -> Steps:
    found: Steps = []
    if not now['sent']:
        found.append(('send', {'sent': True}))
        found.append(('handshake fails', _outcome(now, NOT_RUN, planted, idempotent)))
    elif now['answer']:
        outcome = _outcome(now, now['answer'], planted, idempotent)
        found.append(('receive answer', outcome))
    if now['sent']:
        lost = NOT_RUN if planted == 'lost means not run' else MAY
        found.append(('give up waiting', _outcome(now, lost, planted, idempotent)))
    return found


def _outcome(now: State, verdict: str, planted: str, idempotent: bool) -> State:
    """Settle or start the next attempt, by the rules that the library uses."""
    earlier = verdicts.Verdict(now['known'])
    last = verdicts.Verdict(verdict)
    known = verdicts.over_attempts(earlier, last)
    if planted == 'last verdict only':
        known = last
    repeats = retries.may_repeat(known, idempotent)
    if (
        planted == 'repeats what may have run'
        and known is verdicts.Verdict.MAY_HAVE_RUN
    ):
        repeats = True
    if repeats and now['attempt'] < MAX_ATTEMPTS:
        return {
            'attempt': now['attempt'] + 1,
            'sent': False,
            'step': -1,
            'alive': True,
            'answer': '',
            'known': known.value,
        }
    return {'told': known.value}


def _agent_steps(now: State, planted: str) -> Steps:
    progress = verdicts.Progress
    step = now['step']
    found: Steps = []
    if not now['alive'] or not now['sent']:
        return found
    found.append(('agent dies', {'alive': False}))
    if step == -1:
        found.append(('arrive', {'step': progress.QUEUED}))
    elif planted == 'repeated message runs again' and now['runs'] < 2:
        found.append(('arrive again', {'step': progress.QUEUED}))
    if step == progress.QUEUED:
        shed = verdicts.verdict_at(progress.QUEUED).value
        found.append(('shed', {'answer': shed, 'step': progress.ANSWERED}))
        found.append(('dispatch', {'step': progress.SENT}))
    if step == progress.SENT:
        cut = verdicts.verdict_at(progress.SENT).value
        if planted == 'sent counts as not run':
            cut = NOT_RUN
        found.append(('run', {'step': progress.FIRST_BYTE, 'runs': now['runs'] + 1}))
        found.append(('cut before run', {'answer': cut, 'step': progress.ANSWERED}))
        ran = {'answer': cut, 'step': progress.ANSWERED, 'runs': now['runs'] + 1}
        found.append(('cut after run', ran))
    if step == progress.SENT and planted == 'answers before the run':
        found.append(('answer', {'answer': RAN, 'step': progress.ANSWERED}))
    if step == progress.FIRST_BYTE:
        found.append(('answer', {'answer': RAN, 'step': progress.ANSWERED}))
    return found


def flow(planted: str = '') -> minicheck.Protocol:
    """Return one flow before entries that disagree, agents that restart.

    ``first`` holds the agents that got the first packet, ``taken`` those that
    answered it; the caller completes its handshake with the first answer only.
    """
    homes = {
        'a': ('bookings', addresses.Address('10.0.0.1', 1)),
        'b': ('bookings', addresses.Address('10.0.0.2', 1)),
    }
    initial = {
        'copies': 2,
        'taken': frozenset(),
        'owner': '',
        'restarted': False,
        'served': frozenset(),
        'completed': 0,
    }

    def steps(now: State) -> Steps:
        found: Steps = []
        if now['copies']:
            for agent in homes:
                taken = now['taken'] | {agent}
                change = {'copies': now['copies'] - 1, 'taken': taken}
                found.append((f'some entry sends the first packet to {agent}', change))
        for agent in sorted(now['taken']):
            if not now['owner'] or planted == 'both handshakes complete':
                change = {'owner': agent, 'completed': now['completed'] + 1}
                if now['completed'] < 2:
                    found.append((f'caller completes with {agent}', change))
        if now['owner']:
            found.extend(_packet_steps(now, planted, homes))
        if now['owner'] and not now['restarted']:
            change = {'restarted': True}
            found.append(('address is reused by surveys', change))
        return found

    return _protocol(
        'flow',
        initial,
        steps,
        {
            'one handshake completes': lambda now: now['completed'] <= 1,
            'only its owner serves a flow': lambda now: (
                now['served'] <= {(now['owner'], 'bookings')}
            ),
        },
    )


def _packet_steps(
    now: State,
    planted: str,
    homes: dict[str, tuple[str, addresses.Address]],
) -> Steps:
    """Return what becomes of a packet of the flow at any entry."""
    service, address = homes[now['owner']]
    minted = ownership.mint(KEY, service, ownership.Owner(address, 1), b'abc')
    found = ownership.owner_of(KEY, service, minted)
    if planted == 'entry rehashes packets':
        return [
            (
                f'packet served by {agent}',
                {'served': now['served'] | {(agent, service)}},
            )
            for agent in homes
        ]
    if found is None:
        return []
    reached = next(name for name, home in homes.items() if home[1] == found.address)
    serving = 'surveys' if now['restarted'] else service
    here = ownership.owner_of(KEY, serving, minted)
    if here is None and planted != 'agent does not check the service':
        return [('packet is reset', {})]
    return [('packet is served', {'served': now['served'] | {(reached, serving)}})]


def drain(planted: str = '') -> minicheck.Protocol:
    """Return an agent that leaves while entries learn of it one by one."""
    initial = {
        'state': 'serving',
        'views': frozenset(('entry-1', 'entry-2')),
        'flows': 1,
        'taken late': 0,
        'cut': 0,
    }

    def steps(now: State) -> Steps:
        found: Steps = []
        if now['state'] == 'serving':
            found.append(('drain', {'state': 'draining'}))
        if now['state'] != 'serving':
            for entry in sorted(now['views']):
                found.append((f'{entry} learns', {'views': now['views'] - {entry}}))
        if now['views'] and now['state'] != 'left':
            found.extend(_new_flow(now, planted))
        if now['flows']:
            found.append(('flow ends', {'flows': now['flows'] - 1}))
        if now['state'] == 'draining':
            if not now['flows']:
                found.append(('leave', {'state': 'left'}))
            elif planted == 'leaves before its flows':
                left = {'state': 'left', 'cut': now['flows'], 'flows': 0}
                found.append(('leave early', left))
        return found

    return _protocol(
        'drain',
        initial,
        steps,
        {
            'no new work after drain': lambda now: now['taken late'] == 0,
            'a planned change cuts no flow': lambda now: now['cut'] == 0,
        },
    )


def _new_flow(now: State, planted: str) -> Steps:
    """Return what an agent does with a first packet, by the daemon's decision."""
    is_open = now['state'] == 'serving' or planted == 'entries decide on drain'
    own = placement.OwnLoad(2, now['flows'], 0, is_open=is_open)
    seen = placement.SearchState(0, 0, placement.MAX_LOAD)
    decision = placement.decide(own, 0, [0, 0], seen)
    if decision.action is not placement.Action.TAKE:
        return [('first packet is passed on', {})]
    late = now['taken late'] + (now['state'] != 'serving')
    change = {'flows': min(2, now['flows'] + 1), 'taken late': min(1, late)}
    return [('flow is taken', change)]


def generations(planted: str = '') -> minicheck.Protocol:
    """Return two processes that learn of generations from platform and peers.

    ``most`` is the highest generation that each process has followed since it
    began; a process that is replaced begins from nothing.
    """
    initial = {'head': 1, 'own': (0, 0), 'most': (0, 0), 'wire': frozenset()}

    def steps(now: State) -> Steps:
        found: Steps = []
        if now['head'] < 3:
            found.append(('accept a change', {'head': now['head'] + 1}))
        for process in (0, 1):
            for read in range(1, now['head'] + 1):
                label = f'{process} reads {read} from the platform'
                found.append((label, _follow(now, process, read, planted)))
            for sent in sorted(now['wire']):
                label = f'{process} hears of {sent} from a peer'
                found.append((label, _follow(now, process, sent, planted)))
            if now['own'][process]:
                wire = now['wire'] | {now['own'][process]}
                found.append((f'{process} tells its peer', {'wire': wire}))
            found.append((f'{process} is replaced', _replaced(now, process)))
        return found

    return _protocol(
        'generations',
        initial,
        steps,
        {
            'no generation goes back': lambda now: all(
                own >= most for own, most in zip(now['own'], now['most'], strict=True)
            ),
        },
    )


def _follow(now: State, process: int, generation: int, planted: str) -> State:
    own, most = list(now['own']), list(now['most'])
    if generation > own[process] or planted == 'follows what it hears':
        own[process] = generation
    most[process] = max(most[process], own[process])
    return {'own': tuple(own), 'most': tuple(most)}


def _replaced(now: State, process: int) -> State:
    own, most = list(now['own']), list(now['most'])
    own[process] = 0
    most[process] = 0
    return {'own': tuple(own), 'most': tuple(most)}


MACHINES: dict[str, typing.Callable[[str], minicheck.Protocol]] = {
    'request': request,
    'idempotent request': lambda planted: request(planted, idempotent=True),
    'flow': flow,
    'drain': drain,
    'generations': generations,
}

PLANTED = (
    ('request', 'lost means not run', 'told not run means never run'),
    ('request', 'sent counts as not run', 'told not run means never run'),
    ('request', 'answers before the run', 'told ran means run'),
    ('request', 'repeats what may have run', 'runs at most once'),
    ('request', 'repeated message runs again', 'runs at most once'),
    ('idempotent request', 'last verdict only', 'told not run means never run'),
    ('flow', 'both handshakes complete', 'one handshake completes'),
    ('flow', 'entry rehashes packets', 'only its owner serves a flow'),
    ('flow', 'agent does not check the service', 'only its owner serves a flow'),
    ('drain', 'entries decide on drain', 'no new work after drain'),
    ('drain', 'leaves before its flows', 'a planned change cuts no flow'),
    ('generations', 'follows what it hears', 'no generation goes back'),
)

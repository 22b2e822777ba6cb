"""Measures what an agent spends on the requests of its server.

``python -m bench.estimates`` prints the processor time of recording a request, of
recording its answer, and of a status, in microseconds.
"""

import sys
import time
import typing

from egretjunction.decisions import relay_agent
from tests import relay_builders as build

FLOWS = 50
REQUESTS_PER_FLOW = 40
REQUEST_BYTES = 200
ROUNDS = 30
SECONDS_BETWEEN_REQUESTS = 0.01
REQUESTS_PER_TICK = 3
UNANSWERED = 2  # requests that are at the server at any time, beside the newest one
MICROSECONDS_PER_SECOND = 1_000_000


def _timed(call: typing.Callable[..., object], *arguments: object) -> float:
    start = time.perf_counter()
    call(*arguments)
    return time.perf_counter() - start


def measure_once(agent: relay_agent.AgentFlows) -> dict[str, float]:
    """Return microseconds by function, with the time of reading the clock."""
    tracker = agent._requests
    keys = [build.flow_key(number) for number in range(FLOWS)]
    seconds = dict.fromkeys(('record_sent', 'record_answer', 'status'), 0.0)
    now = 0.0
    for turn in range(REQUESTS_PER_FLOW):
        for number, key in enumerate(keys):
            now += SECONDS_BETWEEN_REQUESTS
            if not number % REQUESTS_PER_TICK:
                agent.tick(now)
            request = build.request(key, sequence=101 + REQUEST_BYTES * turn)
            seconds['record_sent'] += _timed(tracker.record_sent, request, now)
            seconds['status'] += _timed(agent.status, now)
            answer = build.answer(keys[number - UNANSWERED])
            seconds['record_answer'] += _timed(tracker.record_answer, answer, now)
    calls = FLOWS * REQUESTS_PER_FLOW
    return {
        name: total / calls * MICROSECONDS_PER_SECOND for name, total in seconds.items()
    }


def main() -> None:
    """Print the minimum of all rounds."""
    rounds = [measure_once(build.agent(slots=2)) for _ in range(ROUNDS)]
    for name in rounds[0]:
        best = min(figures[name] for figures in rounds)
        sys.stdout.write(f'{name} {best:.2f}\n')


if __name__ == '__main__':
    main()

"""The size of a state machine, and random walks through it."""

import random
import typing

import minicheck


def size(protocol: minicheck.Protocol) -> tuple[int, int]:
    """Return the number of reachable states and the length of the longest way.

    :param protocol: a machine with finitely many states.
    """
    seen = {protocol.initial}
    frontier = [protocol.initial]
    depth = 0
    while frontier:
        following = []
        for state in frontier:
            for _, after in protocol.transitions(state):
                if after not in seen:
                    seen.add(after)
                    following.append(after)
        frontier = following
        depth += bool(following)
    return len(seen), depth


def walk(
    protocol: minicheck.Protocol,
    seed: int,
    steps: int,
) -> typing.Iterator[tuple[str, dict[str, typing.Any]]]:
    """Yield the labels and states of one random walk."""
    order = random.Random(seed)
    state = protocol.initial
    for _ in range(steps):
        choices = protocol.transitions(state)
        if not choices:
            return
        label, state = order.choice(choices)
        yield label, dict(zip(protocol.fields, state, strict=True))

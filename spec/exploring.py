"""Size of the state space of a state machine, and random walks through it."""

import random
import typing

import minicheck


def state_space_size(protocol: minicheck.Protocol) -> tuple[int, int]:
    """Return the number of reachable states and the depth of the state space.

    The depth is the largest distance of a state from the initial one, in steps.

    :param protocol: a state machine with finitely many states.
    """
    seen = {protocol.initial}
    frontier = [protocol.initial]
    depth = 0
    while frontier:
        next_frontier = []
        for state in frontier:
            for _, successor in protocol.transitions(state):
                if successor not in seen:
                    seen.add(successor)
                    next_frontier.append(successor)
        frontier = next_frontier
        depth += bool(next_frontier)
    return len(seen), depth


def random_walk(
    protocol: minicheck.Protocol,
    seed: int,
    steps: int,
) -> typing.Iterator[tuple[str, dict[str, typing.Any]]]:
    """Yield the label and the resulting state of each step of a random walk.

    :param protocol: the state machine.
    :param seed: seed of the walk.
    :param steps: maximum number of steps.
    """
    generator = random.Random(seed)
    state = protocol.initial
    for _ in range(steps):
        choices = protocol.transitions(state)
        if not choices:
            return
        label, state = generator.choice(choices)
        yield label, dict(zip(protocol.fields, state, strict=True))

"""The policies that ``bench.policy`` compares: baselines, ours, the yardstick."""

import typing

from bench import virtual
from egretjunction.decisions import admission
from egretjunction.decisions import placement
from egretjunction.wire import packets

Placed = tuple[virtual.Server | None, float]


def _view(world: virtual.World, flow: virtual.Flow) -> list[virtual.Server]:
    """Return the servers that the entry sees which gets the first packet."""
    view = world.views[world.random.randrange(virtual.ENTRIES)]
    return [world.server_by_name[name] for name in view]


def _reached(server: virtual.Server | None) -> Placed:
    if server is None or server.is_dead:
        return None, 0
    return server, 0


def hash_only(world: virtual.World, flow: virtual.Flow) -> Placed:
    """Take the first candidate, without asking and without owning flows."""
    first = placement.candidates(flow.key, _view(world, flow), 1)
    return _reached(first[0] if first else None)  # type: ignore[arg-type]


def random_choice(world: virtual.World, flow: virtual.Flow) -> Placed:
    """Take any server."""
    view = _view(world, flow)
    return _reached(world.random.choice(view) if view else None)


def stale_least_loaded(world: virtual.World, flow: virtual.Flow) -> Placed:
    """Take the least loaded server by news that is up to a second old."""
    view = _view(world, flow)
    if not view:
        return _reached(None)

    def told(server: virtual.Server) -> tuple[int, float]:
        if server.name in world.lying:
            return 0, world.random.random()
        return world.stale_load.get(server.name, 0), world.random.random()

    return _reached(min(view, key=told))


def perfect(world: virtual.World, flow: virtual.Flow) -> Placed:
    """Join the shortest queue with perfect news, which no real system has."""
    live = [
        server
        for server in world.server_by_name.values()
        if server.is_open and not server.is_dead
    ]
    if not live:
        return _reached(None)
    return _reached(min(live, key=lambda each: (each.queued, world.random.random())))


def ours(world: virtual.World, flow: virtual.Flow) -> Placed:
    """Pass the first packet along the candidates until one takes it."""
    turns: dict[int, int] = {}
    for repeat_at in virtual.REPEATS_AT:
        entry = world.random.randrange(virtual.ENTRIES)
        view = [world.server_by_name[name] for name in world.views[entry]]
        chosen = typing.cast(
            'list[virtual.Server]',
            placement.candidates(flow.key, view),
        )
        turn = turns.get(entry, 0) % max(1, len(chosen))
        turns[entry] = turns.get(entry, 0) + 1
        taker, spent = _walk(world, flow, chosen[turn:] + chosen[:turn])
        if taker is not None:
            return taker, repeat_at + spent
    return _reached(None)


def _walk(
    world: virtual.World,
    flow: virtual.Flow,
    chosen: list[virtual.Server],
) -> tuple[virtual.Server | None, float]:
    """Return the server that takes the flow, and the time of the way to it."""
    if not chosen:
        return None, 0
    server = chosen[0]
    by_address = {each.address: each for each in chosen}
    option = packets.Placement(
        0,
        0,
        packets.NO_LOAD_SEEN,
        server.address,
        tuple(packets.Candidate(each.address, each.domain) for each in chosen),
    )
    if server.is_dead:
        return None, 0
    spent = 0.0
    load = server.own_load(world.now)
    found = server.admission.decide(flow.key, option, load, world.now)
    while isinstance(found, admission.PassOn):
        following = by_address[found.address]
        is_near = following.domain == server.domain
        spent += virtual.NEAR_HOP_SECONDS if is_near else virtual.FAR_HOP_SECONDS
        world.tally.hops += 1
        if following.is_dead:
            spent += admission.ACKNOWLEDGEMENT_TIMEOUT_SECONDS
            load = server.own_load(world.now)
            again = server.admission.timed_out(flow.key, found, load, world.now)
            assert again is not None
            found = again
            continue
        server.admission.acknowledged(flow.key, following.address)
        server = following
        load = server.own_load(world.now)
        found = server.admission.decide(flow.key, found.option, load, world.now)
    if isinstance(found, admission.Refuse):
        return None, spent
    return server, spent


BY_NAME: dict[str, typing.Callable[[virtual.World, virtual.Flow], Placed]] = {
    'hash only': hash_only,
    'random': random_choice,
    'stale least-loaded': stale_least_loaded,
    'ours': ours,
    'yardstick': perfect,
}

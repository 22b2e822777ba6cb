"""Placement policies that ``bench.policy`` compares.

``ours`` is the policy of the entries and agents, ``yardstick`` an ideal that needs
the exact load of every server; the others are baselines.
"""

import typing

from bench import virtual
from egretjunction.decisions import admission
from egretjunction.decisions import placement
from egretjunction.wire import packets

PlacementResult = tuple[virtual.Server | None, float]


def _view(simulation: virtual.Simulation, flow: virtual.Flow) -> list[virtual.Server]:
    """Return the servers in the view of a random entry."""
    view = simulation.views[simulation.random.randrange(virtual.ENTRIES)]
    return [simulation.server_by_name[name] for name in view]


def _result_of(server: virtual.Server | None) -> PlacementResult:
    """Return the server with no delay, or None if it is dead."""
    if server is None or server.is_dead:
        return None, 0
    return server, 0


def hash_only(simulation: virtual.Simulation, flow: virtual.Flow) -> PlacementResult:
    """Choose the first candidate by hash, without admission at the server."""
    first = placement.candidates(flow.key, _view(simulation, flow), 1)
    return _result_of(first[0] if first else None)  # type: ignore[arg-type]


def random_choice(
    simulation: virtual.Simulation, flow: virtual.Flow
) -> PlacementResult:
    """Choose a server at random."""
    view = _view(simulation, flow)
    return _result_of(simulation.random.choice(view) if view else None)


def stale_least_loaded(
    simulation: virtual.Simulation, flow: virtual.Flow
) -> PlacementResult:
    """Choose the least loaded server by reports that are up to a second old."""
    view = _view(simulation, flow)
    if not view:
        return _result_of(None)

    def sort_key(server: virtual.Server) -> tuple[int, float]:
        if server.name in simulation.misreporting_servers:
            return 0, simulation.random.random()
        return simulation.reported_load_by_name.get(
            server.name, 0
        ), simulation.random.random()

    return _result_of(min(view, key=sort_key))


def shortest_queue(
    simulation: virtual.Simulation, flow: virtual.Flow
) -> PlacementResult:
    """Choose the server with the fewest requests.

    It reads the exact load of every server, which no real system has.
    """
    live_servers = [
        server
        for server in simulation.server_by_name.values()
        if server.is_open and not server.is_dead
    ]
    if not live_servers:
        return _result_of(None)
    return _result_of(
        min(
            live_servers,
            key=lambda candidate: (candidate.request_count, simulation.random.random()),
        )
    )


def first_packet_passing(
    simulation: virtual.Simulation, flow: virtual.Flow
) -> PlacementResult:
    """Pass the first packet from candidate to candidate until one takes the flow.

    A repeated first packet may reach another entry. At an entry that got one
    before, it starts with the next candidate.
    """
    first_packets_by_entry: dict[int, int] = {}
    for sent_at in virtual.FIRST_PACKET_TIMES_SECONDS:
        entry = simulation.random.randrange(virtual.ENTRIES)
        view = [simulation.server_by_name[name] for name in simulation.views[entry]]
        candidate_servers = typing.cast(
            'list[virtual.Server]',
            placement.candidates(flow.key, view),
        )
        first_index = first_packets_by_entry.get(entry, 0) % max(
            1, len(candidate_servers)
        )
        first_packets_by_entry[entry] = first_packets_by_entry.get(entry, 0) + 1
        server, delay_seconds = _pass_first_packet(
            simulation,
            flow,
            candidate_servers[first_index:] + candidate_servers[:first_index],
        )
        if server is not None:
            return server, sent_at + delay_seconds
    return _result_of(None)


def _pass_first_packet(
    simulation: virtual.Simulation,
    flow: virtual.Flow,
    candidate_servers: list[virtual.Server],
) -> tuple[virtual.Server | None, float]:
    """Return the server that takes the flow, or None, and the seconds spent."""
    if not candidate_servers:
        return None, 0
    server = candidate_servers[0]
    server_by_address = {
        candidate.address: candidate for candidate in candidate_servers
    }
    option = packets.Placement(
        0,
        0,
        packets.NO_LOAD_SEEN,
        server.address,
        tuple(
            packets.Candidate(candidate.address, candidate.domain)
            for candidate in candidate_servers
        ),
    )
    if server.is_dead:
        return None, 0
    delay_seconds = 0.0
    load = server.own_load(simulation.now)
    decision = server.admission.decide(flow.key, option, load, simulation.now)
    while isinstance(decision, admission.PassOn):
        next_server = server_by_address[decision.address]
        is_same_domain = next_server.domain == server.domain
        delay_seconds += (
            virtual.SAME_DOMAIN_HOP_SECONDS
            if is_same_domain
            else virtual.OTHER_DOMAIN_HOP_SECONDS
        )
        simulation.results.hops += 1
        if next_server.is_dead:
            delay_seconds += admission.ACKNOWLEDGEMENT_TIMEOUT_SECONDS
            load = server.own_load(simulation.now)
            next_decision = server.admission.timed_out(
                flow.key, decision, load, simulation.now
            )
            assert next_decision is not None
            decision = next_decision
            continue
        server.admission.acknowledged(flow.key, next_server.address)
        server = next_server
        load = server.own_load(simulation.now)
        decision = server.admission.decide(
            flow.key, decision.option, load, simulation.now
        )
    if isinstance(decision, admission.Refuse):
        return None, delay_seconds
    return server, delay_seconds


BY_NAME: dict[
    str, typing.Callable[[virtual.Simulation, virtual.Flow], PlacementResult]
] = {
    'hash only': hash_only,
    'random': random_choice,
    'stale least-loaded': stale_least_loaded,
    'ours': first_packet_passing,
    'yardstick': shortest_queue,
}

"""Compares placement policies in virtual time: ``python -m bench.policy``.

The simulation runs the decision modules of the daemons. Imbalance is the maximum
over the mean of the slot-seconds that servers start in a window, averaged over
windows.
"""

import concurrent.futures
import pathlib
import statistics
import typing

import msgspec
import rich.console
import rich.table

from bench import policies
from bench import virtual
from egretjunction import imbalance

OUTPUT = pathlib.Path(__file__).with_name('policy.json')
SERVERS = 7
WORKER_PROCESSES = 4
OFFERED_LOAD = 0.7
SEEDS = (1, 2, 3)
MORNING_WORK_SECONDS = 0.05
MORNING_SECONDS = 120.0
MORNING_WINDOW_SECONDS = 10.0
EVENING_WORK_SECONDS = 4.0
EVENING_SECONDS = 3600.0
EVENING_WINDOW_SECONDS = 60.0
LOAD_REPORT_INTERVAL_SECONDS = 1.0
GOSSIP_SPREAD_SECONDS = 1.0
FAILURE_DETECTION_SECONDS = 10.0
COLD_SECONDS = 10.0
COLD_SLOWDOWN = 4.0
DEADLINE_PER_MEAN_WORK = 40  # deadline as a multiple of the mean work


class Scenario(msgspec.Struct, frozen=True):
    """Traffic and events of one simulation.

    :param mean_work_seconds: mean processing time of a request.
    :param seconds: time during which flows arrive.
    :param window: length of the windows over which imbalance is averaged, in seconds.
    :param requests_per_flow: number of requests on each flow.
    :param prepare: schedules the events of the scenario.
    :param offered_load: arriving work as a share of the capacity of all servers.
    """

    name: str
    mean_work_seconds: float
    seconds: float
    window: float
    requests_per_flow: int
    prepare: typing.Callable[[virtual.Simulation], None]
    offered_load: float = OFFERED_LOAD


class Score(msgspec.Struct):
    """Result of one policy in one scenario, averaged over the seeds.

    :param broken_flows: flows that were cut by a change of the views.
    :param max_over_mean: imbalance; 1 is perfect.
    :param variation: coefficient of variation of the server loads.
    :param p50_wait: median wait, as a multiple of the mean work of a request.
    :param p99_wait: 99th percentile of the wait, in the same unit.
    :param shed: shed attempts per request.
    :param attempts: attempts per request.
    :param goodput: share of the requests that were answered.
    :param of_possible: work started in the last third as a share of the possible work.
    :param double_runs: requests that ran more than once though they are not
        idempotent; the sum over the seeds.
    :param false_not_run: requests that ran but ended as NOT_RUN; the sum over the
        seeds.
    :param hops: first packets passed on, per placed flow.
    """

    policy: str
    scenario: str
    broken_flows: float
    max_over_mean: float
    variation: float
    p50_wait: float
    p99_wait: float
    shed: float
    attempts: float
    goodput: float
    of_possible: float
    double_runs: int
    false_not_run: int
    hops: float


def _schedule_nothing(_simulation: virtual.Simulation) -> None:
    """Schedule no events."""


def _drain(simulation: virtual.Simulation, server: virtual.Server) -> None:
    server.is_open = False
    server.open_until = simulation.now
    name = server.name
    simulation.change_views(
        lambda view: name in view and view.remove(name), GOSSIP_SPREAD_SECONDS
    )


def _add_server(simulation: virtual.Simulation, name: str, *, cold: bool) -> None:
    server = simulation.add_server(name, in_views=False)
    if cold:
        server.cold_until = simulation.now + COLD_SECONDS
        server.cold_slowdown = COLD_SLOWDOWN
    simulation.change_views(lambda view: view.append(name), GOSSIP_SPREAD_SECONDS)


def _schedule_rolling_replacement(simulation: virtual.Simulation) -> None:
    """Replace the servers one after another."""
    for number in range(SERVERS):
        join_time = 10.0 + number * 12
        simulation.schedule(
            join_time, lambda n=number: _add_server(simulation, f'new-{n}', cold=False)
        )
        simulation.schedule(
            join_time + 4,
            lambda n=number: _drain(simulation, simulation.server_by_name[f's-{n}']),
        )


def _schedule_cold_starts(simulation: virtual.Simulation) -> None:
    """Replace four servers by ones that are four times slower for ten seconds."""
    for number in range(4):
        join_time = 20.0 + 25 * number
        simulation.schedule(
            join_time, lambda n=number: _add_server(simulation, f'cold-{n}', cold=True)
        )
        simulation.schedule(
            join_time + 12,
            lambda n=number: _drain(simulation, simulation.server_by_name[f's-{n}']),
        )


def _set_misreporting_server(simulation: virtual.Simulation) -> None:
    """Let one server report that it has no load."""
    simulation.misreporting_servers.add('s-0')


def _schedule_server_loss(simulation: virtual.Simulation) -> None:
    """Kill three of seven servers at once; entries drop them after a delay."""
    lost_names = [f's-{number}' for number in range(SERVERS // 2)]

    def kill() -> None:
        for name in lost_names:
            simulation.kill(simulation.server_by_name[name])

        def remove_lost(view: list[str]) -> None:
            for name in lost_names:
                if name in view:
                    view.remove(name)

        simulation.schedule(
            simulation.now + FAILURE_DETECTION_SECONDS,
            lambda: simulation.change_views(remove_lost, GOSSIP_SPREAD_SECONDS),
        )

    simulation.schedule(40.0, kill)


def _set_differing_views(simulation: virtual.Simulation) -> None:
    """Remove one server from half of the views and another from the rest."""
    for entry_number, view in enumerate(simulation.views):
        view.remove(f's-{entry_number % 2}')


SCENARIOS = (
    Scenario(
        'morning rush',
        MORNING_WORK_SECONDS,
        MORNING_SECONDS,
        MORNING_WINDOW_SECONDS,
        1,
        _schedule_nothing,
    ),
    Scenario(
        'morning, 5 a flow',
        MORNING_WORK_SECONDS,
        MORNING_SECONDS,
        MORNING_WINDOW_SECONDS,
        5,
        _schedule_nothing,
    ),
    Scenario(
        'evening rush',
        EVENING_WORK_SECONDS,
        EVENING_SECONDS,
        EVENING_WINDOW_SECONDS,
        1,
        _schedule_nothing,
    ),
    Scenario(
        'rolling replacement',
        MORNING_WORK_SECONDS,
        MORNING_SECONDS,
        MORNING_WINDOW_SECONDS,
        5,
        _schedule_rolling_replacement,
    ),
    Scenario(
        'cold start',
        MORNING_WORK_SECONDS,
        MORNING_SECONDS,
        MORNING_WINDOW_SECONDS,
        1,
        _schedule_cold_starts,
    ),
    Scenario(
        'lying endpoint',
        MORNING_WORK_SECONDS,
        MORNING_SECONDS,
        MORNING_WINDOW_SECONDS,
        1,
        _set_misreporting_server,
    ),
    Scenario(
        'half lost',
        MORNING_WORK_SECONDS,
        MORNING_SECONDS,
        MORNING_WINDOW_SECONDS,
        1,
        _schedule_server_loss,
    ),
    Scenario(
        'entries disagree',
        MORNING_WORK_SECONDS,
        MORNING_SECONDS,
        MORNING_WINDOW_SECONDS,
        1,
        _set_differing_views,
    ),
)


def run(policy: str, scenario: Scenario, seed: int) -> Score:
    """Simulate one scenario with one policy."""
    simulation = virtual.Simulation(
        policies.BY_NAME[policy],
        seed,
        scenario.mean_work_seconds,
        scenario.mean_work_seconds * DEADLINE_PER_MEAN_WORK,
    )
    simulation.owns_flows = policy != 'hash only'
    for number in range(SERVERS):
        simulation.add_server(f's-{number}')
    scenario.prepare(simulation)
    simulation.schedule_every(virtual.EXPIRE_INTERVAL_SECONDS, simulation.expire)
    simulation.schedule_every(
        LOAD_REPORT_INTERVAL_SECONDS, lambda: _update_reported_load(simulation)
    )
    flows_per_second = (
        SERVERS
        * virtual.SLOTS_PER_SERVER
        * scenario.offered_load
        / scenario.mean_work_seconds
        / scenario.requests_per_flow
    )
    simulation.schedule_arrivals(
        flows_per_second, scenario.seconds, scenario.requests_per_flow
    )
    simulation.run(
        scenario.seconds + scenario.mean_work_seconds * DEADLINE_PER_MEAN_WORK
    )
    return _score(policy, scenario, simulation)


def _update_reported_load(simulation: virtual.Simulation) -> None:
    for name, server in simulation.server_by_name.items():
        simulation.reported_load_by_name[name] = server.request_count


def _score(policy: str, scenario: Scenario, simulation: virtual.Simulation) -> Score:
    results = simulation.results
    last_window_end = scenario.seconds - scenario.seconds % scenario.window
    started_work = [
        work for work in results.started_work if work.started < last_window_end
    ]
    measured_imbalance = imbalance.measure(
        started_work,
        lambda window: simulation.servers_open_in(window, scenario.window),
        scenario.window,
    )
    waits = sorted(results.waits) or [0.0]
    return Score(
        policy=policy,
        scenario=scenario.name,
        broken_flows=results.broken_flows,
        max_over_mean=measured_imbalance.max_over_mean,
        variation=measured_imbalance.variation,
        p50_wait=waits[len(waits) // 2],
        p99_wait=waits[int(len(waits) * 0.99)],
        shed=results.shed / max(1, results.requests),
        attempts=results.attempts / max(1, results.requests),
        goodput=results.answered / max(1, results.requests),
        of_possible=_share_of_possible(scenario, simulation),
        double_runs=sum(
            1
            for number, runs in results.runs_by_request.items()
            if runs > 1 and number not in results.idempotent
        ),
        false_not_run=sum(
            1 for number in results.not_run if results.runs_by_request[number]
        ),
        hops=results.hops / max(1, results.placed_flows),
    )


def _share_of_possible(scenario: Scenario, simulation: virtual.Simulation) -> float:
    """Return the work started in the last third as a share of the possible work.

    Possible work is the lesser of the offered work and the capacity of the servers
    that are open at the end.
    """
    begin = scenario.seconds * 2 / 3
    started_work = sum(
        work.seconds
        for work in simulation.results.started_work
        if begin <= work.started < scenario.seconds
    )
    span_seconds = scenario.seconds - begin
    open_servers = sum(
        1 for server in simulation.server_by_name.values() if server.is_open
    )
    offered_work = (
        SERVERS * virtual.SLOTS_PER_SERVER * scenario.offered_load * span_seconds
    )
    return started_work / min(
        offered_work, open_servers * virtual.SLOTS_PER_SERVER * span_seconds
    )


def mean(scores: list[Score]) -> Score:
    """Return the mean of the scores; ``double_runs`` and ``false_not_run`` are sums."""
    mean_by_field = {}
    for name in Score.__struct_fields__:
        seed_values = [getattr(score, name) for score in scores]
        is_number = isinstance(seed_values[0], (int, float))
        mean_by_field[name] = (
            statistics.fmean(seed_values) if is_number else seed_values[0]
        )
    mean_by_field['double_runs'] = sum(score.double_runs for score in scores)
    mean_by_field['false_not_run'] = sum(score.false_not_run for score in scores)
    return Score(**mean_by_field)


def measure(
    scenarios: typing.Sequence[Scenario] = SCENARIOS,
    seeds: typing.Sequence[int] = SEEDS,
) -> list[Score]:
    """Simulate the scenarios with every policy; return the means over the seeds."""
    cells = [
        (policy, scenario_index, seed)
        for scenario_index, _ in enumerate(scenarios)
        for policy in policies.BY_NAME
        for seed in seeds
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        scores = list(pool.map(_run_cell, cells))
    seed_count = len(seeds)
    return [
        mean(scores[start : start + seed_count])
        for start in range(0, len(scores), seed_count)
    ]


def _run_cell(cell: tuple[str, int, int]) -> Score:
    policy, scenario_index, seed = cell
    return run(policy, SCENARIOS[scenario_index], seed)


def score_table(scores: typing.Iterable[Score]) -> rich.table.Table:
    """Return the scores as a table."""
    table = rich.table.Table(
        'scenario',
        'policy',
        'broken',
        'max/mean',
        'CV',
        'p50 wait',
        'p99 wait',
        'shed',
        'attempts',
        'answered',
        'of possible',
        'double',
        'false',
        'hops',
    )
    previous_scenario = ''
    for score in scores:
        if score.scenario != previous_scenario:
            table.add_section()
        table.add_row(
            score.scenario if score.scenario != previous_scenario else '',
            score.policy,
            f'{score.broken_flows:.0f}',
            f'{score.max_over_mean:.3f}',
            f'{score.variation:.3f}',
            f'{score.p50_wait:.2f}',
            f'{score.p99_wait:.2f}',
            f'{score.shed * 100:.2f}%',
            f'{score.attempts:.3f}',
            f'{score.goodput * 100:.1f}%',
            f'{score.of_possible * 100:.1f}%',
            str(score.double_runs),
            str(score.false_not_run),
            f'{score.hops:.2f}',
        )
        previous_scenario = score.scenario
    return table


def main() -> None:
    """Simulate all scenarios, print the table and write the scores to a file."""
    scores = measure()
    rich.console.Console(width=140).print(score_table(scores))
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(scores)) + b'\n')


if __name__ == '__main__':
    main()

"""Tells from logs whether each confirmed version was in force at every entry in time."""

import dataclasses
import re

_EVENT = re.compile(r'event=(\w+) .*?\bat=([\d.]+)(?:.*?\bversion=(\d+))?')
_AGENT_STARTED = re.compile(r'event=agent_started .*?\bat=([\d.]+)')
_FLOW_TAKEN = re.compile(r'event=flow_taken .*?\bat=([\d.]+)')
_VERSION_EVENTS = {'configuration_adopted', 'configuration_replaced'}


@dataclasses.dataclass(slots=True)
class Timing:
    """Result of the check.

    :param checked: number of pairs of a version and an entry that were checked.
    :param late: entry, version and seconds of each pair that was late, or None for
        seconds when the version was never in force.
    :param slowest: the longest time until a version was in force, in seconds.
    """

    checked: int
    late: list
    slowest: float


def read_log(text):
    """Return the starts and ``(time, version)`` of the adoptions in an entry's log."""
    starts, adoptions = [], []
    for line in text.splitlines():
        match = _EVENT.search(line)
        if match and match[1] == 'entry_started':
            starts.append(float(match[2]))
        if match and match[1] in _VERSION_EVENTS:
            adoptions.append((float(match[2]), int(match[3])))
    return starts, adoptions


def check(confirmed, log_by_entry, spans_by_entry, ended_at, bound_seconds):
    """Check each confirmed version at each entry.

    The bound runs from the first moment, at or after the confirmation, from which the
    store answers and the process runs without a pause for as long as the bound.

    :param confirmed: ``(time, version)`` of each confirmed version.
    :param log_by_entry: log of each entry, by its name.
    :param spans_by_entry: ``(begin, end)`` of outages of the store and of pauses of the
        process, by the name of the entry.
    :param ended_at: end of the run.
    :param bound_seconds: time within which a version must be in force.
    """
    timing = Timing(0, [], 0.0)
    for name, text in log_by_entry.items():
        starts, adoptions = read_log(text)
        spans = spans_by_entry.get(name, [])
        for confirmed_at, version in confirmed:
            calm_at = _calm_moment(confirmed_at, starts, spans, bound_seconds)
            if calm_at is None or calm_at + bound_seconds > ended_at:
                continue
            started_at = max(start for start in starts if start <= calm_at)
            seconds = _seconds_until(adoptions, started_at, calm_at, version)
            timing.checked += 1
            if seconds is None or seconds > bound_seconds:
                timing.late.append((name, version, seconds))
            timing.slowest = max(timing.slowest, seconds or 0)
    return timing


def check_evacuation(text, begun_at, until, spans, bound_seconds):
    """Check that an agent accepts no flow from the bound on until a moment.

    Returns whether anything was checked, and the times of flows accepted too late.

    :param text: log of the agent.
    :param begun_at: the time of the write of the key.
    :param until: end of the evacuation, or of its key, which a restore took away.
    :param spans: outages of the store and pauses of processes.
    :param bound_seconds: time within which an evacuation must be in force.
    """
    starts = [float(match[1]) for match in _AGENT_STARTED.finditer(text)]
    calm_at = _calm_moment(begun_at, starts, spans, bound_seconds)
    if calm_at is None or calm_at + bound_seconds >= until:
        return False, []
    taken = [float(match[1]) for match in _FLOW_TAKEN.finditer(text)]
    return True, [at for at in taken if calm_at + bound_seconds < at < until]


def _calm_moment(confirmed_at, starts, spans, bound_seconds):
    candidates = [confirmed_at, *starts, *(end for _, end in spans)]
    for moment in sorted(candidates):
        is_later = moment >= confirmed_at and any(start <= moment for start in starts)
        until = moment + bound_seconds
        is_broken = any(begin < until and end > moment for begin, end in spans)
        is_restarted = any(moment < start <= until for start in starts)
        if is_later and not is_broken and not is_restarted:
            return moment
    return None


def _seconds_until(adoptions, started_at, calm_at, version):
    times = [at for at, adopted in adoptions if at >= started_at and adopted >= version]
    return max(0.0, min(times) - calm_at) if times else None

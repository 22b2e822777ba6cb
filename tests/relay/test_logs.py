"""Format and rate limit of event lines; writing never blocks."""

import os

from egretjunction.relay import _logs


def _read_lines(descriptor):
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 1_000_000).decode().splitlines()
    except BlockingIOError:
        return []


def test_event_is_one_line_of_key_value_pairs():
    reader, writer = os.pipe()
    _logs.EventLog('entry', 'e-1', writer)('flow_placed', member='m 1', note='a"b\nc')
    (line,) = _read_lines(reader)
    assert line.startswith('event=flow_placed role=entry name=e-1 at=')
    assert line.endswith(r'member="m 1" note="a\"b\nc"')


def test_rate_limit_counts_dropped_lines_and_applies_per_event(monkeypatch):
    now = 100.0
    monkeypatch.setattr(_logs.time, 'monotonic', lambda: now)
    reader, writer = os.pipe()
    log = _logs.EventLog('entry', 'e-1', writer)
    for _ in range(int(_logs.BURST_LINES) + 30):
        log('flow_placed')
    log('entry_draining')
    now += _logs.SUMMARY_SECONDS
    log('flow_placed')
    lines = _read_lines(reader)
    assert sum('event=flow_placed ' in line for line in lines) == _logs.BURST_LINES + 1
    assert any('event=entry_draining' in line for line in lines)
    assert any('event=lines_left_out' in line and 'count=30' in line for line in lines)


def test_full_pipe_drops_lines_and_does_not_block():
    _, writer = os.pipe()
    log = _logs.EventLog('entry', 'e-1', writer)
    for number in range(2_000):
        log(f'event_{number}', text='x' * 100)
    assert log.unwritten_lines > 0

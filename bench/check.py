"""Measures how long ``config check`` takes for documents of growing size.

``python -m bench.check`` prints a table and writes ``bench/check.json``. It exits with
code 1 when 10,000 services take more than a second of processor time, or when ten times
as many sections or patterns take more than ``MAX_GROWTH`` times as long.
"""

import gc
import pathlib
import statistics
import sys
import time

import msgspec

from egretjunction.decisions import document
from egretjunction.decisions import document_checks

OUTPUT = pathlib.Path(__file__).with_name('check.json')
COUNTS = (1_000, 2_500, 5_000, 10_000)
PATTERN_COUNTS = (1_000, 10_000)
ROUNDS = 5
MAX_SECONDS = 1.0
MAX_GROWTH = 15.0
TEAM = f'[team a]\nkey_sha256 = {"a" * 64}\n'


def services(count: int) -> str:
    """Return a document with many services, close to the maximum size at 10,000."""
    return TEAM + ''.join(
        f'[service s{number}]\nteam = a\naddress = 10.0.{number // 200}.{number % 200}:1\n'
        f'backend_servers = s{number}-*\n'
        for number in range(count)
    )


def broken(count: int) -> str:
    """Return a document with an error in each of many services."""
    return services(count).replace('team = a\n', 'team = b\n')


def long_list(count: int) -> str:
    """Return a document with one service that has many patterns and shares."""
    names = ', '.join(f's{number}-*' for number in range(count))
    shares = ', '.join(f's{number}-*:50' for number in range(count))
    return (
        f'{TEAM}[service s]\nteam = a\naddress = 10.0.0.1:1\n'
        f'backend_servers = {names}\nshares = {shares}\n'
    )


def _seconds(text: str) -> float:
    """Return the median processor time of a check."""
    rounds = []
    for _ in range(ROUNDS):
        gc.collect()  # the command checks one document in a process
        started_at = time.process_time()
        document_checks.check(text, 'bench')
        rounds.append(time.process_time() - started_at)
    return statistics.median(rounds)


def main() -> None:
    """Measure, print and write the figures."""
    kinds = (
        ('services', services, COUNTS),
        ('services with errors', broken, COUNTS),
        ('patterns in one service', long_list, PATTERN_COUNTS),
    )
    seconds_by_kind = {}
    for name, make, counts in kinds:
        seconds_by_count = {}
        for count in counts:
            text = make(count)
            assert len(text) <= document.MAX_DOCUMENT_BYTES
            seconds_by_count[count] = round(_seconds(text), 4)
            sys.stdout.write(f'{name:24} {count:6} {len(text):7} bytes ')
            sys.stdout.write(f'{seconds_by_count[count]:.3f} s\n')
        seconds_by_kind[name] = seconds_by_count
    OUTPUT.write_bytes(
        msgspec.json.format(msgspec.json.encode(seconds_by_kind)) + b'\n'
    )
    largest = max(COUNTS)
    is_slow = seconds_by_kind['services'][largest] > MAX_SECONDS
    growths = [
        seconds_by_count[largest] / seconds_by_count[min(seconds_by_count)]
        for seconds_by_count in seconds_by_kind.values()
    ]
    sys.stdout.write(
        f'growth at 10 times the size: {", ".join(f"{ratio:.1f}" for ratio in growths)}\n'
    )
    if is_slow or max(growths) > MAX_GROWTH:
        sys.exit(1)


if __name__ == '__main__':
    main()

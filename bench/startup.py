"""Measures processor time and memory of a relay daemon until it has started.

``python -m bench.startup`` starts each role several times with the command of the
deploy files and kills it as soon as it has logged its start.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
OUTPUT = ROOT / 'bench' / 'startup.json'
STARTS_PER_ROLE = 15
ENTRY_SETTINGS = """
[relay-entry]
name = e
domain = a
clients = 127.0.20.1:7101
agents = 127.0.20.1:7102
ready = 127.0.20.1:7103
metrics = 127.0.20.1:7104
platform = 127.0.20.9:7109
"""
AGENT_SETTINGS = """
[relay-agent]
name = a
domain = a
service = s
entries = 127.0.20.2:7101
outbound = 127.0.20.2:7102
backend = 127.0.20.2:7105
ready = 127.0.20.2:7103
announcements = 127.0.20.2:7106
metrics = 127.0.20.2:7104
heartbeat_ms = 1000
platform = 127.0.20.9:7109
"""


def start_once(role: str, settings_path: str) -> tuple[float, float]:
    """Return processor seconds and peak megabytes of one start."""
    command = [sys.executable, str(ROOT / 'platform' / '__main__.py'), role]
    process = subprocess.Popen(
        command,
        env={'EGRETJUNCTION_NODE_FILE': settings_path},
        stdout=subprocess.PIPE,
    )
    first_line = process.stdout.readline()
    if b'_started' not in first_line:
        raise RuntimeError(
            f'{role} logged no start event; its first line was {first_line!r}'
        )
    process.kill()
    _, _, usage = os.wait4(process.pid, 0)
    process.returncode = 0
    process.stdout.close()
    return usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024


def measure() -> dict[str, dict[str, float]]:
    """Return the median processor time and the peak memory of the starts by role."""
    figures_by_role = {}
    for role, settings_text in (('entry', ENTRY_SETTINGS), ('agent', AGENT_SETTINGS)):
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as settings_file:
            settings_file.write(settings_text)
            settings_file.flush()
            starts = [
                start_once(role, settings_file.name) for _ in range(STARTS_PER_ROLE)
            ]
        sorted_seconds, all_megabytes = zip(*sorted(starts), strict=True)
        figures_by_role[role] = {
            'processor_seconds': round(sorted_seconds[STARTS_PER_ROLE // 2], 4),
            'megabytes': round(max(all_megabytes), 1),
        }
    return figures_by_role


def main() -> None:
    """Measure, write the figures to a file and print them."""
    figures_by_role = measure()
    OUTPUT.write_text(f'{json.dumps(figures_by_role, indent=2)}\n', 'utf-8')
    sys.stdout.write(OUTPUT.read_text('utf-8'))


if __name__ == '__main__':
    main()

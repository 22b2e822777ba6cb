"""Processor time and memory that a daemon of the relay needs until it serves.

``python -m bench.startup`` starts each role several times, the way that the deploy
file does, and ends it as soon as it has logged its start.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
RESULT = ROOT / 'bench' / 'startup.json'
STARTS = 15
ENTRY = """
[relay-entry]
name = e
domain = a
clients = 127.0.20.1:7101
agents = 127.0.20.1:7102
ready = 127.0.20.1:7103
metrics = 127.0.20.1:7104
platform = 127.0.20.9:7109
"""
AGENT = """
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
    """Return processor seconds and megabytes of one start."""
    command = [sys.executable, str(ROOT / 'platform' / '__main__.py'), role]
    process = subprocess.Popen(
        command,
        env={'EGRETJUNCTION_NODE_FILE': settings_path},
        stdout=subprocess.PIPE,
    )
    line = process.stdout.readline()
    if b'_started' not in line:
        raise RuntimeError(f'{role} did not start: {line!r}')
    process.kill()
    _, _, used = os.wait4(process.pid, 0)
    process.returncode = 0
    process.stdout.close()
    return used.ru_utime + used.ru_stime, used.ru_maxrss / 1024


def measure() -> dict[str, dict[str, float]]:
    """Return the median of all starts by role."""
    found = {}
    for role, text in (('entry', ENTRY), ('agent', AGENT)):
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as settings:
            settings.write(text)
            settings.flush()
            starts = [start_once(role, settings.name) for _ in range(STARTS)]
        seconds, megabytes = zip(*sorted(starts), strict=True)
        found[role] = {
            'processor_seconds': round(seconds[STARTS // 2], 4),
            'megabytes': round(max(megabytes), 1),
        }
    return found


def main() -> None:
    """Measure and keep the result."""
    found = measure()
    RESULT.write_text(f'{json.dumps(found, indent=2)}\n', 'utf-8')
    sys.stdout.write(RESULT.read_text('utf-8'))


if __name__ == '__main__':
    main()

"""Separation of the platform adapter from the package.

Only the adapter names the platform's protocol, and it imports no decision logic.
"""

import ast
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent.parent
PLATFORM_NAMES = (
    'op/config',
    'op/evacuate',
    'kv-key',
    'kv-range',
    'kv-watch',
    'kv-txn',
    'store_revision',
    'weighted_services',
    'cold_remaining_ms',
    'EGRETJUNCTION_NODE_FILE',
    '/instances/',
    '/readiness',
)


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text('utf-8'))):
        if isinstance(node, ast.ImportFrom):
            yield from (f'{node.module}.{name.name}' for name in node.names)
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names)


def test_folder_does_not_shadow_the_standard_library():
    command = [sys.executable, '-c', 'import platform; platform.machine()']
    subprocess.run(command, cwd=ROOT, check=True)


def test_package_contains_no_name_of_the_platform_protocol():
    for path in (ROOT / 'src').rglob('*.py'):
        text = path.read_text('utf-8')
        assert not [name for name in PLATFORM_NAMES if name in text], path


def test_adapter_imports_only_types_from_decision_modules():
    allowed = {
        'egretjunction.decisions.relay_routes',
        'egretjunction.decisions.relay_heartbeats',
    }
    for path in (ROOT / 'platform').glob('*.py'):
        imported = {
            name
            for name in _imports(path)
            if name.startswith('egretjunction.decisions')
        }
        assert imported <= allowed, path


def test_relay_daemons_do_not_import_slow_libraries():
    code = (
        'import sys; sys.path.insert(0, "platform");'
        'import kv_store, flow_packets, operator_config, backend_heartbeats;'
        'from egretjunction.relay import running, entry, agent;'
        'slow = {"asyncio", "tornado", "ssl", "hdrh", "structlog", "aioquic"};'
        'sys.exit(str(slow & set(sys.modules)) if slow & set(sys.modules) else 0)'
    )
    subprocess.run([sys.executable, '-c', code], cwd=ROOT, check=True)

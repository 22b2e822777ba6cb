"""Checks the specification and the planted faults, and prints what was explored."""

import sys

import minicheck
import rich.console
import rich.table

from spec import core
from spec import exploring


def main() -> int:
    """Print a row per machine and planted fault; return the exit code."""
    console = rich.console.Console(width=120)
    failed = 0
    table = rich.table.Table('machine', 'states', 'depth', 'invariants that hold')
    for name, make in core.MACHINES.items():
        protocol = make('')
        states, depth = exploring.size(protocol)
        properties = minicheck.check_safety(protocol)['properties']
        held = [each for each, found in properties.items() if found['holds'] is True]
        failed += len(properties) - len(held)
        table.add_row(name, str(states), str(depth), '; '.join(held))
    console.print(table)
    table = rich.table.Table('machine', 'planted fault', 'found in steps')
    for name, planted, invariant in core.PLANTED:
        protocol = core.MACHINES[name](planted)
        found = minicheck.check_safety(protocol)['properties'][invariant]
        is_found = found['holds'] is False
        failed += not is_found
        steps = len(found['counterexample']) - 1 if is_found else 'NOT FOUND'
        table.add_row(name, planted, str(steps))
    console.print(table)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

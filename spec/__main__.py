"""Checks the invariants and the injected faults, and prints the explored states."""

import sys

import minicheck
import rich.console
import rich.table

from spec import core
from spec import exploring


def main() -> int:
    """Print a row per state machine and per injected fault; return the exit code."""
    console = rich.console.Console(width=120)
    failed = 0
    table = rich.table.Table('state machine', 'states', 'depth', 'invariants that hold')
    for name, build in core.PROTOCOL_BY_NAME.items():
        protocol = build('')
        states, depth = exploring.state_space_size(protocol)
        properties = minicheck.check_safety(protocol)['properties']
        holding = [
            property_name
            for property_name, verification in properties.items()
            if verification['holds'] is True
        ]
        failed += len(properties) - len(holding)
        table.add_row(name, str(states), str(depth), '; '.join(holding))
    console.print(table)
    table = rich.table.Table(
        'state machine', 'injected fault', 'steps of the counterexample'
    )
    for name, fault, invariant in core.INJECTED_FAULTS:
        protocol = core.PROTOCOL_BY_NAME[name](fault)
        verification = minicheck.check_safety(protocol)['properties'][invariant]
        is_detected = verification['holds'] is False
        failed += not is_detected
        steps = (
            len(verification['counterexample']) - 1 if is_detected else 'NOT DETECTED'
        )
        table.add_row(name, fault, str(steps))
    console.print(table)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

"""Another writer sends a heartbeat without an address, while the backend drains."""

import pathlib
import time

import lab as labs

LINGER_SECONDS = 12.0  # of the draining backend after its acknowledgement
FLOWS = 20
DRAIN_SECONDS = labs.BOUNDS['drain_ms'] / 1000


def play(lab):
    """Play the case."""
    side, other_side = lab.sides
    lab.start()
    labs.Backend(lab, other_side, 'i-5b0c2d11')
    lab.await_ready()
    backend = labs.Backend(lab, side, 'i-7f3a91c2')
    time.sleep(4.5)

    clients = labs.Clients(lab, lab.client_ip, lab.route_packet)
    flows = [clients.open() for _ in range(FLOWS)]
    time.sleep(1)
    for flow in flows:
        if flow.state == 'open':
            flow.request()
    time.sleep(1)
    backend.drain()
    lab.wait_for(
        lambda: backend.drain_acknowledged_at, 2, 'the drain is not acknowledged'
    )
    drained_at = backend.drain_acknowledged_at
    time.sleep(1)

    if labs.has_trouble():
        odd = {
            'service': side.service, 'capacity': 2, 'state': 'ready',
            'cold_remaining_ms': 0, 'sequence': 1, 'born': int(time.time() * 1000),
        }
        status = lab.call(side, 'control', 'PUT', '/instances/i-0a1b2c3d', odd)
        lab.record(f'another writer sends {odd}: {status}')

    new_flows = []
    while time.monotonic() < drained_at + LINGER_SECONDS:
        flow = clients.open()
        new_flows.append(flow)
        time.sleep(0.1)
        if flow.state == 'open':
            flow.request()
        time.sleep(0.1)
    for flow in flows:
        lab.check_flow(flow, backend)
    for flow in new_flows:
        taken = backend.flow_by_key.get((flow.address, lab.route))
        opened_at = taken.opened_at if taken is not None else None
        if opened_at and opened_at > drained_at + DRAIN_SECONDS:
            lab.violation(
                'DRAIN',
                f'the flow {flow.address} opened at {backend.name} '
                f'{opened_at - drained_at:.1f} s after its drain was acknowledged',
            )


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    labs.run(folder, play, side_services=('bookings', 'bookings'))

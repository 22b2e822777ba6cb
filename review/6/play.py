"""A restarted agent takes over flows of another backend while its own backend is down."""

import pathlib
import time

import lab as labs

FLOWS = 40
DOWN_SECONDS = 4.5  # the site's backends are down for as long, at most
PROBED_SECONDS = 0.6  # between the clients' requests and the backend's next start
STABLE_SECONDS = labs.BOUNDS['stable_window_ms'] / 1000
WORK_SECONDS = 0.8  # of a request; the routes allow 10 s


def play(lab):
    """Play the case."""
    side, crashing_side = lab.sides
    entry = lab.entries[0]
    lab.start()
    backend = labs.Backend(lab, side, 'i-7f3a91c2', work_seconds=WORK_SECONDS)
    crashing = labs.Backend(lab, crashing_side, 'i-5b0c2d11')
    lab.await_ready()
    time.sleep(2)
    clients = labs.Clients(lab, lab.client_ip, lab.route_packet)
    flows = [clients.open() for _ in range(FLOWS)]
    time.sleep(1)
    flows = [
        flow for flow in flows
        if flow.state == 'open' and (flow.address, lab.route) in backend.flow_by_key
        and backend.flow_by_key[flow.address, lab.route].opened_at
    ]
    if not flows:
        raise labs.CannotRunError('no flow was opened at the backend')
    lab.record(f'{len(flows)} flows are open at {backend.name}')

    entry.stop()
    entry.start()
    lab.wait_for(lambda: not entry.is_in_rotation, 5, 'the entry stays in rotation')
    lab.await_ready()

    if labs.has_trouble():
        crashing.crash()
    crashed_at = time.monotonic()
    crashing_side.stop()
    crashing_side.start()
    lab.wait_for(crashing_side.is_ready, 10, 'the agent does not start')
    time.sleep(0.2)
    for flow in flows:
        flow.request()
    time.sleep(PROBED_SECONDS)
    if time.monotonic() > crashed_at + DOWN_SECONDS:
        raise labs.CannotRunError('the backend was down for too long')
    if labs.has_trouble():
        crashing = labs.Backend(lab, crashing_side, 'i-5b0c2d11')
    time.sleep(WORK_SECONDS + STABLE_SECONDS + 2)

    lab.record('nothing has been disturbed for the stable window; clients go on')
    for flow in flows:
        flow.request()
    time.sleep(0.2)
    if labs.has_trouble():
        crashing.crash()
        time.sleep(0.2)
        crashing = labs.Backend(lab, crashing_side, 'i-5b0c2d11')
    time.sleep(WORK_SECONDS + 1)
    for flow in flows:
        lab.check_flow(flow, backend)
    answered = sum(len(flow.responses) == 2 for flow in flows)
    lab.record(f'{answered} of {len(flows)} flows have both answers')


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    labs.run(folder, play, side_services=('bookings', 'bookings'))

"""Adoption of route tables, and the choice of a service for a new flow."""

from egretjunction import addresses
from egretjunction.decisions import relay_routes

ADDRESS = addresses.Address('198.18.0.1', 443)


def _table(version, **weight_by_service):
    route = relay_routes.Route('r', ADDRESS, weight_by_service)
    return relay_routes.RouteTable(version, [route])


def test_table_that_is_not_newer_is_rejected():
    routes = relay_routes.Routes()
    assert routes.adopt(_table(7, bookings=1))
    assert not routes.adopt(_table(4, surveys=1))
    assert not routes.adopt(_table(7, surveys=1))
    assert list(routes.route_at(ADDRESS).weight_by_service) == ['bookings']


def test_services_of_earlier_versions_stay_known():
    routes = relay_routes.Routes()
    routes.adopt(_table(1, bookings=1))
    routes.adopt(_table(2, surveys=1))
    assert routes.known_services(ADDRESS) == ['bookings', 'surveys']


def test_new_flows_are_distributed_by_weight():
    route = _table(1, bookings=90, surveys=10).route_by_address[ADDRESS]
    chosen = [
        relay_routes.choose_service(route, number.to_bytes(12))
        for number in range(2000)
    ]
    assert 0.86 < chosen.count('bookings') / len(chosen) < 0.94


def test_service_with_zero_weight_gets_no_flow():
    route = _table(1, bookings=0, surveys=1).route_by_address[ADDRESS]
    chosen = {
        relay_routes.choose_service(route, number.to_bytes(12)) for number in range(200)
    }
    assert chosen == {'surveys'}


OTHER_ADDRESS = addresses.Address('198.18.0.2', 443)


def _bounded_table(version, timeout_by_address):
    routes = [
        relay_routes.Route('r', address, {'s': 1}, timeout_seconds=timeout)
        for address, timeout in timeout_by_address.items()
    ]
    return relay_routes.RouteTable(version, routes)


def test_unknown_bound_of_a_route_is_that_of_the_version_before():
    routes = relay_routes.Routes()
    routes.adopt(_bounded_table(1, {ADDRESS: 2.0, OTHER_ADDRESS: 8.0}))
    routes.adopt(_bounded_table(2, {ADDRESS: 0, OTHER_ADDRESS: 8.0}))
    assert routes.route_at(ADDRESS).timeout_seconds == 2.0


def test_unknown_bound_of_a_new_route_is_the_longest_of_its_version():
    routes = relay_routes.Routes()
    routes.adopt(_bounded_table(1, {ADDRESS: 0, OTHER_ADDRESS: 13.0}))
    assert routes.route_at(ADDRESS).timeout_seconds == 13.0


def test_bounds_are_above_zero_if_no_version_states_them():
    routes = relay_routes.Routes()
    routes.adopt(_bounded_table(1, {ADDRESS: 0}))
    route = routes.route_at(ADDRESS)
    assert route.timeout_seconds > 0
    assert route.target_seconds > 0

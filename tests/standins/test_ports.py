"""Allocation of ports for processes that are started later."""

import socket

import pytest

from egretjunction.standins import ports


@pytest.fixture
def allocator():
    allocated = ports.PortAllocator()
    yield allocated
    allocated.close()


def test_port_stays_claimed_while_no_daemon_is_bound_to_it(allocator, monkeypatch):
    """Guards against set-ups of tests that run side by side and share a port."""
    other = ports.PortAllocator()
    taken_port = allocator.take().port
    proposals = iter((taken_port, taken_port + 1))
    monkeypatch.setattr(other._random, 'randint', lambda _low, _high: next(proposals))
    assert other.take().port == taken_port + 1
    other.close()


def test_ports_are_outside_the_range_of_outgoing_connections(allocator):
    with open('/proc/sys/net/ipv4/ip_local_port_range', encoding='ascii') as setting:
        lowest = int(setting.read().split()[0])
    assert allocator.take().port < lowest


def test_port_in_use_is_not_allocated(allocator, monkeypatch):
    used_port = allocator.take().port
    allocator.close()
    with socket.create_server((ports.HOST, used_port)):
        proposals = iter((used_port, used_port + 1))
        monkeypatch.setattr(
            allocator._random, 'randint', lambda _low, _high: next(proposals)
        )
        assert allocator.take().port == used_port + 1


def test_consecutive_ports_are_all_claimed(allocator):
    first_port = allocator.take_consecutive(3)
    assert [port - first_port for port in allocator._claim_by_port] == [0, 1, 2]

"""Probes of an agent: packets that tell whether its server holds their flows.

A server bounces a packet of a flow that it does not hold, and is silent about others.
"""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_flows
from egretjunction.decisions import relay_server
from egretjunction.relay import packets

TIMEOUT_SECONDS = 0.03  # servers bounce packets of unknown flows within 1 ms
# What an agent reads within this time after a probe may have been sent before it, by a
# server that has ended since: agents with little processor time read late.
MAX_READING_DELAY_SECONDS = 0.1
MAX_PROBE_SECONDS = 3.0  # a server that has ended counts as lost before


class Probes:
    """Probes without an answer, by the token that the server returns.

    :param server: state of the backend server.
    """

    __slots__ = ('_last_token', '_probe_by_token', '_server')

    def __init__(self, server: relay_server.Server) -> None:
        self._server = server
        self._probe_by_token: dict[int, relay_flows.Probe] = {}
        self._last_token = 0

    def add(
        self,
        packet: packets.Packet,
        entry: addresses.Address,
        token: int,
        now: float,
        timeout_seconds: float = TIMEOUT_SECONDS,
    ) -> int:
        """Record that a packet is sent; return the token that it is to carry.

        :param packet: the packet.
        :param entry: entry that sent it to this agent.
        :param token: the entry's token for its offer or search, or 0.
        :param now: the time in seconds.
        :param timeout_seconds: time after which the probe counts as unanswered.
        """
        self._last_token = self._last_token % (packets.SEQUENCE_RANGE - 1) + 1
        probe = relay_flows.Probe(packet, entry, token, now, now + timeout_seconds)
        self._probe_by_token[self._last_token] = probe
        return self._last_token

    def pop(self, token: int) -> relay_flows.Probe | None:
        """Remove and return the probe with a token, if there is one."""
        return self._probe_by_token.pop(token, None)

    def pop_where(
        self, is_chosen: typing.Callable[[relay_flows.Probe], bool]
    ) -> list[relay_flows.Probe]:
        """Remove and return the probes for which a function holds."""
        tokens = [
            token for token, probe in self._probe_by_token.items() if is_chosen(probe)
        ]
        return [self._probe_by_token.pop(token) for token in tokens]

    def pop_decided(self, now: float) -> list[relay_flows.Probe]:
        """Remove and return the probes whose silence need not be waited for longer."""
        return self.pop_where(
            lambda probe: now >= probe.expires_at and not self._is_undecided(probe, now)
        )

    def repeat_early(
        self, flow_by_key: typing.Mapping[bytes, relay_flows.Flow], now: float
    ) -> list[effects.ToServer]:
        """Send the probes again that may have reached no server.

        The silence that follows a probe says something only about a server that had
        been heard of before it: one that starts later never received the packet.

        :param flow_by_key: records of the agent; a probe whose flow is no longer in
            question is not sent again.
        :param now: the time in seconds.
        """
        if not self._server.is_seen_before(now):
            return []
        to_server_by_key: dict[bytes, effects.ToServer] = {}
        for token, probe in self._probe_by_token.items():
            flow = flow_by_key.get(probe.key)
            is_in_question = flow is not None and flow.is_provisional
            if is_in_question and not self._server.is_seen_before(probe.sent_at):
                probe.restart(now)
                repeated = effects.ToServer(probe.packet, token)
                to_server_by_key.setdefault(probe.key, repeated)
        return list(to_server_by_key.values())

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the time without an answer."""
        for probe in self._probe_by_token.values():
            probe.discount_pause(seconds)

    def _is_undecided(self, probe: relay_flows.Probe, now: float) -> bool:
        """Tell whether to wait longer for a sign that the server lives.

        A server that has ended without a notice is as silent as one that holds the
        flow.
        """
        if probe.is_first or self._server.holds_nothing(now):
            return False
        is_heard = self._server.is_heard_since(
            probe.sent_at + MAX_READING_DELAY_SECONDS
        )
        return not is_heard and now - probe.sent_at < MAX_PROBE_SECONDS

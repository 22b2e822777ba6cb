"""Congestion control and loss detection for links with random loss or reordering.

New Reno halves its window at each loss, even if the link loses or reorders packets at
random. The algorithm here sizes the window to twice the data that the path delivers
per round trip, so random loss reduces throughput only by its own share. The model is
that of BBR (Cardwell et al., "BBR: Congestion-Based Congestion Control", 2016), without
its probing phases.

Loss detection uses time only, as in RACK (RFC 8985), and no packet threshold: a packet
overtaken by three later ones may still arrive.
"""

import collections
import typing

from aioquic.quic import connection as quic
from aioquic.quic import packet_builder
from aioquic.quic import recovery
from aioquic.quic.congestion import base

ALGORITHM_NAME = 'egretjunction'
HISTORY_ROUNDS = 10  # round trips that maximum rate and minimum RTT are taken over
RTT_SAMPLE_WEIGHT = 1 / 8  # weight of a new sample, RFC 9002 section 5.3
WINDOW_GAIN = 2  # allows for delayed acknowledgements and growth, as in BBR
RTT_VARIANCE_FACTOR = 4  # as in the probe timeout of RFC 9002 section 6.2.1
MIN_WINDOW_PACKETS = 4  # enough to keep acknowledgements flowing, as in BBR
MAX_WINDOW_PACKETS = 120  # aioquic receivers remember 128 packet numbers
PERSISTENT_LOSS_SHARE = 0.5  # share of a round's bytes; more means a queue overflows

Packets = typing.Iterable[packet_builder.QuicSentPacket]


class _Round:
    """Bytes delivered and lost during one round trip."""

    __slots__ = ('delivered', 'lost', 'started_at')

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.delivered = 0
        self.lost = 0


class DeliveryRateControl(base.QuicCongestionControl):
    """Sizes the congestion window by delivery rate and round-trip time.

    :param max_datagram_size: size of a datagram in bytes.
    """

    def __init__(self, *, max_datagram_size: int) -> None:
        super().__init__(max_datagram_size=max_datagram_size)
        self._datagram_bytes = max_datagram_size
        self._round: _Round | None = None
        self._smoothed_rtt: float = 0
        self._rates: collections.deque[float] = collections.deque(maxlen=HISTORY_ROUNDS)
        self._rtts: collections.deque[float] = collections.deque(maxlen=HISTORY_ROUNDS)

    def on_packet_sent(self, *, packet: packet_builder.QuicSentPacket) -> None:
        """Add a packet to the bytes in flight."""
        self.bytes_in_flight += packet.sent_bytes

    def on_packet_acked(
        self,
        *,
        now: float,
        packet: packet_builder.QuicSentPacket,
    ) -> None:
        """Count a delivered packet; one sent after the round began ends the round."""
        self.bytes_in_flight -= packet.sent_bytes
        if self._round is None:
            self._round = _Round(now)
        self._round.delivered += packet.sent_bytes
        sent_at = packet.sent_time or 0
        if sent_at > self._round.started_at and self._smoothed_rtt:
            self._end_round(self._round, now)

    def on_packets_expired(self, *, packets: Packets) -> None:
        """Remove packets whose keys were discarded from the bytes in flight."""
        for packet in packets:
            self.bytes_in_flight -= packet.sent_bytes

    def on_packets_lost(self, *, now: float, packets: Packets) -> None:
        """Count lost packets; losing most of a round's bytes clears earlier rates."""
        for packet in packets:
            self.bytes_in_flight -= packet.sent_bytes
            if self._round is not None:
                self._round.lost += packet.sent_bytes

    def on_persistent_congestion(self) -> None:
        """Discard the measured rates and fall back to the minimum window."""
        self._rates.clear()
        self.congestion_window = self._clamp_window(0)

    def on_rtt_measurement(self, *, now: float, rtt: float) -> None:
        """Update the smoothed round-trip time with a sample."""
        if not self._smoothed_rtt:
            self._smoothed_rtt = rtt
        self._smoothed_rtt += (rtt - self._smoothed_rtt) * RTT_SAMPLE_WEIGHT

    def _end_round(self, ended_round: _Round, now: float) -> None:
        self._round = _Round(now)
        round_seconds = max(now - ended_round.started_at, base.K_GRANULARITY)
        if ended_round.lost > PERSISTENT_LOSS_SHARE * (
            ended_round.lost + ended_round.delivered
        ):
            self._rates.clear()
        self._rates.append(ended_round.delivered / round_seconds)
        self._rtts.append(self._smoothed_rtt)
        window_bytes = WINDOW_GAIN * max(self._rates) * min(self._rtts)
        self.congestion_window = self._clamp_window(int(window_bytes))

    def _clamp_window(self, window_bytes: int) -> int:
        min_window_bytes = MIN_WINDOW_PACKETS * self._datagram_bytes
        return max(
            min_window_bytes,
            min(window_bytes, MAX_WINDOW_PACKETS * self._datagram_bytes),
        )


base.register_congestion_control(ALGORITHM_NAME, DeliveryRateControl)


class TimeBasedRecovery(recovery.QuicPacketRecovery):
    """Loss detection by time threshold alone, without a packet threshold."""

    def _detect_loss(self, *, now: float, space: recovery.QuicPacketSpace) -> None:
        delay = self._loss_delay()
        space.loss_time = None
        lost: list[packet_builder.QuicSentPacket] = []
        for packet_number, packet in space.sent_packets.items():
            if packet_number > space.largest_acked_packet:
                break
            lost_at = (packet.sent_time or 0) + delay
            if lost_at <= now:
                lost.append(packet)
            elif space.loss_time is None or lost_at < space.loss_time:
                space.loss_time = lost_at
        self._on_packets_lost(
            now=now,
            packets=lost,
            persistent_congestion=self._in_persistent_congestion(packets=lost),
            space=space,
        )

    def _loss_delay(self) -> float:
        """Return the seconds after which an overtaken packet counts as lost."""
        if not self._rtt_initialized:
            return self._rtt_initial
        variance_margin = RTT_VARIANCE_FACTOR * max(
            self._rtt_variance, base.K_GRANULARITY
        )
        return max(self._rtt_latest, self._rtt_smoothed) + variance_margin


def use_time_based_recovery(connection: quic.QuicConnection) -> None:
    """Install time-based loss detection in a connection that has sent nothing yet.

    :param connection: created with ``congestion_control_algorithm`` set to
        ``ALGORITHM_NAME``.
    """
    connection._loss = TimeBasedRecovery(
        congestion_control_algorithm=ALGORITHM_NAME,
        initial_rtt=connection.configuration.initial_rtt,
        max_datagram_size=connection._max_datagram_size,
        peer_completed_address_validation=not connection.configuration.is_client,
        send_probe=connection._send_probe,
    )

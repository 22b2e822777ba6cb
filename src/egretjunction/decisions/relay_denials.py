"""Which agents have denied that they hold a flow, kept beyond the end of a search.

A denial stays true until the flow's key is used for a new flow, which may happen at
another entry. The client's numbers tell: both sides start at random numbers, and
within one flow that nobody answers they hardly move.
"""

from egretjunction.relay import packets

RETENTION_SECONDS = 10.0  # after the last packet; clients give up requests earlier
MAX_RECORDS = 4096  # at 1,000 agents 0.4 kB each
MAX_ADVANCE = 65_536  # more than a client may send without an acknowledgement


class Record:
    """Agents that have denied one flow, as a bit mask.

    :param packet: a client's packet of the flow.
    :param now: the time in seconds.
    """

    __slots__ = ('acknowledged', 'denied', 'sequence', 'used_at')

    def __init__(self, packet: packets.Packet, now: float) -> None:
        self.sequence = packet.sequence
        self.acknowledged = packet.acknowledged
        self.used_at = now
        self.denied = 0

    def is_of(self, packet: packets.Packet, now: float) -> bool:
        """Tell whether a packet belongs to the flow that was denied."""
        return (
            now - self.used_at <= RETENTION_SECONDS
            and _distance(packet.sequence, self.sequence) <= MAX_ADVANCE
            and _distance(packet.acknowledged, self.acknowledged) <= MAX_ADVANCE
        )


class Denials:
    """Records of denials by the key of the flow, in the order of their last use."""

    __slots__ = ('_record_by_key',)

    def __init__(self) -> None:
        self._record_by_key: dict[bytes, Record] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_key)

    def record_of(self, packet: packets.Packet, now: float) -> Record:
        """Return the record of a packet's flow, a new one if the flow is another."""
        record = self._record_by_key.pop(packet.key, None)
        if record is None or not record.is_of(packet, now):
            record = Record(packet, now)
        record.used_at = now
        self._record_by_key[packet.key] = record
        if len(self._record_by_key) > MAX_RECORDS:
            self._record_by_key.pop(next(iter(self._record_by_key)))
        return record

    def forget(self, key: bytes) -> None:
        """Drop the denials of a flow that is opened anew."""
        self._record_by_key.pop(key, None)

    def clear(self, mask: int) -> None:
        """Drop the denials of some agents."""
        for record in self._record_by_key.values():
            record.denied &= ~mask

    def remove_expired(self, now: float) -> None:
        """Drop the records that were not used lately."""
        for key, record in list(self._record_by_key.items()):
            if now - record.used_at <= RETENTION_SECONDS:
                return
            self._record_by_key.pop(key)


def _distance(one: int, other: int) -> int:
    """Return how far two sequence numbers are apart."""
    difference = (one - other) % packets.SEQUENCE_RANGE
    return min(difference, packets.SEQUENCE_RANGE - difference)

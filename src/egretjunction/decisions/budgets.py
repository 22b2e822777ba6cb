"""Limits the byte rate of one kind of message."""


class ByteBudget:
    """A token bucket that counts bytes.

    :param bytes_per_second: rate at which the bucket fills.
    :param burst_bytes: capacity of the bucket, which is full at the start.
    """

    __slots__ = ('_available', '_capacity', '_rate', '_refilled_at')

    def __init__(self, bytes_per_second: float, burst_bytes: float) -> None:
        self._rate = bytes_per_second
        self._capacity = burst_bytes
        self._available = burst_bytes
        self._refilled_at: float | None = None

    def take(self, count: int, now: float) -> bool:
        """Take some bytes from the bucket.

        :param count: bytes to take.
        :param now: time in seconds.
        :return: False when the bucket holds fewer bytes; then none are taken.
        """
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._available = min(self._capacity, self._available + refill)
        self._refilled_at = now
        if count > self._available:
            return False
        self._available -= count
        return True

"""Limits of how many bytes a second one kind of message may take."""


class ByteBudget:
    """A token bucket of bytes.

    :param bytes_per_second: rate at which the budget fills up.
    :param burst_bytes: largest amount that is saved up; full at the start.
    """

    __slots__ = ('_at', '_burst', '_left', '_rate')

    def __init__(self, bytes_per_second: float, burst_bytes: float) -> None:
        self._rate = bytes_per_second
        self._burst = burst_bytes
        self._left = burst_bytes
        self._at: float | None = None

    def take(self, count: int, now: float) -> bool:
        """Spend some bytes, or return False when they are not there.

        :param count: bytes to spend.
        :param now: time in seconds.
        """
        if self._at is not None:
            gained = (now - self._at) * self._rate
            self._left = min(self._burst, self._left + gained)
        self._at = now
        if count > self._left:
            return False
        self._left -= count
        return True

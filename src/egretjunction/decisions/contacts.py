"""Times of the last contact with peers, and which of them are silent."""

import typing

Key = typing.TypeVar('Key', bound=typing.Hashable)


class LastContacts(typing.Generic[Key]):
    """Time of the last contact with each peer."""

    __slots__ = ('_time_by_key',)

    def __init__(self) -> None:
        self._time_by_key: dict[Key, float] = {}

    def __len__(self) -> int:
        """Return the number of peers."""
        return len(self._time_by_key)

    def record(self, key: Key, now: float) -> None:
        """Record a contact, unless a later one is known.

        :param key: the peer.
        :param now: time of the contact in seconds.
        """
        self._time_by_key[key] = max(now, self._time_by_key.get(key, now))

    def watch(self, key: Key, now: float) -> None:
        """Start the timeout of a peer unless it has one."""
        self._time_by_key.setdefault(key, now)

    def last(self, key: Key) -> float:
        """Return the time of the last contact, minus infinity for an unknown peer."""
        return self._time_by_key.get(key, float('-inf'))

    def restart_timeouts(self, now: float) -> None:
        """Restart the timeout of every peer after this process was paused."""
        self._time_by_key = dict.fromkeys(self._time_by_key, now)

    def ages(self, now: float) -> dict[Key, float]:
        """Return the seconds since the last contact, by peer."""
        return {key: now - contact for key, contact in self._time_by_key.items()}

    def remove_silent(self, timeout_seconds: float, now: float) -> list[Key]:
        """Remove and return the peers without contact for a timeout or longer."""
        silent = [key for key, age in self.ages(now).items() if age >= timeout_seconds]
        for key in silent:
            self._time_by_key.pop(key)
        return silent

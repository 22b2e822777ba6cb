"""Types of the platform's key-value service, and the client interface of the relay.

Two clients return these types: ``egretjunction.platform`` speaks the protocol of the
product's own platform, the folder ``platform/`` that of the operators' platform.
"""

import typing

import msgspec


class Item(msgspec.Struct, frozen=True):
    """One key of the service.

    :param key: the key.
    :param data: its value.
    :param revision: revision of its last change, 0 when the key does not exist.
    :param era: era of the service in which it was read. It rises each time when the
        service is restored from an older copy; then revisions are given out again.
    """

    key: str
    data: bytes
    revision: int
    era: int = 0


class Lease(msgspec.Struct, frozen=True):
    """A lease; keys that are written with it are deleted when it expires.

    :param number: its number, which a restored service gives out again.
    :param era: era of the service in which it was granted.
    """

    number: int
    era: int = 0


class Listing(msgspec.Struct, frozen=True):
    """The items under a prefix.

    :param items: the items.
    :param revision: revision of the service at which they were read; a watch from
        here misses no change.
    :param era: era of the service in which they were read.
    """

    items: list[Item]
    revision: int
    era: int = 0


class Changes(msgspec.Struct, frozen=True):
    """Changes under a prefix; a key that changed twice appears with its last change.

    :param written: items that were written.
    :param deleted: keys that were deleted.
    :param revision: revision from which to continue the watch.
    :param era: era of the service in which the watch was answered.
    """

    written: list[Item]
    deleted: list[str]
    revision: int
    era: int = 0


class HistoryGoneError(Exception):
    """The service no longer keeps the changes after a revision."""


class ChangesTooLargeError(Exception):
    """The changes after a revision are larger than the caller wants to read."""


class Store(typing.Protocol):
    """Blocking client of the service.

    Every method blocks the calling thread until the service responds, and raises
    ``errors.PlatformUnavailableError`` when it does not. A write raises the subclass
    ``errors.NotKnownError`` when it may have taken effect. ``is_receiving`` tells
    whether the response to a read is arriving, or being decoded, now.
    """

    is_receiving: bool

    def get(self, key: str) -> Item:
        """Return the item of a key, with revision 0 when the key does not exist."""

    def list_prefix(self, prefix: str, *, allow_stale: bool = False) -> Listing:
        """Return the items whose key starts with a prefix.

        :param prefix: prefix of the keys.
        :param allow_stale: whether the listing may be seconds old, which costs less.
        """

    def watch(
        self, prefix: str, revision: int, wait_seconds: float, max_data_bytes: int
    ) -> Changes:
        """Wait for changes after a revision.

        :param prefix: prefix of the watched keys.
        :param revision: only later changes are returned.
        :param wait_seconds: longest wait for a change.
        :param max_data_bytes: limit for the values of all changes together.
        :return: the changes, none when the wait timed out.
        :raises HistoryGoneError: when the service no longer keeps them.
        :raises ChangesTooLargeError: when they exceed the limit.
        """

    def put(self, key: str, data: bytes) -> None:
        """Write a key unconditionally."""

    def delete(self, key: str, revision: int) -> None:
        """Delete a key if its revision is still the given one.

        :raises errors.ConflictError: when the key has another revision.
        """

"""The platform's key-value service: its types, and what relaying calls.

Two clients answer with these types: ``egretjunction.platform`` speaks the dialect of
the product's own platform, the folder ``platform/`` that of the operators'.
"""

import typing

import msgspec


class Item(msgspec.Struct, frozen=True):
    """One key of the service.

    :param revision: revision of its last change; 0 when there is no such key.
    """

    key: str
    data: bytes
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """The items under a prefix.

    :param revision: revision of the service; later changes follow it.
    """

    items: list[Item]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes under a prefix, the oldest first.

    :param written: items as they were written.
    :param deleted: keys that were removed.
    :param revision: where to go on.
    """

    written: list[Item]
    deleted: list[str]
    revision: int


class HistoryGoneError(Exception):
    """The changes after a revision are not available any more."""


class Store(typing.Protocol):
    """Client of the service.

    Every method waits for the answer, in the thread that calls it. Every one raises
    ``errors.PlatformUnavailableError`` when the service does not answer; for a
    write, ``errors.NotKnownError`` says that it may have taken effect.
    """

    def get(self, key: str) -> Item:
        """Return a key's item."""

    def list_prefix(self, prefix: str) -> Listing:
        """Return the items whose key begins with a prefix."""

    def watch(self, prefix: str, revision: int, wait_seconds: float) -> Changes:
        """Wait for changes after a revision.

        :raises HistoryGoneError: when they are not available any more.
        """

    def put(self, key: str, data: bytes) -> None:
        """Write a key, whatever it held."""

    def delete(self, key: str, revision: int) -> None:
        """Remove a key if it still has a revision.

        :raises errors.ConflictError: when it has another one.
        """

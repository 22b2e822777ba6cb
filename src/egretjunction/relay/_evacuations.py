"""Reads evacuations from listings and changes of the operators' prefix."""

import typing

from egretjunction import errors
from egretjunction import store
from egretjunction.decisions import relay_evacuation
from egretjunction.relay import _loop
from egretjunction.relay import _process
from egretjunction.relay import adapter


class Reader:
    """Has the loop record what the store holds; called in the thread that reads it.

    :param read_evacuation: returns the domain that a key evacuates.
    :param loop: event loop of the process.
    :param on_listing: called in the loop with all evacuations.
    :param on_changes: called in the loop with changes.
    :param log: writes one event.
    """

    __slots__ = (
        '_log',
        '_loop',
        '_on_changes',
        '_on_listing',
        '_read_evacuation',
        '_rejected_by_key',
    )

    def __init__(
        self,
        read_evacuation: adapter.ReadEvacuation,
        loop: _loop.Loop,
        on_listing: typing.Callable[[relay_evacuation.Reading], None],
        on_changes: typing.Callable[[relay_evacuation.Reading], None],
        log: _process.Logger,
    ) -> None:
        self._read_evacuation = read_evacuation
        self._loop = loop
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._log = log
        self._rejected_by_key: dict[str, bytes | None] = {}

    def read(self, result: store.Listing | store.Changes) -> None:
        """Read a listing or changes of the operators' prefix."""
        if isinstance(result, store.Listing):
            listed = self._to_reading(result, result.items, ())
            self._loop.post(lambda: self._on_listing(listed))
        else:
            changed = self._to_reading(result, result.written, result.deleted)
            self._loop.post(lambda: self._on_changes(changed))

    def _to_reading(
        self,
        result: store.Listing | store.Changes,
        items: typing.Iterable[store.Item],
        deleted_keys: typing.Iterable[str],
    ) -> relay_evacuation.Reading:
        reading = relay_evacuation.Reading(
            set(), set(), set(), result.era, result.revision
        )
        for item in items:
            domain, is_valid = self._read_key(item.key, item.data)
            if domain:
                (reading.written if is_valid else reading.malformed).add(domain)
        for key in deleted_keys:
            domain, _ = self._read_key(key, None)
            if domain:
                reading.deleted.add(domain)
        return reading

    def _read_key(self, key: str, data: bytes | None) -> tuple[str, bool]:
        """Return the domain of a key, empty if none, and whether its value is valid."""
        try:
            domain = self._read_evacuation(key, data)
        except errors.PlatformFormatError as error:
            self._reject(key, data, str(error))
            return _domain_of_malformed(self._read_evacuation, key), False
        self._rejected_by_key.pop(key, None)
        return domain, True

    def _reject(self, key: str, data: bytes | None, reason: str) -> None:
        """Log a malformed key or value, once as long as it stays the same."""
        if data is None:
            self._rejected_by_key.pop(key, None)
        elif self._rejected_by_key.get(key) != data:
            self._rejected_by_key[key] = data
            self._log('evacuation_malformed', key=key, error=reason)


def _domain_of_malformed(read_evacuation: adapter.ReadEvacuation, key: str) -> str:
    """Return the domain that a key with a malformed value names, empty if none."""
    try:
        return read_evacuation(key, None)
    except errors.PlatformFormatError:
        return ''

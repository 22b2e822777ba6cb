"""Records of changes to the configuration document, in the store and at members."""

import msgspec


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change: an audit record and a delta of the document.

    :param sections: new text of each changed section, None for a removed one.
    """

    generation: int
    change_id: str
    who: str
    team: str
    when: str
    note: str
    sections: dict[str, str | None]


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The newest generation of the document, updated by compare-and-swap.

    :param snapshot_key: key of the whole document at this generation.
    :param snapshot_sha256: SHA-256 digest of that document.
    :param recent: the most recent changes, oldest first.
    :param era: era of the platform in which it was written, 0 if unknown.
    """

    generation: int
    change_id: str
    snapshot_key: str
    snapshot_sha256: str
    recent: tuple[Change, ...]
    era: int = 0

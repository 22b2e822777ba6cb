"""What the platform and the members hold about changes of the document."""

import msgspec


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change: an entry of the audit trail and a delta.

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
    """The record that the platform's compare-and-swap protects.

    :param snapshot_key: key of the whole document at this generation.
    :param snapshot_sha256: digest of that document.
    :param recent: the latest changes, oldest first.
    """

    generation: int
    change_id: str
    snapshot_key: str
    snapshot_sha256: str
    recent: tuple[Change, ...]

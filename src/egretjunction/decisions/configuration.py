"""Changes of the operators' document: merging them, and what is in force.

The platform's head record holds the generation and the recent changes; whole
documents are immutable snapshots beside it.
"""

import difflib
import typing

import msgspec

from egretjunction import document_changes
from egretjunction import errors
from egretjunction.decisions import document

MAX_RECENT_BYTES = 8_000
MAX_RECENT_CHANGES = 64


def difference(
    before: dict[str, str],
    after: dict[str, str],
) -> dict[str, str | None]:
    """Return the sections that differ, with None for a removed one."""
    changed: dict[str, str | None] = {}
    for name in (*before, *after):
        if before.get(name) != after.get(name):
            changed[name] = after.get(name)
    return changed


def section_diff(section: str, before: str, after: str) -> str:
    """Return a unified diff of one section."""
    lines = difflib.unified_diff(
        before.splitlines(),
        after.splitlines(),
        f'before [{section}]',
        f'after [{section}]',
        lineterm='',
    )
    return '\n'.join(lines)


def merge(
    base: dict[str, str],
    ours: dict[str, str],
    theirs: dict[str, str],
) -> dict[str, str]:
    """Merge two edits of one base, section by section.

    :param base: the sections that our edit began with.
    :param ours: the sections that we want.
    :param theirs: the sections that are accepted by now.
    :raises ExceptionGroup: one ``EditConflictError`` for each section that both
        edits changed in different ways.
    """
    our_change = difference(base, ours)
    their_change = difference(base, theirs)
    conflicts = [
        errors.EditConflictError(
            name,
            section_diff(name, base.get(name, ''), ours.get(name, '')),
            section_diff(name, base.get(name, ''), theirs.get(name, '')),
        )
        for name in our_change
        if name in their_change and our_change[name] != their_change[name]
    ]
    if conflicts:
        raise ExceptionGroup('the same sections were changed twice', conflicts)
    return document.patch(theirs, our_change)


def advance(
    head: document_changes.Head | None,
    change: document_changes.Change,
    snapshot_key: str,
    document_text: str,
) -> tuple[document_changes.Head, tuple[document_changes.Change, ...]]:
    """Return the head after a change and the changes that no longer fit in it.

    :param head: the head before, None for the first change.
    :param change: the change, with the next generation.
    :param snapshot_key: where the new document was put.
    :param document_text: the new document.
    """
    known = () if head is None else head.recent
    recent = [*known, change]
    dropped = []
    while len(recent) > 1 and (
        len(recent) > MAX_RECENT_CHANGES
        or len(msgspec.json.encode(recent)) > MAX_RECENT_BYTES
    ):
        dropped.append(recent.pop(0))
    if len(msgspec.json.encode(recent)) > MAX_RECENT_BYTES:
        recent = [msgspec.structs.replace(change, sections={})]
    advanced = document_changes.Head(
        generation=change.generation,
        change_id=change.change_id,
        snapshot_key=snapshot_key,
        snapshot_sha256=document.digest(document_text),
        recent=tuple(recent),
    )
    return advanced, tuple(dropped)


class ActiveConfiguration:
    """The configuration that one process follows; it never goes back.

    :param generation: 0 while nothing is in force.
    """

    __slots__ = ('change_id', 'document', 'generation', 'recent')

    def __init__(self) -> None:
        self.generation = 0
        self.change_id = ''
        self.document = document.Document({}, {}, {})
        self.recent: tuple[document_changes.Change, ...] = ()

    def apply_changes(self, changes: typing.Iterable[document_changes.Change]) -> bool:
        """Apply changes that follow the generation in force.

        Changes up to the generation in force are skipped. A gap stops the walk:
        the caller then needs a snapshot.

        :return: whether something was applied.
        """
        wanted = self.generation + 1
        followed = self.document
        applied: list[document_changes.Change] = []
        for change in sorted(changes, key=lambda each: each.generation):
            if change.generation == wanted and change.sections:
                source = f'generation {wanted}'
                followed = document.patched(followed, change.sections, source)
                applied.append(change)
                wanted += 1
        if not applied:
            return False
        self._set(applied[-1], followed)
        self._remember(applied)
        return True

    def replace(self, change: document_changes.Change, text: str) -> bool:
        """Take a whole document if its generation is newer.

        :param change: the change that made the document.
        :param text: the document.
        :return: whether it was taken.
        """
        if change.generation <= self.generation:
            return False
        source = f'generation {change.generation}'
        self._set(change, document.parse(text, source))
        self.recent = ()
        self._remember([change])
        return True

    def changes_after(
        self, generation: int
    ) -> tuple[document_changes.Change, ...] | None:
        """Return the changes from a generation to the one in force.

        :return: None when they are not all kept here.
        """
        later = tuple(each for each in self.recent if each.generation > generation)
        if len(later) == self.generation - generation and all(
            each.sections for each in later
        ):
            return later
        return None

    def _set(
        self, change: document_changes.Change, followed: document.Document
    ) -> None:
        self.generation = change.generation
        self.change_id = change.change_id
        self.document = followed

    def _remember(self, applied: list[document_changes.Change]) -> None:
        kept = [*self.recent, *applied][-MAX_RECENT_CHANGES:]
        self.recent = tuple(kept)

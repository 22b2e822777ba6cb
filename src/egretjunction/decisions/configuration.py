"""Merges changes of the operators' document and tracks the active configuration.

The head record on the platform holds the generation and the recent changes.
Whole documents are stored beside it as immutable snapshots.
"""

import difflib
import typing

import msgspec

from egretjunction import document_changes
from egretjunction import errors
from egretjunction.decisions import document

MAX_RECENT_BYTES = 8_000
MAX_RECENT_CHANGES = 64
# Generations skipped after the platform was restored from an older copy: more than the
# changes of the few seconds that it may lose.
SKIPPED_GENERATIONS = 1000


def difference(
    before: dict[str, str],
    after: dict[str, str],
) -> dict[str, str | None]:
    """Return the sections that differ, by name, with None for a removed one."""
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
    """Merge two edits of one base, section by section (three-way merge).

    :param base: the sections that both edits began with.
    :param ours: the sections after our edit.
    :param theirs: the sections of the currently accepted document.
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
        raise ExceptionGroup('both edits changed the same sections', conflicts)
    return document.patched_sections(theirs, our_change)


def next_generation(head: document_changes.Head | None, era: int) -> int:
    """Return the generation of the next change, which was never used before.

    Processes may follow generations that a restored platform has lost.

    :param head: the head before the change, None for the first change.
    :param era: era of the platform, 0 if unknown.
    """
    before, known_era = (0, 1) if head is None else (head.generation, head.era)
    is_restored = 0 < known_era < era
    return before + 1 + is_restored * SKIPPED_GENERATIONS


def advance(
    head: document_changes.Head | None,
    change: document_changes.Change,
    snapshot_key: str,
    document_text: str,
    era: int = 0,
) -> tuple[document_changes.Head, tuple[document_changes.Change, ...]]:
    """Return the head after a change and the changes that no longer fit in it.

    :param head: the head before the change, None for the first change.
    :param change: the change, with the next generation.
    :param snapshot_key: key under which the new document is stored.
    :param document_text: the new document.
    :param era: era of the platform, 0 if unknown.
    """
    recent_before = () if head is None else head.recent
    recent = [*recent_before, change]
    dropped = []
    while len(recent) > 1 and (
        len(recent) > MAX_RECENT_CHANGES
        or len(msgspec.json.encode(recent)) > MAX_RECENT_BYTES
    ):
        dropped.append(recent.pop(0))
    if len(msgspec.json.encode(recent)) > MAX_RECENT_BYTES:
        recent = [msgspec.structs.replace(change, sections={})]
    new_head = document_changes.Head(
        generation=change.generation,
        change_id=change.change_id,
        snapshot_key=snapshot_key,
        snapshot_sha256=document.digest(document_text),
        recent=tuple(recent),
        era=era,
    )
    return new_head, tuple(dropped)


class ActiveConfiguration:
    """The active configuration of one process.

    It never returns to an older generation; the generation is 0 until the first
    change or snapshot is applied.
    """

    __slots__ = ('change_id', 'document', 'generation', 'recent')

    def __init__(self) -> None:
        self.generation = 0
        self.change_id = ''
        self.document = document.Document({}, {}, {})
        self.recent: tuple[document_changes.Change, ...] = ()

    def apply_changes(self, changes: typing.Iterable[document_changes.Change]) -> bool:
        """Apply the changes that follow the current generation.

        Changes up to the current generation are skipped. Changes after a gap are
        not applied; the process then needs a snapshot.

        :param changes: changes in any order.
        :return: whether a change was applied.
        """
        next_generation = self.generation + 1
        patched = self.document
        applied: list[document_changes.Change] = []
        for change in sorted(changes, key=lambda item: item.generation):
            if change.generation == next_generation and change.sections:
                source = f'generation {next_generation}'
                patched = document.patched_document(patched, change.sections, source)
                applied.append(change)
                next_generation += 1
        if not applied:
            return False
        self._activate(applied[-1], patched)
        self._remember(applied)
        return True

    def replace(self, change: document_changes.Change, text: str) -> bool:
        """Replace the configuration if the generation of the document is newer.

        :param change: the change that made the document.
        :param text: the document.
        :return: whether the configuration was replaced.
        """
        if change.generation <= self.generation:
            return False
        source = f'generation {change.generation}'
        self._activate(change, document.parse(text, source))
        self.recent = ()
        self._remember([change])
        return True

    def changes_after(
        self, generation: int
    ) -> tuple[document_changes.Change, ...] | None:
        """Return the changes after a generation, up to the current one.

        :param generation: the generation before the first change to return.
        :return: the changes, or None when not all of them are kept.
        """
        later_changes = tuple(
            change for change in self.recent if change.generation > generation
        )
        if len(later_changes) == self.generation - generation and all(
            change.sections for change in later_changes
        ):
            return later_changes
        return None

    def _activate(
        self, change: document_changes.Change, new_document: document.Document
    ) -> None:
        self.generation = change.generation
        self.change_id = change.change_id
        self.document = new_document

    def _remember(self, applied: list[document_changes.Change]) -> None:
        kept = [*self.recent, *applied][-MAX_RECENT_CHANGES:]
        self.recent = tuple(kept)

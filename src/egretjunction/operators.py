"""Operations on the accepted configuration: read, apply, revert and inspect."""

import datetime
import uuid

import msgspec
from tornado import httpclient
from tornado import simple_httpclient

from egretjunction import _decoding
from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import errors
from egretjunction import logs
from egretjunction import platform
from egretjunction.decisions import configuration
from egretjunction.decisions import document

SNAPSHOT_PREFIX = 'config/snapshot/'
APPLY_ATTEMPTS = 8
RETIRE_SECONDS = 1.0  # lease after which an unneeded snapshot expires
STATUS_SECONDS = 3.0
EMPTY = document.Document({}, {}, {})


class Author:
    """The author of a change, as recorded in the audit trail.

    :param who: name of the operator.
    :param team: team on whose behalf the operator acts.
    :param key_sha256: SHA-256 digest of the team's key.
    :param note: reason for the change.
    """

    __slots__ = ('key_sha256', 'note', 'team', 'who')

    def __init__(self, who: str, team: str, key_sha256: str, note: str = '') -> None:
        self.who = who
        self.team = team
        self.key_sha256 = key_sha256
        self.note = note


class Accepted:
    """The accepted configuration, as stored on the platform.

    :param head: the head record, None before the first change.
    :param revision: the platform's revision of the head.
    :param document: the complete document.
    :param era: era of the platform in which it was read.
    """

    __slots__ = ('document', 'era', 'head', 'revision')

    def __init__(
        self,
        head: document_changes.Head | None,
        revision: int,
        document: document.Document,
        era: int = 0,
    ) -> None:
        self.era = era
        self.head = head
        self.revision = revision
        self.document = document

    @property
    def generation(self) -> int:
        """Return the accepted generation, 0 before the first change."""
        return self.head.generation if self.head else 0


async def read(service: platform.Platform) -> Accepted:
    """Read the accepted configuration.

    :param service: the platform.
    :return: the configuration, empty before the first change.
    :raises errors.PlatformUnavailableError: when the service does not respond, or
        the snapshot does not match its digest.
    """
    item = await service.get(platform.HEAD_KEY)
    if not item.revision:
        return Accepted(None, 0, EMPTY, item.era)
    head = _decoding.decode_json(item.data, document_changes.Head)
    snapshot = await service.get(head.snapshot_key)
    if document.digest(snapshot.data.decode()) != head.snapshot_sha256:
        raise errors.PlatformUnavailableError(
            f'"{head.snapshot_key}" does not match the digest in the head',
        )
    accepted = document.parse(snapshot.data.decode(), head.snapshot_key)
    return Accepted(head, item.revision, accepted, item.era)


async def status_of(admin: str) -> bytes:
    """Return the status of a daemon as JSON.

    :param admin: address of its admin endpoint as ``ip:port``.
    :raises errors.UnreachableError: when the endpoint does not respond.
    """
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(
            f'http://{addresses.parse(admin)}/status',
            request_timeout=STATUS_SECONDS,
        )
    except ValueError as error:
        raise errors.UnreachableError(f'"{admin}" is not {error}') from error
    except (OSError, httpclient.HTTPError) as error:
        raise errors.UnreachableError(f'{admin} does not respond: {error}') from error
    finally:
        client.close()
    return response.body


async def read_generation(
    service: platform.Platform,
    generation: int,
) -> document.Document:
    """Return the document of a recent generation.

    :param service: the platform.
    :param generation: the generation to read.
    :raises errors.RefusedError: when the service keeps no snapshot of it.
    """
    accepted = await read(service)
    recent = () if accepted.head is None else accepted.head.recent
    for change in recent:
        if change.generation == generation:
            item = await service.get(snapshot_key(change))
            if item.data:
                return document.parse(item.data.decode(), item.key)
    known = ', '.join(str(recent_change.generation) for recent_change in recent)
    raise errors.RefusedError(
        f'there is no snapshot of generation {generation}, only of: {known}',
    )


def snapshot_key(change: document_changes.Change) -> str:
    """Return the key of the snapshot of the document after a change."""
    return f'{SNAPSHOT_PREFIX}{change.generation}-{change.change_id}'


async def apply(
    service: platform.Platform,
    base: document.Document,
    wanted: document.Document,
    author: Author,
) -> document_changes.Change | None:
    """Merge a change into the accepted document, validate it and swap the head.

    :param service: the platform.
    :param base: the document on which the edit is based.
    :param wanted: the edited document.
    :param author: author of the change.
    :return: the accepted change, None when nothing differs.
    :raises errors.NotKnownError: when the service stopped responding, so that the
        outcome is unknown; the message names the change id to look up.
    :raises errors.ConflictError: when other changes won every attempt.
    :raises errors.OwnershipError: when a section belongs to another team.
    :raises ExceptionGroup: when another operator changed the same section.
    """
    pending = _PendingChange(service, base, wanted, author)
    for _ in range(APPLY_ATTEMPTS):
        if await _attempt_once(pending):
            return pending.accepted_change
    if pending.has_unknown_outcome:
        raise errors.NotKnownError(_unknown_outcome_message(pending.change_id))
    raise errors.ConflictError(
        'change not accepted: other changes were accepted first on every attempt'
    )


async def _attempt_once(pending: '_PendingChange') -> bool:
    """Make one attempt to have a change accepted.

    A lost response is not an error: the next attempt reads the head again.

    :return: whether the change is settled.
    :raises errors.NotKnownError: when the service does not respond and an earlier
        swap may have taken effect.
    """
    try:
        return await pending.attempt()
    except errors.NotKnownError:
        logs.get().info('answer_was_lost', change_id=pending.change_id)
    except errors.PlatformUnavailableError as error:
        if not pending.has_unknown_outcome:
            raise
        raise errors.NotKnownError(
            _unknown_outcome_message(pending.change_id)
        ) from error
    return False


def _unknown_outcome_message(change_id: str) -> str:
    return (
        f'the outcome of change {change_id} is unknown; once the platform '
        f'responds again, run: egretjunction config settle {change_id}'
    )


class _PendingChange:
    """A change that an operator tries to have accepted.

    ``_unknown_swap_revision`` is the revision that a swap without a response
    expected. That swap may still take effect until the head has a later revision; the
    head of a platform that was restored has an earlier one, and may get this one again.

    :param service: the platform.
    :param base: the document on which the edit is based.
    :param wanted: the edited document.
    :param author: author of the change.
    """

    __slots__ = (
        '_author',
        '_base',
        '_service',
        '_snapshotted_change',
        '_unknown_swap_revision',
        'accepted_change',
        'change_id',
        'wanted',
    )

    def __init__(
        self,
        service: platform.Platform,
        base: document.Document,
        wanted: document.Document,
        author: Author,
    ) -> None:
        self._service = service
        self._base = base
        self._author = author
        self._unknown_swap_revision: int | None = None
        self._snapshotted_change: document_changes.Change | None = None
        self.accepted_change: document_changes.Change | None = None
        self.change_id = uuid.uuid4().hex
        self.wanted = wanted

    @property
    def has_unknown_outcome(self) -> bool:
        """Return whether an earlier swap may still take effect."""
        return self._unknown_swap_revision is not None

    async def attempt(self) -> bool:
        """Read the head, merge and swap once.

        :return: whether the change is settled.
        """
        accepted = await read(self._service)
        if accepted.revision > (self._unknown_swap_revision or 0):
            self._unknown_swap_revision = None
        self.accepted_change = find(accepted, self.change_id)
        if self.accepted_change is not None:
            return True
        await self._expire_lost_snapshot(accepted)
        merged = _merge(self._base, self.wanted, accepted, self._author)
        if merged is None:
            return True
        change = _new_change(accepted, merged, self._author, self.change_id)
        return await self._swap(accepted, merged, change)

    async def _swap(
        self,
        accepted: Accepted,
        merged: document.Document,
        change: document_changes.Change,
    ) -> bool:
        """Write the snapshot, then swap the head; only the swap accepts the change."""
        text = merged.text()
        key = snapshot_key(change)
        await _put_snapshot(self._service, key, text)
        self._snapshotted_change = change
        head, evicted_changes = configuration.advance(
            accepted.head, change, key, text, accepted.era
        )
        head_json = msgspec.json.encode(head).decode()
        try:
            await self._service.put(platform.HEAD_KEY, head_json, accepted.revision)
        except errors.ConflictError:
            return False
        except errors.NotKnownError:
            self._unknown_swap_revision = accepted.revision
            raise
        self.accepted_change = change
        await _ensure_snapshot(self._service, key, text)
        for evicted_change in evicted_changes:
            change_json = msgspec.json.encode(evicted_change).decode()
            logs.get().info('audit_exported', change=change_json)
            await _expire_snapshot(self._service, snapshot_key(evicted_change))
        return True

    async def _expire_lost_snapshot(self, accepted: Accepted) -> None:
        """Expire the snapshot of an earlier swap that lost to another change."""
        snapshotted = self._snapshotted_change
        if snapshotted is not None and snapshotted.generation <= accepted.generation:
            self._snapshotted_change = None
            await _expire_snapshot(self._service, snapshot_key(snapshotted))


def find(accepted: Accepted, change_id: str) -> document_changes.Change | None:
    """Return an accepted change by its id, None when the recent changes lack it."""
    if accepted.head is None:
        return None
    for change in accepted.head.recent:
        if change.change_id == change_id:
            return change
    return None


def _merge(
    base: document.Document,
    wanted: document.Document,
    accepted: Accepted,
    author: Author,
) -> document.Document | None:
    sections = configuration.merge(
        base.sections,
        wanted.sections,
        accepted.document.sections,
    )
    changed = configuration.difference(accepted.document.sections, sections)
    if not changed:
        return None
    merged = document.parse(document.join(sections), 'merged document')
    document.check_ownership(
        accepted.document,
        merged,
        changed,
        author.team,
        author.key_sha256,
    )
    return merged


def _new_change(
    accepted: Accepted,
    merged: document.Document,
    author: Author,
    change_id: str,
) -> document_changes.Change:
    now = datetime.datetime.now(datetime.UTC)
    return document_changes.Change(
        generation=configuration.next_generation(accepted.head, accepted.era),
        change_id=change_id,
        who=author.who,
        team=author.team,
        when=now.isoformat(timespec='milliseconds'),
        note=author.note,
        sections=configuration.difference(accepted.document.sections, merged.sections),
    )


async def _put_snapshot(service: platform.Platform, key: str, text: str) -> None:
    """Write a snapshot; one that already exists is from an earlier attempt."""
    try:
        await service.put(key, text, 0)
    except errors.ConflictError:
        logs.get().info('snapshot_was_there', key=key)


async def _ensure_snapshot(service: platform.Platform, key: str, text: str) -> None:
    """Write the snapshot of an accepted change again if the platform has lost it.

    A platform that was restored between the two writes has the head without it. A
    failure is logged; the change is accepted all the same.
    """
    try:
        item = await service.get(key)
        if not item.revision:
            logs.get().warning('snapshot_was_lost', key=key)
            await _put_snapshot(service, key, text)
    except errors.PlatformUnavailableError as error:
        logs.get().warning('snapshot_unverified', key=key, error=str(error))


async def _expire_snapshot(service: platform.Platform, key: str) -> None:
    """Expire a snapshot that is no longer needed, by attaching a short lease.

    A failure is logged and leaves the snapshot on the platform.
    """
    try:
        item = await service.get(key)
        if item.revision:
            lease = await service.grant_lease(RETIRE_SECONDS)
            await service.put(key, '', item.revision, lease)
    except (errors.PlatformUnavailableError, errors.ConflictError) as error:
        logs.get().warning('snapshot_left_behind', key=key, error=str(error))

"""What operators do with the configuration: apply, show, history, revert."""

import datetime
import typing
import uuid

import msgspec
from tornado import httpclient
from tornado import simple_httpclient

from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import errors
from egretjunction import logs
from egretjunction import platform
from egretjunction.decisions import configuration
from egretjunction.decisions import document

SNAPSHOT_PREFIX = 'config/snapshot/'
APPLY_ATTEMPTS = 8
RETIRE_SECONDS = 1.0
STATUS_SECONDS = 3.0
EMPTY = document.Document({}, {}, {})


class Author:
    """Who makes a change.

    :param who: name of the operator.
    :param team: the team that the operator acts for.
    :param key_sha256: digest of the team's key.
    :param note: why the change is made.
    """

    __slots__ = ('key_sha256', 'note', 'team', 'who')

    def __init__(self, who: str, team: str, key_sha256: str, note: str = '') -> None:
        self.who = who
        self.team = team
        self.key_sha256 = key_sha256
        self.note = note


class Accepted:
    """The accepted configuration as the platform holds it.

    :param head: the head record, None before the first change.
    :param revision: the platform's revision of the head.
    :param document: the whole document.
    """

    __slots__ = ('document', 'head', 'revision')

    def __init__(
        self,
        head: document_changes.Head | None,
        revision: int,
        document: document.Document,
    ) -> None:
        self.head = head
        self.revision = revision
        self.document = document

    @property
    def generation(self) -> int:
        """Return the accepted generation, 0 before the first change."""
        return self.head.generation if self.head else 0


async def read(service: platform.Platform) -> Accepted:
    """Return the accepted configuration.

    :raises errors.PlatformUnavailableError: when the service does not answer.
    """
    item = await service.get(platform.HEAD_KEY)
    if not item.revision:
        return Accepted(None, 0, EMPTY)
    head = msgspec.json.decode(item.data, type=document_changes.Head)
    snapshot = await service.get(head.snapshot_key)
    if document.digest(snapshot.data.decode()) != head.snapshot_sha256:
        raise errors.PlatformUnavailableError(
            f'"{head.snapshot_key}" does not match the digest in the head',
        )
    accepted = document.parse(snapshot.data.decode(), head.snapshot_key)
    return Accepted(head, item.revision, accepted)


async def status_of(admin: str) -> bytes:
    """Return what the admin endpoint of a daemon shows, as JSON.

    :param admin: its address as ``ip:port``.
    :raises errors.UnreachableError: when it does not answer.
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
        raise errors.UnreachableError(f'{admin} does not answer: {error}') from error
    finally:
        client.close()
    return response.body


class _Status(msgspec.Struct):
    name: str
    domain: str
    generation: int


async def generations(admins: typing.Iterable[str]) -> dict[str, dict[str, int]]:
    """Return the generation in force by failure domain and process.

    :param admins: admin addresses of entries and agents.
    :raises errors.UnreachableError: when one of them does not answer.
    """
    found: dict[str, dict[str, int]] = {}
    for admin in admins:
        status = msgspec.json.decode(await status_of(admin), type=_Status)
        found.setdefault(status.domain, {})[status.name] = status.generation
    return found


async def read_generation(
    service: platform.Platform,
    generation: int,
) -> document.Document:
    """Return the document of an earlier generation.

    :raises errors.RefusedError: when the service has no such snapshot.
    """
    accepted = await read(service)
    recent = () if accepted.head is None else accepted.head.recent
    for change in recent:
        if change.generation == generation:
            item = await service.get(snapshot_key(change))
            if item.data:
                return document.parse(item.data.decode(), item.key)
    known = ', '.join(str(each.generation) for each in recent)
    raise errors.RefusedError(
        f'there is no snapshot of generation {generation}, only of: {known}',
    )


def snapshot_key(change: document_changes.Change) -> str:
    """Return the key of the whole document that a change made."""
    return f'{SNAPSHOT_PREFIX}{change.generation}-{change.change_id}'


async def apply(
    service: platform.Platform,
    base: document.Document,
    wanted: document.Document,
    author: Author,
) -> document_changes.Change | None:
    """Have a change accepted: merge, check, then compare-and-swap.

    :param service: the platform.
    :param base: the document that the edit began with.
    :param wanted: the document that the operator wants.
    :param author: who makes the change.
    :return: the accepted change, None when nothing differs.
    :raises errors.NotKnownError: when the service went away in between; the
        message names the change id that settles it.
    :raises ExceptionGroup: when the same section was changed twice.
    :raises errors.OwnershipError: when a section belongs to another team.
    """
    attempt = _Attempt(service, base, wanted, author)
    for _ in range(APPLY_ATTEMPTS):
        if await _try_once(attempt):
            return attempt.accepted_change
    if attempt.is_in_doubt:
        raise errors.NotKnownError(_unsettled(attempt.change_id))
    raise errors.ConflictError('too many changes by others at the same time')


async def _try_once(attempt: '_Attempt') -> bool:
    """Make one attempt; a lost answer only means that it is not settled yet."""
    try:
        return await attempt.make()
    except errors.NotKnownError:
        logs.get().info('answer_was_lost', change_id=attempt.change_id)
    except errors.PlatformUnavailableError as error:
        if not attempt.is_in_doubt:
            raise
        raise errors.NotKnownError(_unsettled(attempt.change_id)) from error
    return False


def _unsettled(change_id: str) -> str:
    return (
        f'not yet known whether change {change_id} was accepted; when the '
        f'service is back, run: egretjunction config settle {change_id}'
    )


class _Attempt:
    """One operator's change on its way to being accepted.

    :param is_in_doubt: whether a swap was sent that may still take effect; that
        ends once the head has another revision than the swap expected.
    """

    __slots__ = (
        '_author',
        '_base',
        '_doubted_revision',
        '_service',
        '_written',
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
        self._doubted_revision: int | None = None
        self._written: document_changes.Change | None = None
        self.accepted_change: document_changes.Change | None = None
        self.change_id = uuid.uuid4().hex
        self.wanted = wanted

    @property
    def is_in_doubt(self) -> bool:
        """Tell whether an earlier swap may still take effect."""
        return self._doubted_revision is not None

    async def make(self) -> bool:
        """Read, merge and swap once; return whether the change is settled."""
        accepted = await read(self._service)
        if self._doubted_revision != accepted.revision:
            self._doubted_revision = None
        self.accepted_change = find(accepted, self.change_id)
        if self.accepted_change is not None:
            return True
        await self._retire_lost(accepted)
        merged = _merged(self._base, self.wanted, accepted, self._author)
        if merged is None:
            return True
        change = _change(accepted, merged, self._author, self.change_id)
        return await self._swap(accepted, merged, change)

    async def _swap(
        self,
        accepted: Accepted,
        merged: document.Document,
        change: document_changes.Change,
    ) -> bool:
        """Put the snapshot, then swap the head; only the swap makes it accepted."""
        text = merged.text()
        key = snapshot_key(change)
        await _put_snapshot(self._service, key, text)
        self._written = change
        head, dropped = configuration.advance(accepted.head, change, key, text)
        encoded = msgspec.json.encode(head).decode()
        try:
            await self._service.put(platform.HEAD_KEY, encoded, accepted.revision)
        except errors.ConflictError:
            return False
        except errors.NotKnownError:
            self._doubted_revision = accepted.revision
            raise
        self.accepted_change = change
        for old in dropped:
            exported = msgspec.json.encode(old).decode()
            logs.get().info('audit_exported', change=exported)
            await _retire(self._service, snapshot_key(old))
        return True

    async def _retire_lost(self, accepted: Accepted) -> None:
        """Retire the snapshot of a swap that surely lost against another one."""
        written = self._written
        if written is not None and written.generation <= accepted.generation:
            self._written = None
            await _retire(self._service, snapshot_key(written))


def find(accepted: Accepted, change_id: str) -> document_changes.Change | None:
    """Return an accepted change by its id, None when it is not in the trail."""
    if accepted.head is None:
        return None
    for change in accepted.head.recent:
        if change.change_id == change_id:
            return change
    return None


def _merged(
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


def _change(
    accepted: Accepted,
    merged: document.Document,
    author: Author,
    change_id: str,
) -> document_changes.Change:
    now = datetime.datetime.now(datetime.UTC)
    return document_changes.Change(
        generation=accepted.generation + 1,
        change_id=change_id,
        who=author.who,
        team=author.team,
        when=now.isoformat(timespec='milliseconds'),
        note=author.note,
        sections=configuration.difference(accepted.document.sections, merged.sections),
    )


async def _put_snapshot(service: platform.Platform, key: str, text: str) -> None:
    """Put a snapshot; one that is there already is a repeat of our own write."""
    try:
        await service.put(key, text, 0)
    except errors.ConflictError:
        logs.get().info('snapshot_was_there', key=key)


async def _retire(service: platform.Platform, key: str) -> None:
    """Let a snapshot that nobody needs lapse; a failure leaves it behind."""
    try:
        item = await service.get(key)
        if item.revision:
            lease = await service.grant_lease(RETIRE_SECONDS)
            await service.put(key, '', item.revision, lease)
    except (errors.PlatformUnavailableError, errors.ConflictError) as error:
        logs.get().warning('snapshot_left_behind', key=key, error=str(error))

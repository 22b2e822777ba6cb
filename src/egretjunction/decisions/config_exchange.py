"""Putting received configuration in force, and answering who asks for it."""

import typing

import msgspec

from egretjunction import document_changes
from egretjunction import errors
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import effects
from egretjunction.wire import messages


def apply_changes(
    active: configuration.ActiveConfiguration,
    changes: typing.Iterable[document_changes.Change],
) -> list[effects.Effect]:
    """Put changes in force that follow the present generation."""
    return _adopt(active, lambda: active.apply_changes(changes))


def replace(
    active: configuration.ActiveConfiguration,
    change: document_changes.Change,
    text: str,
) -> list[effects.Effect]:
    """Put a whole document in force if it is newer."""
    return _adopt(active, lambda: active.replace(change, text))


def after(
    active: configuration.ActiveConfiguration,
    generation: int,
    service: str,
) -> effects.Reply:
    """Answer who asks for what came after a generation.

    :param active: the configuration of this process, not empty.
    :param generation: the generation that the other process has.
    :param service: the only service that it needs, empty for the whole.
    """
    if service:
        return effects.Reply(_service_snapshot(active, service))
    changes = active.changes_after(generation)
    if changes is not None:
        return effects.Reply(messages.ConfigurationChanges(changes))
    text = active.document.text()
    snapshot = messages.ConfigurationSnapshot(_last_change(active), text)
    return effects.Reply(snapshot)


def _adopt(
    active: configuration.ActiveConfiguration,
    take: typing.Callable[[], bool],
) -> list[effects.Effect]:
    before = active.generation
    try:
        is_newer = take()
    except (errors.EgretjunctionError, ExceptionGroup) as error:
        return [effects.Log('configuration_refused', error=str(error))]
    if not is_newer:
        return []
    log = effects.Log(
        'configuration_in_force',
        generation=active.generation,
        before=before,
        change_id=active.change_id,
    )
    return [log]


def _last_change(active: configuration.ActiveConfiguration) -> document_changes.Change:
    """Return the change in force without its sections, as a snapshot's label."""
    return msgspec.structs.replace(active.recent[-1], sections={})


def _service_snapshot(
    active: configuration.ActiveConfiguration,
    service: str,
) -> messages.ConfigurationSnapshot:
    """Return the part of the document that one service's agents need."""
    found = active.document.services.get(service)
    wanted = []
    if found is not None:
        wanted.append(document.SERVICE_PREFIX + service)
        wanted.append(document.TEAM_PREFIX + found.team)
    sections = active.document.sections
    text = document.join({name: sections[name] for name in wanted})
    return messages.ConfigurationSnapshot(_last_change(active), text)

"""Putting received configuration in force, and answering who asks for it."""

import typing

import msgspec

from egretjunction import document_changes
from egretjunction import errors
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import effects
from egretjunction.wire import messages


def follow(
    in_force: configuration.InForce,
    changes: typing.Iterable[document_changes.Change],
) -> list[effects.Effect]:
    """Put changes in force that follow the present generation."""
    return _adopt(in_force, lambda: in_force.follow(changes))


def replace(
    in_force: configuration.InForce,
    change: document_changes.Change,
    text: str,
) -> list[effects.Effect]:
    """Put a whole document in force if it is newer."""
    return _adopt(in_force, lambda: in_force.replace(change, text))


def after(
    in_force: configuration.InForce,
    generation: int,
    service: str,
) -> effects.Reply:
    """Answer who asks for what came after a generation.

    :param in_force: the configuration of this process, not empty.
    :param generation: the generation that the other process has.
    :param service: the only service that it needs, empty for the whole.
    """
    if service:
        return effects.Reply(_service_snapshot(in_force, service))
    changes = in_force.changes_after(generation)
    if changes is not None:
        return effects.Reply(messages.ConfigurationChanges(changes))
    text = in_force.document.text()
    snapshot = messages.ConfigurationSnapshot(_last_change(in_force), text)
    return effects.Reply(snapshot)


def _adopt(
    in_force: configuration.InForce,
    take: typing.Callable[[], bool],
) -> list[effects.Effect]:
    before = in_force.generation
    try:
        is_newer = take()
    except (errors.EgretjunctionError, ExceptionGroup) as error:
        return [effects.Log('configuration_refused', error=str(error))]
    if not is_newer:
        return []
    log = effects.Log(
        'configuration_in_force',
        generation=in_force.generation,
        before=before,
        change_id=in_force.change_id,
    )
    return [log]


def _last_change(in_force: configuration.InForce) -> document_changes.Change:
    """Return the change in force without its sections, as a snapshot's label."""
    return msgspec.structs.replace(in_force.recent[-1], sections={})


def _service_snapshot(
    in_force: configuration.InForce,
    service: str,
) -> messages.ConfigurationSnapshot:
    """Return the part of the document that one service's agents need."""
    found = in_force.document.services.get(service)
    wanted = []
    if found is not None:
        wanted.append(document.SERVICE_PREFIX + service)
        wanted.append(document.TEAM_PREFIX + found.team)
    sections = in_force.document.sections
    text = document.join({name: sections[name] for name in wanted})
    return messages.ConfigurationSnapshot(_last_change(in_force), text)

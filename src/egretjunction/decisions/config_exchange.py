"""Applies received configuration and answers requests for it."""

import typing

import msgspec

from egretjunction import document_changes
from egretjunction import errors
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import effects
from egretjunction.decisions import evacuation
from egretjunction.wire import messages


def apply_changes(
    active: configuration.ActiveConfiguration,
    changes: typing.Iterable[document_changes.Change],
) -> list[effects.Effect]:
    """Apply the changes that follow the current generation.

    :param active: the configuration of this process.
    :param changes: changes in any order.
    """
    return _apply(active, lambda: active.apply_changes(changes))


def replace(
    active: configuration.ActiveConfiguration,
    change: document_changes.Change,
    text: str,
) -> list[effects.Effect]:
    """Replace the active configuration if the snapshot is newer.

    :param active: the configuration of this process.
    :param change: the change that made the document.
    :param text: the document.
    """
    return _apply(active, lambda: active.replace(change, text))


def reply_since(
    active: configuration.ActiveConfiguration,
    generation: int,
    service: str,
) -> effects.Reply:
    """Return the reply to a request for everything after a generation.

    The reply holds the changes, or a snapshot when not all of them are kept.

    :param active: the configuration of this process, not empty.
    :param generation: generation of the requesting process.
    :param service: the only service that it needs; empty for the whole document.
    """
    if service:
        return effects.Reply(_service_snapshot(active, service))
    changes = active.changes_after(generation)
    if changes is not None:
        return effects.Reply(messages.ConfigurationChanges(changes))
    text = active.document.text()
    snapshot = messages.ConfigurationSnapshot(_last_change(active), text)
    return effects.Reply(snapshot)


def _apply(
    active: configuration.ActiveConfiguration,
    apply: typing.Callable[[], bool],
) -> list[effects.Effect]:
    before = active.generation
    evacuated_before = active.document.evacuated_domains
    try:
        is_applied = apply()
    except (errors.EgretjunctionError, ExceptionGroup) as error:
        return [effects.Log('configuration_refused', error=str(error))]
    if not is_applied:
        return []
    log_effect = effects.Log(
        'configuration_in_force',
        generation=active.generation,
        before=before,
        change_id=active.change_id,
    )
    return [
        log_effect,
        *evacuation.change_effects(
            evacuated_before,
            active.document.evacuated_domains,
            active.generation,
            active.change_id,
        ),
    ]


def _last_change(active: configuration.ActiveConfiguration) -> document_changes.Change:
    """Return the last applied change without its sections, to identify a snapshot."""
    return msgspec.structs.replace(active.recent[-1], sections={})


def _service_snapshot(
    active: configuration.ActiveConfiguration,
    service: str,
) -> messages.ConfigurationSnapshot:
    """Return a snapshot of the sections that the agents of one service need.

    It includes all evacuations, because agents of one service run in many domains.
    """
    service_section = active.document.services.get(service)
    section_names = []
    if service_section is not None:
        section_names.append(document.SERVICE_PREFIX + service)
        section_names.append(document.TEAM_PREFIX + service_section.team)
    evacuated_domains = sorted(active.document.evacuated_domains)
    section_names.extend(
        evacuation.section_name(domain) for domain in evacuated_domains
    )
    sections = active.document.sections
    text = document.join({name: sections[name] for name in section_names})
    return messages.ConfigurationSnapshot(_last_change(active), text)

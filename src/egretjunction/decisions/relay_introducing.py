"""How agents make themselves known to an entry that does not list them yet."""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.wire import relaying


def add_announced(
    members: relay_members.Members,
    announcement: relaying.Announce,
    agent: addresses.Address,
) -> tuple[relay_members.Member, list[effects.Effect]]:
    """Add an agent that has just started, before the store's listing is read."""
    member = relay_members.Member(
        announcement.name,
        announcement.service,
        announcement.domain,
        addresses.Address(*agent),
    )
    if members.add_or_update(member) is None:
        return member, []
    event = effects.Log('member_announced', member=member.name, service=member.service)
    return member, [event]


def check_identity(
    pong: relaying.Pong,
    member: relay_members.Member,
    version: int,
    note_change: typing.Callable[[relay_members.Member], None],
) -> list[effects.Effect]:
    """Ask an agent that answers in place of the listed one to announce itself.

    :param version: configuration version that the entry follows.
    :param note_change: called when another agent answers at the member's address.
    """
    was_mistaken = member.is_mistaken
    listed_tag = relaying.compute_service_tag(member.service)
    member.is_mistaken = pong.service_tag != listed_tag
    if member.is_mistaken is not was_mistaken:
        note_change(member)
    if not member.is_mistaken:
        return []
    member.is_listed = False
    if was_mistaken:
        return []
    ping = relaying.Ping(version, is_unlisted=True)
    return [
        effects.Log('member_mistaken', member=member.name, service=member.service),
        effects.Send(member.address, ping),
    ]

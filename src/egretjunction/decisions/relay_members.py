"""An entry's view of the agents: their addresses, load and liveness."""

import math
import typing

import xxhash

from egretjunction import addresses
from egretjunction.decisions import relay_absences
from egretjunction.decisions import relay_draining
from egretjunction.decisions import relay_eras
from egretjunction.decisions import relay_evacuation
from egretjunction.decisions import relay_pinging
from egretjunction.decisions import relay_work
from egretjunction.decisions.load import index
from egretjunction.wire import relaying

SUSPECT_AFTER_SECONDS = 0.25  # answers within a failure domain take a few milliseconds
# Random packet loss does not explain 2 unanswered pings to every agent of a service.
UNREACHABLE_AFTER_SECONDS = 0.5
DEAD_AFTER_SECONDS = 1.5  # longer than a process pauses when it exceeds its CPU quota
EXPIRE_AFTER_SECONDS = 30.0
NO_SERVER_SECONDS = 2.0  # until a silent agent counts as dead, with its last answer
OPENINGS_SECONDS = 1.0  # the openings of a cold server are counted per second
# Agents listed since then announce themselves. A listing that is this fresh was read
# after any agent that counts as dead had fallen silent, and shows a planned stop.
FRESH_LISTING_SECONDS = DEAD_AFTER_SECONDS - 0.1
USED_SECONDS = 2.0  # a member counts as in use for this long after the last packet
MIN_NEAR_MEMBERS = 4  # of each service; pinged as often as those of the own domain
OTHER_DOMAIN_PENALTY = 0.8  # share of its slots by which a near server may be fuller
COLD_PENALTY = 0.5  # share of slots; requests of a cold server take 1.6 times as long
MAX_REPORTED_SERVERS = 4  # incarnations that an entry remembers of each agent
REQUESTS_PER_FLOW = 0.02  # average number of active requests of an open flow


class Member:
    """One agent as an entry sees it.

    ``unanswered_since`` is the time of the oldest request without an answer,
    ``offered_flows`` the number of flows offered since the last status, ``used_at``
    the time of the last packet sent to it, and ``is_listed`` tells whether the store
    holds the agent's key. ``is_mistaken`` tells that its address answers for another
    service than the listed one: the key is one of an agent that left.
    ``is_domain_evacuated`` tells that this entry knows its domain to be evacuated.
    ``older_server_born`` names the incarnation of its server that two processes of the
    agent have reported, 0 if there is none.

    :param name: name of the agent.
    :param service: service of its backend server.
    :param domain: its failure domain.
    :param address: its address for messages of entries.
    :param stopped_process: number of its process that has listed its own planned stop,
        0 if there is none.
    """

    __slots__ = (
        '_absence',
        '_draining',
        '_process_by_born',
        'address',
        'domain',
        'is_domain_evacuated',
        'is_listed',
        'is_mistaken',
        'last_status_at',
        'name',
        'offered_flows',
        'older_server_born',
        'pinged_at',
        'service',
        'status',
        'unanswered_since',
        'used_at',
    )

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        address: addresses.Address,
        stopped_process: int = 0,
    ) -> None:
        self._absence = relay_absences.Absence(stopped_process)
        self.name = name
        self.service = service
        self.domain = domain
        self.address = address
        self.is_domain_evacuated = False
        self.is_listed = True
        self.is_mistaken = False
        self.unanswered_since = math.inf
        self.last_status_at = -math.inf
        self.pinged_at = -math.inf
        self.used_at = -math.inf
        self.offered_flows = 0
        self.older_server_born = 0
        self._draining = relay_draining.Draining()
        self._process_by_born: dict[int, int] = {}
        self.status = relaying.Status(relaying.State.STARTING, 0, 0, 1, 0)

    def record_request(self, now: float) -> None:
        """Record that a message was sent that the agent answers immediately."""
        self.unanswered_since = min(self.unanswered_since, now)

    @property
    def stopped_process(self) -> int:
        """Return the number of the process whose stop the listing tells of, or 0."""
        return self._absence.listed_process

    def change_service(self, service: str) -> None:
        """Record that the agent is listed for another service than before."""
        self.service = service
        self._absence = relay_absences.Absence()

    def begin_absence(self, process: int, until: float) -> bool:
        """Record that a process stops and leaves flows to its server.

        :param process: number of the process, as in its status.
        :param until: time at which these flows are too old to count.
        :return: whether the stop was not known.
        """
        return self._absence.begin(process, until)

    def record_status(self, status: relaying.Status, now: float) -> None:
        """Record a status that the agent sent."""
        self.status = status
        self._absence.record_status(status)
        self._draining.record_status(status, now)
        self.offered_flows = 0
        self.last_status_at = now
        self.unanswered_since = math.inf
        if status.server_born:
            self._record_reported_server(status.server_born, status.process)

    def _record_reported_server(self, born: int, process: int) -> None:
        """Record that a process of the agent follows an incarnation of its server.

        Other incarnations may be reported in between: heartbeats of ended ones may have
        been held up.
        """
        first_process = self._process_by_born.pop(born, process)
        self._process_by_born[born] = first_process
        if first_process != process:
            self.older_server_born = born
        if len(self._process_by_born) > MAX_REPORTED_SERVERS:
            self._process_by_born.pop(next(iter(self._process_by_born)))

    def silent_seconds(self, now: float) -> float:
        """Return how long an answer of the agent has been outstanding."""
        return max(float(0), now - self.unanswered_since)

    def is_answering(self) -> bool:
        """Tell whether it has answered all requests, and at least one."""
        has_answered = not math.isinf(self.last_status_at)
        return has_answered and math.isinf(self.unanswered_since)

    def is_suspect(self, now: float) -> bool:
        """Tell whether an answer is outstanding for longer than usual."""
        return self.silent_seconds(now) > SUSPECT_AFTER_SECONDS

    def is_silent(self, now: float) -> bool:
        """Tell whether an answer is outstanding for longer than pauses last."""
        return self.silent_seconds(now) > DEAD_AFTER_SECONDS

    def is_away(self, now: float) -> bool:
        """Tell whether it was stopped as planned and its server may hold flows."""
        return not self.is_mistaken and self._absence.is_lasting(now)

    def is_dead(self, now: float) -> bool:
        """Tell whether the agent is silent for so long that its flows count as lost."""
        return self.is_silent(now) and not self.is_away(now)

    def is_identified(self) -> bool:
        """Tell whether the listed agent itself has answered."""
        return not self.is_mistaken and not math.isinf(self.last_status_at)

    def holds_nothing(self, now: float) -> bool:
        """Tell whether it has neither a server nor flows.

        An old status proves nothing: the instance may have started again since, with a
        server. Its agent then announces itself to every entry within this time.
        """
        if self.is_mistaken or now - self.last_status_at > NO_SERVER_SECONDS:
            return False
        return not self.status.slots and not self.status.flows

    def is_evacuated(self) -> bool:
        """Tell whether it takes no new flows because its domain is evacuated."""
        return self.is_domain_evacuated or self.status.is_evacuated

    def accepts_flows(self, now: float) -> bool:
        """Tell whether new flows may be offered to the agent."""
        if self.is_mistaken or self.is_evacuated() or self.is_away(now):
            return False
        if self._draining.is_possible(now) or not self._has_openings(now):
            return False
        return self.status.state == relaying.State.READY and not self.is_suspect(now)

    def _has_openings(self, now: float) -> bool:
        """Tell whether a cold server may get another first packet, as far as known.

        A status that is older than the agent's window says nothing about it.
        """
        openings_left = self.status.openings_left
        if openings_left == relaying.NO_LIMIT:
            return True
        is_outdated = now - self.last_status_at > OPENINGS_SECONDS
        return is_outdated or self.offered_flows < openings_left

    @property
    def work(self) -> int:
        """Return its active requests, including flows offered since its last status."""
        return self.status.work + self.offered_flows

    def utilization(self) -> float:
        """Return its load as a share of its slots, with a penalty if it is cold."""
        load = self.work + self.status.flows * REQUESTS_PER_FLOW
        cold_penalty = COLD_PENALTY if self.status.cold_ms else 0
        return load / max(1, self.status.slots) + cold_penalty

    def is_full(self, since: float) -> bool:
        """Tell whether a status received since a given time shows all slots in use."""
        if self.last_status_at < since:
            return False
        return self.work >= self.status.slots

    def remaining_capacity(self) -> float:
        """Return how many more requests it accepts once all members are full."""
        return self.status.slots * (1 + relay_work.QUEUE_SHARE) - self.work


class Members:
    """All agents that an entry knows.

    ``revision`` rises with each change of who is a member, or of a member's service.
    ``is_watched`` tells whether a watch reports each change of the listings,
    ``wants_listing`` whether a new listing is needed to tell that an agent is unknown,
    and ``can_vouch`` whether the entry can tell which agents the store lists now.
    ``index`` holds the members by service, failure domain and free capacity.

    :param domain: failure domain of the entry.
    :param max_flow_seconds: age from which a flow may be dropped; bounds the planned
        absences of agents.
    """

    def __init__(self, domain: str, max_flow_seconds: float = math.inf) -> None:
        self._domain = domain
        self._max_flow_seconds = max_flow_seconds
        self.member_by_name: dict[str, Member] = {}
        self.member_by_address: dict[addresses.Address, Member] = {}
        self.is_watched = False
        self.wants_listing = False
        self.can_vouch = True
        self.revision = 0
        self._listed_at = -math.inf
        self.eras = relay_eras.Eras()
        self.evacuations = relay_evacuation.Evacuations(self.eras)
        self._probed_by_service: dict[str, list[Member]] | None = None
        self._probed_names: set[str] = set()
        self.index = index.MemberIndex()

    def add_or_update(self, member: Member) -> Member | None:
        """Add or update a listed member; return it if it is new or has moved."""
        existing = self.member_by_name.get(member.name)
        if existing is not None and existing.address == member.address:
            existing.is_listed = True
            if existing.service != member.service:
                existing.change_service(member.service)
                self.index.add(existing)
                self._note_change()
            return None
        if existing is not None:
            self.remove(existing)
        replaced = self.member_by_address.get(member.address)
        if replaced is not None:
            self.remove(replaced)
        self.member_by_name[member.name] = member
        member.is_domain_evacuated = member.domain in self.evacuations
        self.member_by_address[member.address] = member
        self.index.add(member)
        self._note_change()
        return member

    def add_listed(self, member: Member, now: float) -> Member | None:
        """Add or update a member that a listing contains; return it if it is new.

        A listing of a store that was restored from an older copy may contain agents
        that left. One of them does not displace an agent that answers at its address.
        """
        holder = self.member_by_address.get(member.address)
        is_other = holder is not None and holder.name != member.name
        if is_other and holder.is_identified() and not holder.is_silent(now):
            return None
        added = self.add_or_update(member)
        if member.stopped_process:
            listed = self.member_by_name[member.name]
            self.record_stop(listed, member.stopped_process, now)
        return added

    def record_stop(self, member: Member, process: int, now: float) -> bool:
        """Record that a process of a member stops and leaves flows to its server.

        :param member: the member.
        :param process: number of the process, as in its status.
        :param now: the time in seconds.
        :return: whether the stop was not known.
        """
        return member.begin_absence(process, now + self._max_flow_seconds)

    def mark_unlisted(self, name: str) -> Member | None:
        """Record that the store no longer holds the key of a member."""
        member = self.member_by_name.get(name)
        if member is not None and member.is_listed:
            member.is_listed = False
        return member

    def mark_others_unlisted(
        self, names: typing.Container[str], now: float, *, is_stale: bool = False
    ) -> None:
        """Mark the members that a complete listing does not contain as unlisted.

        :param names: names in the listing.
        :param now: the time in seconds.
        :param is_stale: whether the listing may be seconds old; then a member that
            answers may have been listed since, and is not marked.
        """
        for name, member in self.member_by_name.items():
            is_certain = (
                not is_stale
                or member.silent_seconds(now) > relay_pinging.LOST_AFTER_SECONDS
            )
            if name not in names and is_certain:
                self.mark_unlisted(name)

    def record_listing(self, now: float) -> None:
        """Record that a listing was read that is not stale."""
        self._listed_at = now
        self.wants_listing = False

    def has_current_listing(self, now: float) -> bool:
        """Tell whether no listed agent can be missing."""
        return self.is_watched or now - self._listed_at <= FRESH_LISTING_SECONDS

    def is_complete(self, now: float) -> bool:
        """Tell whether the entry knows every listed agent; else ask for a listing.

        An agent that is listed while this entry is not, since its key was taken away,
        announces itself to the other entries only.
        """
        is_current = self.has_current_listing(now)
        self.wants_listing = self.wants_listing or not is_current
        return is_current and self.eras.is_settled(now)

    def remove(self, member: Member) -> None:
        """Remove a member."""
        self.member_by_name.pop(member.name, None)
        self.index.remove(member)
        self._note_change()
        if self.member_by_address.get(member.address) is member:
            self.member_by_address.pop(member.address)

    def _note_change(self) -> None:
        self.revision += 1
        self._probed_by_service = None

    def is_near(self, member: Member) -> bool:
        """Tell whether a member is in the entry's own failure domain."""
        return member.domain == self._domain

    def least_loaded(
        self,
        service: str,
        key: bytes,
        now: float,
        is_eligible: typing.Callable[[Member], bool],
    ) -> Member | None:
        """Return the least loaded member that accepts a new flow.

        :param service: service of the flow.
        :param key: the flow's key, which breaks ties.
        :param now: the time in seconds.
        :param is_eligible: further condition on a member.
        :return: the member, or None if none is eligible.
        """
        load_by_member = {
            member: self._load_in_tenths(member)
            for member in self.member_by_name.values()
            if member.service == service
            and member.accepts_flows(now)
            and is_eligible(member)
        }
        if not load_by_member:
            return None
        lowest_load = min(load_by_member.values())
        candidates = [
            candidate
            for candidate, load in load_by_member.items()
            if load == lowest_load
        ]
        return min(candidates, key=lambda candidate: _tie_breaker(candidate, key))

    def update_evacuations(
        self, other_domains: typing.Collection[str], now: float
    ) -> bool:
        """Apply changes of evacuations; tell whether there were any.

        The agents of a domain are pinged at once, so that they decline offers of
        entries that have not learned of the change.

        :param other_domains: failure domains of known entries.
        :param now: the time in seconds.
        """
        if self.evacuations.is_idle:
            return False
        member_domains = {member.domain for member in self.member_by_name.values()}
        self.evacuations.tick({self._domain, *member_domains, *other_domains}, now)
        self.evacuations.warn_if_all(member_domains)
        changed_domains = self.evacuations.pop_changed()
        for member in self.member_by_name.values():
            if member.domain in changed_domains:
                member.is_domain_evacuated = member.domain in self.evacuations
                member.pinged_at = -math.inf
        return bool(changed_domains)

    def is_service_evacuated(self, service: str, now: float) -> bool:
        """Tell whether all servers of a service are in evacuated domains."""
        members = [
            member
            for member in self.member_by_name.values()
            if member.service == service and not member.is_silent(now)
        ]
        return bool(members) and all(member.is_evacuated() for member in members)

    def count_ready(self, service: str, now: float) -> int:
        """Return how many members of a service accept flows, including full ones."""
        return sum(
            member.service == service and member.accepts_flows(now)
            for member in self.member_by_name.values()
        )

    def has_unreachable_service(
        self, services: typing.Container[str], now: float
    ) -> bool:
        """Tell whether none of the agents of some service answers this entry.

        Such an entry reports itself as not ready, so that routers use entries that
        may still reach the agents.

        :param services: services that routes name; a listing may name others, whose
            agents have left or never were.
        :param now: the time in seconds.
        """
        return any(
            service in services and not self._is_reachable(service, now)
            for service in self._probed_members()
        )

    def _is_reachable(self, service: str, now: float) -> bool:
        """Tell whether any agent of a service answers this entry."""
        probed = self._probed_members()[service]
        if any(
            member.silent_seconds(now) <= UNREACHABLE_AFTER_SECONDS for member in probed
        ):
            return True
        silent_since = min(member.unanswered_since for member in probed)
        return any(
            member.last_status_at > silent_since
            for member in self.member_by_name.values()
            if member.service == service
        )

    def _probed_members(self) -> dict[str, list[Member]]:
        """Return the members that are pinged at the short interval, by service.

        They are those of the own failure domain and, where a service has few of
        these, some of other domains.
        """
        if self._probed_by_service is None:
            self._probed_by_service = self._choose_probed()
            self._probed_names = {
                member.name
                for members in self._probed_by_service.values()
                for member in members
            }
        return self._probed_by_service

    def _choose_probed(self) -> dict[str, list[Member]]:
        own_domain = self._domain.encode()

        def rank(member: Member) -> tuple[bool, int]:
            return not self.is_near(member), _tie_breaker(member, own_domain)

        members_by_service: dict[str, list[Member]] = {}
        for ranked in sorted(self.member_by_name.values(), key=rank):
            probed = members_by_service.setdefault(ranked.service, [])
            if self.is_near(ranked) or len(probed) < MIN_NEAR_MEMBERS:
                probed.append(ranked)
        return members_by_service

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence of all members."""
        for member in self.member_by_name.values() if seconds else ():
            member.unanswered_since += seconds

    def due_for_ping(self, now: float) -> list[Member]:
        """Return the members that are due for a ping."""
        probed_by_service = self._probed_members()
        silent_services = {
            service
            for service, members in probed_by_service.items()
            if all(member.is_suspect(now) for member in members)
        }
        far_count = len(self.member_by_name) - len(self._probed_names)

        def is_due(member: Member) -> bool:
            is_probed = (
                member.name in self._probed_names
                or now - member.used_at < USED_SECONDS
                or member.service in silent_services
            )
            silent_seconds = member.silent_seconds(now)
            is_answering = member.is_answering()
            interval = (
                relay_pinging.near_interval(silent_seconds, is_answering=is_answering)
                if is_probed
                else relay_pinging.far_interval(
                    silent_seconds, far_count, is_answering=is_answering
                )
            )
            return now - member.pinged_at >= interval

        return [member for member in self.member_by_name.values() if is_due(member)]

    def expired(self, now: float) -> list[Member]:
        """Return the members whose silence exceeds the retention time."""
        return [
            member
            for member in self.member_by_name.values()
            if member.silent_seconds(now) > EXPIRE_AFTER_SECONDS
            and not member.is_away(now)
        ]

    def _load_in_tenths(self, member: Member) -> int:
        """Return the utilization, with a penalty for other domains, in tenths."""
        domain_penalty = 0 if member.domain == self._domain else OTHER_DOMAIN_PENALTY
        return round((member.utilization() + domain_penalty) * 10)


def _tie_breaker(member: Member, key: bytes) -> int:
    return xxhash.xxh32_intdigest(member.name.encode() + key)

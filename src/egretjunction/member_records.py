"""Membership records that entries and agents exchange."""

import enum
import typing

from egretjunction import addresses

FULL_WEIGHT = 100


class Kind(enum.Enum):
    """Role of a member."""

    AGENT = 'agent'
    ENTRY = 'entry'


class State(enum.Enum):
    """State of a member, reported by itself or determined by its home entries."""

    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


class Version(typing.NamedTuple):
    """Version of a member's record; the higher of two replaces the lower."""

    incarnation: int
    sequence: int
    is_gone: bool


class Member:
    """One membership record: the state of a member at one version.

    :param name: unique name from the member's settings.
    :param kind: agent or entry.
    :param service: service that an agent serves; empty for an entry.
    :param domain: failure domain.
    :param address: address for its datagrams.
    :param control: address for its control messages.
    :param incarnation: number of the process, increasing with each start.
    :param sequence: number of the record within the incarnation.
    :param state: its lifecycle state.
    :param fitness: weight in hundredths, reduced while the member is unhealthy.
    """

    __slots__ = (
        'address',
        'control',
        'domain',
        'fitness',
        'incarnation',
        'kind',
        'name',
        'sequence',
        'service',
        'state',
    )

    def __init__(
        self,
        *,
        name: str,
        kind: Kind,
        service: str,
        domain: str,
        address: addresses.Address,
        control: addresses.Address,
        incarnation: int,
        sequence: int,
        state: State,
        fitness: int = FULL_WEIGHT,
    ) -> None:
        self.name = name
        self.kind = kind
        self.service = service
        self.domain = domain
        self.address = address
        self.control = control
        self.incarnation = incarnation
        self.sequence = sequence
        self.state = state
        self.fitness = fitness

    @property
    def version(self) -> Version:
        """Return the version of this record."""
        return Version(self.incarnation, self.sequence, self.state is State.GONE)

    @property
    def weight(self) -> float:
        """Return the fitness as a fraction between 0 and 1."""
        return self.fitness / FULL_WEIGHT

    def changed(
        self,
        *,
        state: State | None = None,
        fitness: int | None = None,
        sequence: int | None = None,
        incarnation: int | None = None,
    ) -> 'Member':
        """Return a copy with some fields replaced."""
        return Member(
            name=self.name,
            kind=self.kind,
            service=self.service,
            domain=self.domain,
            address=self.address,
            control=self.control,
            incarnation=self.incarnation if incarnation is None else incarnation,
            sequence=self.sequence if sequence is None else sequence,
            state=self.state if state is None else state,
            fitness=self.fitness if fitness is None else fitness,
        )

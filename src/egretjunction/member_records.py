"""What entries and agents tell each other about members."""

import enum
import typing

from egretjunction import addresses

FULL_WEIGHT = 100


class Kind(enum.Enum):
    """What a member is."""

    AGENT = 'agent'
    ENTRY = 'entry'


class State(enum.Enum):
    """What a member says of itself, or what its home entries found."""

    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


class Version(typing.NamedTuple):
    """Order of the records of one member."""

    incarnation: int
    sequence: int
    is_gone: bool


class Member:
    """One record of the view.

    :param name: unique name from the member's settings.
    :param kind: agent or entry.
    :param service: service that an agent serves; empty for an entry.
    :param domain: failure domain.
    :param address: where its datagrams go.
    :param control: where its control messages go.
    :param incarnation: number of the process, rising with each start.
    :param sequence: number of the record within the incarnation.
    :param state: its state.
    :param fitness: weight in hundredths that its health allows.
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
        """Return the order of this record among those of the member."""
        return Version(self.incarnation, self.sequence, self.state is State.GONE)

    @property
    def weight(self) -> float:
        """Return the fitness as a share between 0 and 1."""
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

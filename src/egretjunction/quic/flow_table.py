"""The flows of one agent by connection ID, and the connection IDs it issues."""

import os

from aioquic.quic import configuration as quic_configuration

from egretjunction import addresses
from egretjunction.decisions import ownership
from egretjunction.quic import connections
from egretjunction.quic import server_flow


class FlowTable:
    """All flows that this process owns.

    :param key: the secret that entries and agents share.
    :param service: the service that the flows belong to.
    :param owner: this process, as named in the connection IDs that it issues.
    :param configuration: QUIC configuration of new connections.
    """

    __slots__ = (
        '_configuration',
        '_connection_ids_by_flow',
        '_flow_by_connection_id',
        '_key',
        '_owner',
        '_service',
    )

    def __init__(
        self,
        key: bytes,
        service: str,
        owner: ownership.Owner,
        configuration: quic_configuration.QuicConfiguration,
    ) -> None:
        self._key = key
        self._service = service
        self._owner = owner
        self._configuration = configuration
        self._flow_by_connection_id: dict[bytes, server_flow.Flow] = {}
        self._connection_ids_by_flow: dict[server_flow.Flow, set[bytes]] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._connection_ids_by_flow)

    def all(self) -> list[server_flow.Flow]:
        """Return the flows."""
        return list(self._connection_ids_by_flow)

    def find(self, connection_id: bytes) -> server_flow.Flow | None:
        """Return the flow that a connection ID belongs to, or None."""
        return self._flow_by_connection_id.get(connection_id)

    def is_issued_by_service(self, connection_id: bytes) -> bool:
        """Return whether an agent of this service issued a connection ID."""
        owner = ownership.owner_of(self._key, self._service, connection_id)
        return owner is not None

    def open(
        self,
        connection_id: bytes,
        service_address: addresses.Address,
        handlers: server_flow.Handlers,
    ) -> server_flow.Flow:
        """Create a flow for a caller's first packet.

        :param connection_id: the ID that the caller chose.
        :param service_address: the address that the caller used.
        :param handlers: callbacks of the flow.
        """
        connection = connections.ServerConnection(
            mint=self._mint,
            reset_token=self._reset_token,
            configuration=self._configuration,
            original_destination_connection_id=connection_id,
        )
        flow = server_flow.Flow(connection, service_address, handlers)
        self._connection_ids_by_flow[flow] = set()
        self._register(flow, connection_id)
        self._register(flow, connection.host_cid)
        flow.watch_connection_ids(self._register, self._unregister)
        return flow

    def remove(self, flow: server_flow.Flow) -> None:
        """Remove a flow whose connection has ended."""
        for connection_id in self._connection_ids_by_flow.pop(flow, ()):
            self._flow_by_connection_id.pop(connection_id, None)

    def _mint(self) -> bytes:
        while True:
            nonce = os.urandom(ownership.NONCE_BYTES)
            connection_id = ownership.mint(self._key, self._service, self._owner, nonce)
            if connection_id not in self._flow_by_connection_id:
                return connection_id

    def _reset_token(self, connection_id: bytes) -> bytes:
        return ownership.reset_token(self._key, connection_id)

    def _register(self, flow: server_flow.Flow, connection_id: bytes) -> None:
        self._flow_by_connection_id[connection_id] = flow
        self._connection_ids_by_flow[flow].add(connection_id)

    def _unregister(self, flow: server_flow.Flow, connection_id: bytes) -> None:
        self._flow_by_connection_id.pop(connection_id, None)
        self._connection_ids_by_flow.get(flow, set()).discard(connection_id)

"""Long flows that send one request after the other, and what becomes of them."""

import asyncio

REQUEST_EVERY_S = 0.5
DEADLINE_S = 1.0


class LongFlows:
    """Flows that stay open on one route.

    ``violations`` lists resets of the system's own on flows that their server holds.
    """

    def __init__(self, system, route, *, every_s=REQUEST_EVERY_S):
        self.violations = []
        self.answered = self.unanswered = 0
        self._system, self._route, self._every_s = system, route, every_s
        self._flows, self._tasks = [], []

    async def open(self, count):
        """Open flows and let them send requests."""
        for number in range(count):
            flow = self._system.client.flow(self._route)
            if await flow.open():
                self._flows.append(flow)
                self._tasks.append(asyncio.create_task(self._use(flow, number)))
            else:
                self._system.note('not opened', port=flow.address[1])
        return len(self._flows)

    @property
    def open_count(self):
        """Return how many flows were not reset."""
        return sum(flow.reset_at is None for flow in self._flows)

    def holders(self):
        """Return the names of the servers that hold the flows."""
        return {self._system.holder(flow) for flow in self._flows} - {None}

    def stop(self):
        """Send no more requests."""
        for task in self._tasks:
            task.cancel()

    async def _use(self, flow, number):
        request = 0
        while flow.reset_at is None:
            request += 1
            request_id = f'{number}-{request}'
            holder = self._system.holder(flow)
            body = await flow.request(request_id, DEADLINE_S)
            if flow.reset_at is not None:
                self._record_reset(flow, request_id, self._system.holder(flow) or holder)
                return
            self.answered += body is not None
            self.unanswered += body is None
            self._system.note(
                'request', id=request_id, server=holder, answered=body is not None
            )
            await asyncio.sleep(self._every_s)

    def _record_reset(self, flow, request_id, holder):
        self._system.note(
            'reset',
            port=flow.address[1],
            id=request_id,
            server=holder,
            by_system=flow.is_system_reset,
        )
        if flow.is_system_reset and holder is not None:
            self.violations.append(
                f'flow of port {flow.address[1]}, open at {holder}, was reset'
            )

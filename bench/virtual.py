"""Discrete-event simulation of the decision modules.

A backend server is modelled by its request slots and by the time that it needs
for each request.
"""

import collections
import heapq
import itertools
import random
import typing

from egretjunction import imbalance
from egretjunction import verdicts
from egretjunction.decisions import admission
from egretjunction.decisions import dispatch
from egretjunction.decisions import placement
from egretjunction.decisions import retries
from egretjunction.wire import packets

SLOTS_PER_SERVER = 2
QUEUE_LIMIT = 32
SAME_DOMAIN_HOP_SECONDS = 0.0002
OTHER_DOMAIN_HOP_SECONDS = 0.004
DOMAINS = 4
# Times at which a caller sends its first packet and repeats it.
FIRST_PACKET_TIMES_SECONDS = (0.0, 0.3)
ENTRIES = 4
IDEMPOTENT_SHARE = 0.2
EXPIRE_INTERVAL_SECONDS = 0.1


class Server:
    """One backend server with the dispatcher and the admission of its agent.

    :param name: name of the server.
    :param number: index of the server; sets its port and its failure domain.
    """

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.address = packets.addresses.Address('10.0.0.1', 1024 + number)
        self.weight = 1.0
        self.dispatcher = dispatch.Dispatcher(SLOTS_PER_SERVER, QUEUE_LIMIT)
        self.domain = number % DOMAINS
        self.admission = admission.Admission(self.address)
        self.is_open = True
        self.is_dead = False
        self.open_since = 0.0
        self.open_until = float('inf')
        self.cold_until = 0.0
        self.cold_slowdown = 1.0

    def own_load(self, now: float) -> placement.OwnLoad:
        """Return the load that the agent sees at its own server."""
        return placement.OwnLoad(
            SLOTS_PER_SERVER,
            self.dispatcher.outstanding,
            self.admission.count_reserved(now),
            is_open=self.is_open,
        )

    @property
    def request_count(self) -> int:
        """Return the number of requests that run or wait."""
        return self.dispatcher.outstanding


class Request:
    """One request of a flow, over all its attempts.

    :param flow: the flow that carries the current attempt.
    :param number: number that is unique in the simulation.
    :param arrival_time: virtual time at which the caller made the request.
    :param work_seconds: processing time on a warm server.
    """

    __slots__ = (
        'arrival_time',
        'attempts',
        'deadline',
        'flow',
        'idempotent',
        'number',
        'verdict',
        'work_seconds',
    )

    def __init__(
        self, flow: 'Flow', number: int, arrival_time: float, work_seconds: float
    ) -> None:
        self.flow = flow
        self.number = number
        self.arrival_time = arrival_time
        self.work_seconds = work_seconds
        self.attempts = 0
        self.deadline = float('inf')
        self.idempotent = False
        self.verdict = verdicts.Verdict.NOT_RUN


class Flow:
    """A caller's connection and the requests that it still makes.

    :param key: bytes that are hashed to order the candidates.
    :param request_count: number of requests on the flow.
    """

    __slots__ = ('key', 'requests_left', 'server')

    def __init__(self, key: bytes, request_count: int) -> None:
        self.key = key
        self.requests_left = request_count
        self.server: Server | None = None


class Results:
    """Counters and samples of one simulation run."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.started_work: list[imbalance.SlotUsage] = []
        self.requests = 0
        self.attempts = 0
        self.answered = 0
        self.shed = 0
        self.not_run: set[int] = set()
        self.may_have_run = 0
        self.broken_flows = 0
        self.hops = 0
        self.placed_flows = 0
        self.idempotent: set[int] = set()
        self.runs_by_request: collections.Counter[int] = collections.Counter()


class Simulation:
    """Servers, the views of the entries, and callers in virtual time.

    :param policy: places a flow; returns the server and the seconds that placing
        took, or None as the server if no server took the flow.
    :param seed: seed of the random generators.
    :param mean_work_seconds: mean processing time of a request.
    :param deadline_seconds: time that a request has, over all its attempts.
    """

    def __init__(
        self,
        policy: 'typing.Callable[[Simulation, Flow], tuple[Server | None, float]]',
        seed: int,
        mean_work_seconds: float,
        deadline_seconds: float,
    ) -> None:
        self.policy = policy
        self.random = random.Random(seed)
        self.arrival_random = random.Random(seed + 1)
        self.mean_work_seconds = mean_work_seconds
        self.deadline_seconds = deadline_seconds
        self.now = 0.0
        self.server_by_name: dict[str, Server] = {}
        self.views: list[list[str]] = [[] for _ in range(ENTRIES)]
        self.open_flows: set[Flow] = set()
        self.results = Results()
        self.retry_budgets = [retries.Budget() for _ in range(8)]
        self.reported_load_by_name: dict[str, int] = {}
        self.misreporting_servers: set[str] = set()
        self.owns_flows = True
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._request_numbers = itertools.count(1)
        self.request_by_key: dict[int, tuple[Request, Server]] = {}

    def add_server(self, name: str, *, in_views: bool = True) -> Server:
        """Add a server; by default every entry sees it at once."""
        server = Server(name, len(self.server_by_name))
        server.open_since = self.now
        self.server_by_name[name] = server
        if in_views:
            for view in self.views:
                view.append(name)
        return server

    def servers_open_in(self, window: int, seconds: float) -> list[str]:
        """Return the names of the servers that were open for a whole window.

        :param window: index of the window.
        :param seconds: length of a window.
        """
        begin, end = window * seconds, (window + 1) * seconds
        return [
            server.name
            for server in self.server_by_name.values()
            if server.open_since <= begin and server.open_until >= end
        ]

    def schedule(self, when: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def run(self, end: float) -> None:
        """Run the scheduled actions in order until a virtual time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def schedule_every(
        self, interval_seconds: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedule an action at a fixed interval."""

        def repeat() -> None:
            action()
            self.schedule(self.now + interval_seconds, repeat)

        self.schedule(self.now + interval_seconds, repeat)

    def expire(self) -> None:
        """Shed the queued requests that can no longer meet their deadline."""
        for server in self.server_by_name.values():
            if not server.is_dead:
                self._apply_effects(server, server.dispatcher.expire(self.now))

    def schedule_arrivals(
        self, rate: float, end: float, requests_per_flow: int
    ) -> None:
        """Schedule flows with exponential gaps until a virtual time.

        :param rate: mean number of flows per second.
        """
        gap_seconds = self.arrival_random.expovariate(rate)
        arrival_time = self.now + gap_seconds
        if arrival_time >= end:
            return

        def arrive() -> None:
            self._new_flow(requests_per_flow)
            self.schedule_arrivals(rate, end, requests_per_flow)

        self.schedule(arrival_time, arrive)

    def change_views(
        self, change: typing.Callable[[list[str]], None], spread_seconds: float
    ) -> None:
        """Apply a change to the view of one entry after another.

        :param spread_seconds: time between the first and the last entry.
        """
        for index, view in enumerate(self.views):
            delay_seconds = spread_seconds * index / max(1, ENTRIES - 1)
            self.schedule(
                self.now + delay_seconds,
                lambda view=view: self._change_view(view, change),
            )

    def _change_view(
        self,
        view: list[str],
        change: typing.Callable[[list[str]], None],
    ) -> None:
        change(view)
        if not self.owns_flows:
            self._break_rehashed_flows(view)

    def _break_rehashed_flows(self, view: list[str]) -> None:
        """End and count the flows whose first candidate has changed.

        Without flow ownership, their packets would reach another server.
        """
        members = [self.server_by_name[name] for name in view]
        for flow in list(self.open_flows):
            if flow.server is None:
                continue
            first_candidates = placement.candidates(flow.key, members, 1)
            if first_candidates and first_candidates[0].name != flow.server.name:
                self.results.broken_flows += 1
                self.open_flows.discard(flow)
                flow.requests_left = 0

    def _new_flow(self, requests_per_flow: int) -> None:
        flow = Flow(self.arrival_random.randbytes(8), requests_per_flow)
        request = self._new_request(flow)
        self._place(flow, request)

    def _new_request(self, flow: Flow) -> Request:
        flow.requests_left -= 1
        work_seconds = self.arrival_random.expovariate(1 / self.mean_work_seconds)
        request = Request(flow, next(self._request_numbers), self.now, work_seconds)
        request.idempotent = self.arrival_random.random() < IDEMPOTENT_SHARE
        if request.idempotent:
            self.results.idempotent.add(request.number)
        request.deadline = self.now + self.deadline_seconds
        self.results.requests += 1
        self._retry_budget(request).deposit()
        return request

    def _retry_budget(self, request: Request) -> retries.Budget:
        return self.retry_budgets[request.number % len(self.retry_budgets)]

    def _place(self, flow: Flow, request: Request) -> None:
        request.attempts += 1
        self.results.attempts += 1
        server, placing_seconds = self.policy(self, flow)
        if server is None:
            verdict = verdicts.Verdict.NOT_RUN
            timeout_seconds = retries.handshake_seconds(request.attempts)
            self.schedule(
                self.now + timeout_seconds,
                lambda: self._handle_failure(request, verdict, 0),
            )
            return
        flow.server = server
        self.open_flows.add(flow)
        server.admission.reserve(flow, self.now)
        self.results.placed_flows += 1
        self.schedule(self.now + placing_seconds, lambda: self._offer(server, request))

    def _offer(self, server: Server, request: Request) -> None:
        server.admission.release(request.flow)
        if server.is_dead:
            self._handle_failure(request, verdicts.Verdict.MAY_HAVE_RUN, 0)
            return
        self.request_by_key[request.number] = (request, server)
        queued_request = dispatch.Request(
            request.number, dispatch.Size.SMALL, request.deadline
        )
        self._apply_effects(server, server.dispatcher.offer(queued_request, self.now))

    def _apply_effects(self, server: Server, effects: list[dispatch.Effect]) -> None:
        for effect in effects:
            request = self.request_by_key[effect.key][0]
            if isinstance(effect, dispatch.Start):
                self._start(server, request)
            elif isinstance(effect, dispatch.Shed):
                self.results.shed += 1
                retry_after = effect.retry_after_seconds
                self._handle_failure(request, verdicts.Verdict.NOT_RUN, retry_after)

    def _start(self, server: Server, request: Request) -> None:
        self.results.waits.append(
            (self.now - request.arrival_time) / self.mean_work_seconds
        )
        self.results.runs_by_request[request.number] += 1
        slowdown = server.cold_slowdown if self.now < server.cold_until else 1
        seconds = request.work_seconds * slowdown
        self.results.started_work.append(
            imbalance.SlotUsage(self.now, server.name, seconds)
        )
        self.schedule(self.now + seconds, lambda: self._finish(server, request))

    def _finish(self, server: Server, request: Request) -> None:
        if server.is_dead:
            return
        self.results.answered += 1
        self._apply_effects(server, server.dispatcher.finish(request.number, self.now))
        self._schedule_next_request(request.flow)

    def _schedule_next_request(self, flow: Flow) -> None:
        """Schedule the next request of a flow after a random think time."""
        if flow.requests_left <= 0:
            self.open_flows.discard(flow)
            return
        think_seconds = self.arrival_random.expovariate(
            1 / (4 * self.mean_work_seconds)
        )
        self.schedule(self.now + think_seconds, lambda: self._send_next_request(flow))

    def _send_next_request(self, flow: Flow) -> None:
        if flow.requests_left <= 0:
            return
        request = self._new_request(flow)
        server = flow.server
        if server is None or server.is_dead or not server.is_open:
            self.open_flows.discard(flow)
            request.flow = Flow(self.arrival_random.randbytes(8), flow.requests_left)
            self._place(request.flow, request)
            return
        request.attempts += 1
        self.results.attempts += 1
        self._offer(server, request)

    def _handle_failure(
        self,
        request: Request,
        verdict: verdicts.Verdict,
        retry_after: float,
    ) -> None:
        self.open_flows.discard(request.flow)
        request.verdict = verdicts.over_attempts(request.verdict, verdict)
        verdict = request.verdict
        retry_delay = retries.delay_before_retry(
            retries.Failure(verdict, request.attempts, retry_after),
            request.idempotent,
            request.deadline - self.now,
            self._retry_budget(request),
            self.random.random(),
        )
        if retry_delay is None:
            if verdict is verdicts.Verdict.NOT_RUN:
                self.results.not_run.add(request.number)
            else:
                self.results.may_have_run += 1
            return
        flow = Flow(self.random.randbytes(8), request.flow.requests_left)
        request.flow = flow
        self.schedule(self.now + retry_delay, lambda: self._place(flow, request))

    def kill(self, server: Server) -> None:
        """Kill a server; its unfinished requests end as MAY_HAVE_RUN."""
        server.is_dead = True
        server.is_open = False
        server.open_until = self.now
        for request, assigned_server in list(self.request_by_key.values()):
            if assigned_server is server and server.dispatcher.cancel(
                request.number, self.now
            ):
                self._handle_failure(request, verdicts.Verdict.MAY_HAVE_RUN, 0)

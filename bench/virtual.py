"""Drives the decision modules in virtual time: servers are slots and times."""

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

SLOTS = 2
QUEUE_LIMIT = 32
NEAR_HOP_SECONDS = 0.0002
FAR_HOP_SECONDS = 0.004
DOMAINS = 4
REPEATS_AT = (0.0, 0.3)
ENTRIES = 4
IDEMPOTENT_SHARE = 0.2
EXPIRE_SECONDS = 0.1


class Server:
    """One backend server with the decisions of its agent.

    :param name: its name.
    :param number: its number among all servers.
    """

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.address = packets.addresses.Address('10.0.0.1', 1024 + number)
        self.weight = 1.0
        self.dispatcher = dispatch.Dispatcher(SLOTS, QUEUE_LIMIT)
        self.domain = number % DOMAINS
        self.admission = admission.Admission(self.address)
        self.is_open = True
        self.is_dead = False
        self.since = 0.0
        self.until = float('inf')
        self.cold_until = 0.0
        self.cold_factor = 1.0

    def own_load(self, now: float) -> placement.OwnLoad:
        """Return what the agent knows of its server."""
        return placement.OwnLoad(
            SLOTS,
            self.dispatcher.outstanding,
            self.admission.count_reserved(now),
            is_open=self.is_open,
        )

    @property
    def queued(self) -> int:
        """Return the requests that run or wait."""
        return self.dispatcher.outstanding


class Request:
    """One request of a flow, over all its attempts."""

    __slots__ = (
        'arrived',
        'attempts',
        'deadline',
        'flow',
        'idempotent',
        'number',
        'verdict',
        'work',
    )

    def __init__(self, flow: 'Flow', number: int, arrived: float, work: float) -> None:
        self.flow = flow
        self.number = number
        self.arrived = arrived
        self.work = work
        self.attempts = 0
        self.deadline = float('inf')
        self.idempotent = False
        self.verdict = verdicts.Verdict.NOT_RUN


class Flow:
    """A caller's connection and the requests that it will make."""

    __slots__ = ('key', 'left', 'must_move', 'server')

    def __init__(self, key: bytes, requests: int) -> None:
        self.key = key
        self.left = requests
        self.server: Server | None = None
        self.must_move = False


class Tally:
    """What a run has shown."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.done: list[imbalance.Work] = []
        self.requests = 0
        self.attempts = 0
        self.answered = 0
        self.shed = 0
        self.not_run: set[int] = set()
        self.may_have_run = 0
        self.broken_flows = 0
        self.hops = 0
        self.placed = 0
        self.idempotent: set[int] = set()
        self.runs_by_request: collections.Counter[int] = collections.Counter()


class World:
    """Servers, entries' views and callers in virtual time.

    :param choose: the policy; returns a server and the seconds that placing took,
        or None when the caller's first packets were lost.
    :param seed: seed of arrivals and work.
    :param work_seconds: mean service time.
    """

    def __init__(
        self,
        choose: 'typing.Callable[[World, Flow], tuple[Server | None, float]]',
        seed: int,
        work_seconds: float,
        deadline_seconds: float,
    ) -> None:
        self.choose = choose
        self.random = random.Random(seed)
        self.arrivals = random.Random(seed + 1)
        self.work_seconds = work_seconds
        self.deadline_seconds = deadline_seconds
        self.now = 0.0
        self.server_by_name: dict[str, Server] = {}
        self.views: list[list[str]] = [[] for _ in range(ENTRIES)]
        self.open_flows: set[Flow] = set()
        self.tally = Tally()
        self.budgets = [retries.Budget() for _ in range(8)]
        self.stale_load: dict[str, int] = {}
        self.lying: set[str] = set()
        self.owns_flows = True
        self._order = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self.request_by_key: dict[int, tuple[Request, Server]] = {}

    def add_server(self, name: str, *, in_views: bool = True) -> Server:
        """Add a server; by default every entry sees it at once."""
        server = Server(name, len(self.server_by_name))
        server.since = self.now
        self.server_by_name[name] = server
        if in_views:
            for view in self.views:
                view.append(name)
        return server

    def serving_in(self, window: int, seconds: float) -> list[str]:
        """Return the servers that were open for the whole of a window."""
        begin, end = window * seconds, (window + 1) * seconds
        return [
            server.name
            for server in self.server_by_name.values()
            if server.since <= begin and server.until >= end
        ]

    def at(self, when: float, work: typing.Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when, next(self._order), work))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, work = heapq.heappop(self._events)
            work()

    def every(self, seconds: float, work: typing.Callable[[], None]) -> None:
        """Do something again and again."""

        def again() -> None:
            work()
            self.at(self.now + seconds, again)

        self.at(self.now + seconds, again)

    def expire(self) -> None:
        """Let every agent shed what has become hopeless."""
        for server in self.server_by_name.values():
            if not server.is_dead:
                self._apply(server, server.dispatcher.expire(self.now))

    def poisson(self, rate: float, end: float, requests: int) -> None:
        """Let flows arrive at random until a time."""
        pause = self.arrivals.expovariate(rate)
        when = self.now + pause
        if when >= end:
            return

        def arrive() -> None:
            self._new_flow(requests)
            self.poisson(rate, end, requests)

        self.at(when, arrive)

    def change_views(
        self, change: typing.Callable[[list[str]], None], lag: float
    ) -> None:
        """Let entries learn of a change one after another within a time."""
        for number, view in enumerate(self.views):
            delay = lag * number / max(1, ENTRIES - 1)
            self.at(self.now + delay, lambda view=view: self._change_view(view, change))

    def _change_view(
        self,
        view: list[str],
        change: typing.Callable[[list[str]], None],
    ) -> None:
        change(view)
        if not self.owns_flows:
            self._rehash(view)

    def _rehash(self, view: list[str]) -> None:
        """Count flows that a balancer without ownership would move elsewhere."""
        members = [self.server_by_name[name] for name in view]
        for flow in list(self.open_flows):
            if flow.server is None:
                continue
            first = placement.candidates(flow.key, members, 1)
            if first and first[0].name != flow.server.name:
                self.tally.broken_flows += 1
                self.open_flows.discard(flow)
                flow.left = 0

    def _new_flow(self, requests: int) -> None:
        flow = Flow(self.arrivals.randbytes(8), requests)
        request = self._new_request(flow)
        self._place(flow, request)

    def _new_request(self, flow: Flow) -> Request:
        flow.left -= 1
        work = self.arrivals.expovariate(1 / self.work_seconds)
        request = Request(flow, next(self._numbers), self.now, work)
        request.idempotent = self.arrivals.random() < IDEMPOTENT_SHARE
        if request.idempotent:
            self.tally.idempotent.add(request.number)
        request.deadline = self.now + self.deadline_seconds
        self.tally.requests += 1
        self._budget(request).deposit()
        return request

    def _budget(self, request: Request) -> retries.Budget:
        return self.budgets[request.number % len(self.budgets)]

    def _place(self, flow: Flow, request: Request) -> None:
        request.attempts += 1
        self.tally.attempts += 1
        server, spent = self.choose(self, flow)
        if server is None:
            failed = verdicts.Verdict.NOT_RUN
            patience = retries.handshake_seconds(request.attempts)
            self.at(self.now + patience, lambda: self._failed(request, failed, 0))
            return
        flow.server = server
        self.open_flows.add(flow)
        server.admission.reserve(flow, self.now)
        self.tally.placed += 1
        self.at(self.now + spent, lambda: self._offer(server, request))

    def _offer(self, server: Server, request: Request) -> None:
        server.admission.release(request.flow)
        if server.is_dead:
            self._failed(request, verdicts.Verdict.MAY_HAVE_RUN, 0)
            return
        self.request_by_key[request.number] = (request, server)
        offered = dispatch.Request(
            request.number, dispatch.Size.SMALL, request.deadline
        )
        self._apply(server, server.dispatcher.offer(offered, self.now))

    def _apply(self, server: Server, found: list[dispatch.Effect]) -> None:
        for effect in found:
            request = self.request_by_key[effect.key][0]
            if isinstance(effect, dispatch.Start):
                self._start(server, request)
            elif isinstance(effect, dispatch.Shed):
                self.tally.shed += 1
                after = effect.retry_after_seconds
                self._failed(request, verdicts.Verdict.NOT_RUN, after)

    def _start(self, server: Server, request: Request) -> None:
        self.tally.waits.append((self.now - request.arrived) / self.work_seconds)
        self.tally.runs_by_request[request.number] += 1
        factor = server.cold_factor if self.now < server.cold_until else 1
        seconds = request.work * factor
        self.tally.done.append(imbalance.Work(self.now, server.name, seconds))
        self.at(self.now + seconds, lambda: self._finish(server, request))

    def _finish(self, server: Server, request: Request) -> None:
        if server.is_dead:
            return
        self.tally.answered += 1
        self._apply(server, server.dispatcher.finish(request.number, self.now))
        self._next(request.flow)

    def _next(self, flow: Flow) -> None:
        """Go on with a flow: think, then ask again, on a new flow if it must move."""
        if flow.left <= 0:
            self.open_flows.discard(flow)
            return
        think = self.arrivals.expovariate(1 / (4 * self.work_seconds))
        self.at(self.now + think, lambda: self._ask_again(flow))

    def _ask_again(self, flow: Flow) -> None:
        if flow.left <= 0:
            return
        request = self._new_request(flow)
        server = flow.server
        if server is None or server.is_dead or not server.is_open:
            self.open_flows.discard(flow)
            request.flow = Flow(self.arrivals.randbytes(8), flow.left)
            self._place(request.flow, request)
            return
        request.attempts += 1
        self.tally.attempts += 1
        self._offer(server, request)

    def _failed(
        self,
        request: Request,
        verdict: verdicts.Verdict,
        retry_after: float,
    ) -> None:
        self.open_flows.discard(request.flow)
        request.verdict = verdicts.over_attempts(request.verdict, verdict)
        verdict = request.verdict
        delay = retries.delay_before_retry(
            retries.Failure(verdict, request.attempts, retry_after),
            request.idempotent,
            request.deadline - self.now,
            self._budget(request),
            self.random.random(),
        )
        if delay is None:
            if verdict is verdicts.Verdict.NOT_RUN:
                self.tally.not_run.add(request.number)
            else:
                self.tally.may_have_run += 1
            return
        flow = Flow(self.random.randbytes(8), request.flow.left)
        request.flow = flow
        self.at(self.now + delay, lambda: self._place(flow, request))

    def kill(self, server: Server) -> None:
        """End a server at once; what it was running may have run."""
        server.is_dead = True
        server.is_open = False
        server.until = self.now
        for request, where in list(self.request_by_key.values()):
            if where is server and server.dispatcher.cancel(request.number, self.now):
                self._failed(request, verdicts.Verdict.MAY_HAVE_RUN, 0)

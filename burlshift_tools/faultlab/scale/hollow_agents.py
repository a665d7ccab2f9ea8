"""Hollow agents: the real list client, list, decisions and rules of the agent, many to a process, with no
application and no door. `python -m burlshift_tools.faultlab.scale.hollow_agents` is one process of them, led
over its pipes.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import signal
import sys
import time
from contextlib import suppress
from typing import Any

import msgspec

from burlshift.agent.agent import Agent
from burlshift.agent.clock import Clock
from burlshift.agent.config import Config, load
from burlshift.agent.connection_pool import UpstreamConnectionPool
from burlshift.agent.discovery import PUSH_WAIT_MS, Discovery
from burlshift.agent.discovery_call import DiscoveryCall
from burlshift.agent.list_keeper import WATCH_RETRY_SHARE, ListKeeper
from burlshift.agent.listing import Address, Listing, ListingParser, parse_address
from burlshift.agent.metrics import Metrics
from burlshift.balancing.logic import Balancer
from burlshift.catalog.client import member_path

from .fleet_orders import Clear, Move, Order, Plan, Renew, Renewed, Seen, Start, Until
from .fleet_turns import Turns

CONNECTIONS = 16  # to backends, of each: it has no calls to send there
SAME_KEPT = 8  # answers whose meaning is kept for all who get the same
CALL_S = 2.0
NOTHING = Listing(0, True, ())


class SameAnswers:
    """Read once for all agents of a process that get the same bytes: on machines of their own each would read
    them beside the others, here one after the other, and their times would be the tool's."""

    def __init__(self) -> None:
        self._known: dict[bytes, Listing] = {}

    def listing(self, body: bytes, parser: ListingParser) -> Listing:
        found = self._known.get(body)
        if found is None:
            if len(self._known) >= SAME_KEPT:
                del self._known[next(iter(self._known))]
            found = self._known[body] = parser.parse(json.loads(body))
        return found


class CountedDiscovery(Discovery):
    """The agent's list client, which counts bytes and knows when the last of them came."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        parser: ListingParser,
        connect_s: float,
        same: SameAnswers | None,
    ) -> None:
        super().__init__(addresses, parser, None, connect_s, PUSH_WAIT_MS)
        self._same = same
        self.received = self.came_ns = 0

    async def _open_call(self, call: DiscoveryCall | None) -> DiscoveryCall:
        got = await super()._open_call(call)
        if got is not call:

            def counted(nbytes: int, real: Any = got.buffer_updated) -> None:
                self.received += nbytes
                self.came_ns = time.monotonic_ns()
                real(nbytes)

            vars(got)["buffer_updated"] = counted
        return got

    async def _request(self, call: DiscoveryCall, target: str, limit_s: float) -> Listing:
        if self._same is None:
            return await super()._request(call, target, limit_s)
        async with asyncio.timeout(limit_s):
            body = await call.get(target)
        self.last_answer_at = asyncio.get_running_loop().time()
        return self._same.listing(body, self.parser)


class HollowList(ListKeeper):
    """An agent's list that notes what it was told and when; it takes all of it in."""

    agent: HollowAgent

    def on_listing(self, listing: Listing | None) -> None:
        self.take_in(listing)
        self.agent.told(listing)

    def take_in(self, listing: Listing | None) -> None:
        """As the agent does."""
        super().on_listing(listing)


class FollowedList(HollowList):
    """One that lets what it is told go, but for the agent's own rule for a watch that broke."""

    def take_in(self, listing: Listing | None) -> None:
        if listing is None:
            super().take_in(None)
        else:
            self._watch_retry_s = WATCH_RETRY_SHARE * self._drain_grace_s


class HollowAgent(Agent):
    """An agent that notes what it was told and when; it takes all of it in, and decides."""

    kept_in: type[HollowList] = HollowList

    def __init__(self, config: Config, clock: Clock, seed: int, crowd: Crowd) -> None:
        settings = config.settings
        metrics = Metrics([c.name for c in settings.classes])
        connection_pool = UpstreamConnectionPool(
            clock,
            settings.report_fields,
            config.connect_timeout_us,
            config.conn_idle_us,
            CONNECTIONS,
            metrics.count_attempt,
        )
        self.list_client = CountedDiscovery(
            config.discovery, config.parser, config.connect_timeout_us / 1e6, crowd.same
        )
        grace_s = config.drain_grace_us / 1e6
        super().__init__(Balancer(settings, seed), clock, connection_pool, self.list_client, metrics, grace_s)
        kept = self.kept_in(self.list_client, connection_pool, None, settings, grace_s, self._post)
        kept.agent = self
        self._list = kept
        self._crowd = crowd
        self.seen: list[tuple[int, bool, int, int]] = []  # revision, whole, arrived, taken in

    def told(self, listing: Listing | None) -> None:
        """Note what came; None: the watch has broken."""
        if listing is None:
            self._crowd.seen.failed += 1
            return
        self.seen.append((listing.revision, listing.complete, self.list_client.came_ns, time.monotonic_ns()))
        self._crowd.told(self, listing)


class Follower(HollowAgent):
    """One that follows the list by the agent's rules and lets what it says go: the list and the decisions of
    3,100 agents are the work of as many processors."""

    kept_in = FollowedList


class Crowd:
    """All hollow agents of one process."""

    def __init__(self, plan: Plan, config: Config, clock: Clock, turns: Turns) -> None:
        self.turns, self.seen = turns, Seen()
        self.same = None if plan.deciding else SameAnswers()
        kind = HollowAgent if plan.deciding else Follower
        self.agents = [kind(config, clock, plan.seed + i, self) for i in range(plan.agents)]
        self._wanted: tuple[int, bool] = (0, False)
        self._missing: set[HollowAgent] = set()
        self._all = asyncio.Event()

    async def start(self, spread_s: float) -> None:
        for agent in self.agents:
            agent.start(NOTHING)
            await asyncio.sleep(spread_s / len(self.agents))

    async def move(self, address: str, spread_s: float) -> None:
        to = (parse_address(address),)
        for agent in self.agents:
            agent.set_discovery_addresses(to)
            if spread_s:
                await asyncio.sleep(spread_s / len(self.agents))

    def clear(self) -> None:
        self.seen = Seen()
        for agent in self.agents:
            agent.seen.clear()
            agent.list_client.received = 0
        self.turns.clear()

    def told(self, agent: HollowAgent, listing: Listing) -> None:
        self.seen.wholes += listing.complete
        self.seen.changes += not listing.complete
        revision, whole = self._wanted
        if listing.revision >= revision and listing.complete >= whole:
            self._missing.discard(agent)
            if not self._missing:
                self._all.set()

    async def until(self, order: Until) -> Seen:
        self._wanted = (order.revision, order.whole)
        self._missing = {a for a in self.agents if self._when(a) == (0, 0)}
        self._all.clear()
        if self._missing:
            with suppress(TimeoutError):
                async with asyncio.timeout(order.limit_s):
                    await self._all.wait()
        when = [self._when(a) for a in self.agents]
        turns = self.turns
        return msgspec.structs.replace(
            self.seen,
            arrived=[a for a, _ in when],
            taken=[t for _, t in when],
            received=[a.list_client.received for a in self.agents],
            lost_ms=turns.lost_ms,
            busy_ms=turns.busy_ms,
            cpu_s=turns.cpu_s,
        )

    def _when(self, agent: HollowAgent) -> tuple[int, int]:
        revision, whole = self._wanted
        return next(
            (
                (arrived, taken)
                for had, complete, arrived, taken in agent.seen
                if had >= revision and complete >= whole
            ),
            (0, 0),
        )

    async def carry_out(self, order: Order) -> msgspec.Struct:
        if isinstance(order, Start):
            await self.start(order.spread_s)
        elif isinstance(order, Move):
            await self.move(order.address, order.spread_s)
        elif isinstance(order, Clear):
            self.clear()
        elif isinstance(order, Until):
            return await self.until(order)
        else:
            self.turns.clear()
            renewed = await renew_all(order)
            renewed.lost_ms = self.turns.lost_ms
            return renewed
        return Seen()


async def renew_all(order: Renew) -> Renewed:
    """Open loop: a renewal is due whether or not the one before it has been answered."""
    loop, made = asyncio.get_running_loop(), Renewed()
    at = parse_address(order.at)
    step, began = order.every_s / max(1, len(order.ids)), loop.time()

    async def one(name: str, due: float) -> None:
        request = (
            f"POST {member_path(name)}/renew HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        writer = None
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(at.host, at.port)
                writer.write(request.encode())
                line = await reader.readline()
                await reader.read()
            made.took_ms.append((loop.time() - due) * 1000)
            made.refused += line.split(b" ")[1:2] != [b"200"]
        except (OSError, TimeoutError):
            made.unanswered += 1
        finally:
            if writer is not None:
                writer.close()

    async with asyncio.TaskGroup() as group:
        for n in range(int(order.for_s / step) if order.ids else 0):
            due = began + n * step
            await asyncio.sleep(max(0.0, due - loop.time()))
            group.create_task(one(order.ids[n % len(order.ids)], due))
    return made


async def serve(plan: Plan) -> None:
    """Until standard input ends: it never outlives who leads it."""
    clock, turns = Clock(), Turns()
    crowd = Crowd(plan, load({"RELAY_CONFIG": plan.config}, clock), clock, turns)
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=2**24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    gc.collect()
    gc.freeze()
    watch = loop.create_task(turns.watch())
    print("{}", flush=True)
    decoder = msgspec.json.Decoder(Order)
    while line := await reader.readline():
        answer = await crowd.carry_out(decoder.decode(line))
        print(msgspec.json.encode(answer).decode(), flush=True)
    watch.cancel()


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's to hear
    logging.getLogger("burlshift.agent").setLevel(
        logging.ERROR
    )  # that hundreds lost their service is no news here
    plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)
    asyncio.run(serve(plan))


if __name__ == "__main__":
    main()

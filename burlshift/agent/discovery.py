"""The list of backends: its form, and the watch that keeps it up to date."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import h11

from burlshift.balancing.interface import TOLD_US, Backend, State

from .clock import Clock
from .connection import Connection, fields_of, header
from .start_times import StartTimes

log = logging.getLogger(__name__)

PATH = "/catalog/members"
# How long a call may wait for news. What one that falls silent misses counts as told 6 s after that, or 2 s
# after its wait, whichever is later. Where changes are pushed a call costs nothing, and a short one finds
# silence within the 6 s; where each costs a discovery that all share, they are long.
PUSH_WAIT_MS, ASK_WAIT_MS = 4_000, 20_000
SILENT_S = 1.0  # past its wait: half of what is left then, the other half is for the next call
ANSWER_S = 2.0  # to a call that has nothing to wait for
ANSWER_BYTES = 4 * 1024 * 1024  # of an answer
# What discovery has and could tell counts as told after TOLD_S, whatever became of the call before, and what
# a silent one missed so long after its wait. A connect that does not come up may have begun just too early.
TOLD_S, TOLD_PAST_S = TOLD_US / 1e6, 2.0
CONNECT_MOST_S, CALL_S = 0.5, 0.5  # CALL_S: connect, question and answer, where it can be reached
# The longest wait after a pushed call: where it fell silent, the rest of the time has been spent on it.
AGAIN_MOST_S = TOLD_S - (PUSH_WAIT_MS / 1000 + SILENT_S) - CALL_S
# Where there are several addresses: a call a second at most, and full jitter (Brooker 2015), so that agents
# that were left together do not come back together.
CALL_EVERY_S, ELSEWHERE_FIRST_S = 1.0, 0.5
# An answer that says it is older than this (Age, RFC 9111) comes from a follower that does not hear the
# leader: of two, one behind the other, the second tells 7 s at most. Another may be nearer, and is tried
# after half to all of that again, by chance, so that a cut follower's readers do not leave it together.
OLD_S = 10.0
STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


@dataclass(slots=True, frozen=True)
class Address:
    """Where something listens: host and port."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Member:
    """A server of the list: the backend as the policy knows it, and its address."""

    backend: Backend
    address: Address
    up_since_ms: int = 0  # the latest start as the list gives it; with the id the name of the process

    def same_process(self, other: Member | None) -> bool:
        """Whether a connection to the one leads to the other."""
        return other is self or (
            other is not None
            and self.address == other.address
            and self.backend.started_at == other.backend.started_at
        )


@dataclass(slots=True, frozen=True)
class Listing:
    """An answer of discovery: the whole list, or what has changed."""

    revision: int
    complete: bool
    members: tuple[Member, ...]
    identity: str | None = None  # of the list, where the service gives it one


def parse_addresses(value: str | list[str]) -> tuple[Address, ...]:
    """One address, or several that give the same list; text may have them between commas."""
    texts = value.split(",") if isinstance(value, str) else value
    found = tuple(parse_address(text.strip()) for text in texts)
    if not found:
        raise ValueError("no address of discovery")
    return found


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return Address(host, int(port))


class ListingParser:
    """Turns discovery's JSON into a Listing; raises ValueError on anything that does not fit its form."""

    def __init__(self, clock: Clock, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.starts = StartTimes(clock)
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}

    def parse(self, doc: Any) -> Listing:
        try:
            rows, complete, identity = doc["members"], bool(doc["complete"]), doc.get("list")
            if complete:
                self.starts.whole_list(str(m["id"]) for m in rows)
            members = tuple(self._member(m) for m in rows)
            if not complete:
                self.starts.change(
                    [str(m.backend.id) for m in members],
                    [str(m.backend.id) for m in members if m.backend.state is State.GONE],
                )
            return Listing(
                int(doc["revision"]), complete, members, identity if isinstance(identity, str) else None
            )
        except (KeyError, TypeError, AttributeError, OverflowError) as e:
            raise ValueError(f"list of backends: {type(e).__name__} {e}") from None

    def form(self, member: Member) -> dict[str, Any]:
        """A member as discovery would name it."""
        b = member.backend
        phase = next(name for name, state in STATES.items() if state is b.state)
        return {
            "id": str(b.id),
            "host_port": f"{member.address.host}:{member.address.port}",
            "phase": phase,
            "locality": next((name for name, i in self._zones.items() if i == b.zone), None),
            "flavor": next((name for name, i in self._kinds.items() if i == b.kind), None),
            "cell": b.cell,
            "size": b.capacity_hint,
            "up_since_ms": member.up_since_ms,
        }

    def _member(self, m: Any) -> Member:
        name, up_since_ms = str(m["id"]), int(m.get("up_since_ms") or 0)
        backend = Backend(
            name,
            STATES[m["phase"]],
            self._zones.get(m.get("locality"), 0),
            int(m.get("cell") or 0),
            self._kinds.get(m.get("flavor"), 0),
            float(m.get("size") or 1.0),
            self.starts.started_at(name, up_since_ms),
        )
        return Member(backend, parse_address(m["host_port"]), up_since_ms)


class RevisionWentBack(ConnectionError):
    """A list that leads back from what was told, of the same identity."""


class DiscoveryCall(Connection):
    """A connection to discovery; one call at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._answer: asyncio.Future[bytes] | None = None
        self._status = 0
        self.age_s = 0  # of the latest answer, where it says so
        self._body = bytearray()

    async def get(self, target: str) -> bytes:
        """The body of a 200; anything else raises."""
        self._status, self._body = 0, bytearray()
        self._answer = asyncio.get_running_loop().create_future()
        request = h11.Request(method="GET", target=target, headers=[("Host", "discovery")])
        self.send(request, h11.EndOfMessage())
        return await self._answer

    def on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._status = event.status_code
            age = header(fields_of(event.headers), b"age") or ""
            self.age_s = int(age) if age.isascii() and age.isdigit() and len(age) < 11 else 0
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > ANSWER_BYTES:
                self._end(ConnectionError("answer too long"))
        elif isinstance(event, h11.EndOfMessage):
            reusable = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
            if reusable:
                self.http.start_next_cycle()
            else:
                self.closed = True
            self._end(None if self._status == 200 else ConnectionError(f"status {self._status}"))

    def on_broken(self, error: Exception) -> None:
        self._end(error)

    def on_end(self) -> None:
        self.closed = True
        self._end(ConnectionError("connection ended"))

    def _end(self, error: Exception | None) -> None:
        answer, self._answer = self._answer, None
        if answer is None or answer.done():
            return
        if error is None:
            answer.set_result(bytes(self._body))
        else:
            answer.set_exception(error)


class Discovery:
    """Asks discovery. A watch goes on by itself from call to call until a call fails; where there are several
    addresses it goes on at another. What it tells of a list that has an identity never goes back."""

    keeps_on = False  # with one address too, where a watch would else be said to have broken

    def __init__(
        self,
        addresses: tuple[Address, ...],
        parser: ListingParser,
        revision: int | None,
        connect_s: float,
        wait_ms: int,
    ) -> None:
        self._addresses, self.parser = addresses, parser
        self._connect_s = min(connect_s, CONNECT_MOST_S)
        self._wait_ms = wait_ms
        self._at = 0  # the address in use
        self._revision = revision  # None: the whole list is wanted first
        self._identity: str | None = None
        self._latest: tuple[str | None, int] = (None, 0)  # identity and revision that were told, wherever
        self._disputed: tuple[str | None, int] = (None, 0)  # the list that went back, and has been said to
        self._leave_at: float | None = None  # an answer was old: when to look elsewhere
        self._failed = 0  # calls in a row
        self._called = -CALL_EVERY_S  # when the latest connect began, by the loop's clock
        self._asked = 0.0  # when the watch's latest call did, by the same
        self.silent = False  # that call got no answer in its time
        self.heard_at: float | None = None  # when anything was heard last, by the same
        self._watching: asyncio.Task[None] | None = None
        self._told: Callable[[Listing | None], None] | None = None
        self._fetches: dict[asyncio.Task[None], Callable[[Listing | None], None]] = {}

    def watch(self, told: Callable[[Listing | None], None]) -> None:
        """Report every change from now on; None, once, when the watch has broken."""
        self._told = told
        if self._watching is None or self._watching.done():
            self._watching = asyncio.get_running_loop().create_task(self._watch(told))

    def stop(self) -> None:
        """Ask nothing more."""
        if self._watching is not None:
            self._watching.cancel()

    def move(self, addresses: tuple[Address, ...]) -> None:
        """Ask there from now on, without a break for whoever watches.

        The whole list comes first: that the revisions of the one go on at the other is promised nowhere.
        """
        self.parser.starts.moved()
        self._addresses, self._at, self._failed = addresses, 0, 0
        self._revision = self._identity = None
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
        if self._told is not None:
            self.watch(self._told)
        fetches, self._fetches = self._fetches, {}
        for task, told in fetches.items():
            task.cancel()
            self.fetch(told)

    def fetch(self, told: Callable[[Listing | None], None]) -> None:
        """Report the whole list once, or None."""
        task = asyncio.get_running_loop().create_task(self._fetch(told))
        self._fetches[task] = told
        task.add_done_callback(lambda done: self._fetches.pop(done, None))

    async def _watch(self, told: Callable[[Listing | None], None]) -> None:
        call: DiscoveryCall | None = None
        try:
            while True:
                self._asked, self.silent = asyncio.get_running_loop().time(), False
                try:
                    call = await self._connected(call)
                    self.silent = True
                    listing = await self._next(call)
                    follows = self._follows(listing)
                except Exception as e:
                    if not self._said(e):
                        _failed(e)
                    self.silent = self.silent and isinstance(e, TimeoutError)
                    if len(self._addresses) == 1 and not (self.keeps_on or isinstance(e, RevisionWentBack)):
                        break
                    if call is not None:
                        call.drop()
                        call = None
                    await self._elsewhere()
                    continue
                self._failed = 0
                if follows and (listing.members or listing.complete):
                    _tell(told, listing)
                if self._leaves(call.age_s):
                    log.info("the list is %d s old: it is looked for elsewhere", call.age_s)
                    call.drop()
                    call = None
                    self._turn()
        finally:
            if call is not None:
                call.drop()
        self._watching = None  # before the report: the answer to it may be the next watch
        told(None)

    async def _next(self, call: DiscoveryCall) -> Listing:
        """The next answer to the watch."""
        if self._revision is None:
            return await self._ask(call, PATH, ANSWER_S)
        target = f"{PATH}?index={self._revision}&wait={self._wait_ms}"
        if self._identity is not None:
            target += f"&list={quote(self._identity)}"
        return await self._ask(call, target, self._wait_ms / 1000 + SILENT_S)

    def _follows(self, listing: Listing) -> bool:
        """Whether it goes on from what was heard before.

        Changes to a list that went back, or to another, are not laid over this one: all of it is asked for.
        Raises WentBack where that is still below what was told.
        """
        behind = self._behind(listing)
        if behind and listing.complete:
            # Once it is ahead again it may have come there by another way: nothing goes on from what is here.
            self._revision = None
            raise RevisionWentBack(
                f"revision {listing.revision} after {self._latest[1]}, both of {listing.identity}"
            )
        back = behind or (self._revision is not None and listing.revision < self._revision)
        other = self._identity is not None and listing.identity != self._identity
        if back or other:
            log.warning(
                "the list %s: revision %s after %s",
                "is another one" if other else "went back",
                listing.revision,
                self._revision,
            )
        wanted = (back or other) and not listing.complete
        self._revision, self._identity = None if wanted else listing.revision, listing.identity
        if not wanted:
            self._note(listing)
        return not wanted

    def _note(self, listing: Listing) -> None:
        if listing.identity is not None:
            self._latest = listing.identity, listing.revision

    def _behind(self, listing: Listing) -> bool:
        """Whether it is an older state of the list that was told, as a follower may have."""
        identity, revision = self._latest
        return identity is not None and listing.identity == identity and listing.revision < revision

    def _said(self, e: Exception) -> bool:
        """A list that went back is said loudly, and not again until one goes on."""
        if not isinstance(e, RevisionWentBack):
            return False
        if self._disputed != self._latest:
            self._disputed = self._latest
            log.error(
                "%s:%d went back and is not followed: %s; what was told stays until it is ahead again "
                "or has another list (`catalog restore` makes one)",
                self.address.host,
                self.address.port,
                e,
            )
        return True

    def _leaves(self, age_s: int) -> bool:
        """Whether an old answer is reason enough now to look for a fresher one."""
        now = asyncio.get_running_loop().time()
        if age_s <= OLD_S or len(self._addresses) == 1:
            self._leave_at = None
        elif self._leave_at is None:
            self._leave_at = now + OLD_S * (0.5 + random.random() / 2)
        elif now >= self._leave_at:
            self._leave_at = None
            return True
        return False

    async def _elsewhere(self) -> None:
        """Leave this address for another, after a while of chance that grows with each failure.

        Only one of them may be there to tell: each gets its turn within the time after which that counts as
        told, as far as a call a second allows, and the next one before what this call missed does.
        """
        loop = asyncio.get_running_loop()
        self._failed += 1
        self._turn()
        turn = (TOLD_S - CALL_S) / len(self._addresses) - self._connect_s
        due = self._asked + max(TOLD_S, self._wait_ms / 1000 + TOLD_PAST_S) - CALL_S
        most = max(0.0, min(turn, ELSEWHERE_FIRST_S * 2 ** min(self._failed, 10), due - loop.time()))
        address = self.address
        log.info("discovery is asked at %s:%d next", address.host, address.port)
        await asyncio.sleep(max(random.random() * most, self._called + CALL_EVERY_S - loop.time()))

    def _turn(self) -> None:
        """To the next address, in an order of its own: were it the list's, all that leave one would come to
        the same next one."""
        count = len(self._addresses)
        if self._failed <= 1:
            here, others = self.address, list(self._addresses)
            others.remove(here)
            self._addresses, self._at = (here, *random.sample(others, count - 1)), 0
        self._at = (self._at + 1) % count
        if self._identity is None:
            self._revision = None  # whether the other counts as this one did is not known

    @property
    def address(self) -> Address:
        """That is asked now."""
        return self._addresses[self._at]

    async def _fetch(self, told: Callable[[Listing | None], None]) -> None:
        call: DiscoveryCall | None = None
        listing: Listing | None = None
        try:
            call = await self._connected(None)
            listing = await self._ask(call, PATH, ANSWER_S)
        except Exception as e:
            _failed(e)
        finally:
            if call is not None:
                call.drop()
        if listing is not None and (
            self._behind(listing) or (self._revision is not None and listing.revision < self._revision)
        ):
            log.warning("a whole list of revision %s came after %s", listing.revision, self._revision)
            listing = None  # the watch has told what is newer
        if listing is not None:
            self._note(listing)
        told(listing)

    async def _connected(self, call: DiscoveryCall | None) -> DiscoveryCall:
        """The same connection while discovery keeps it, else a new one."""
        if call is not None:
            if not call.closed:
                return call
            call.drop()
        loop = asyncio.get_running_loop()
        address, self._called = self.address, loop.time()
        async with asyncio.timeout(self._connect_s):
            _, call = await loop.create_connection(DiscoveryCall, address.host, address.port)
        return call

    async def _ask(self, call: DiscoveryCall, target: str, limit_s: float) -> Listing:
        # Bounded: a machine that is cut off says nothing, and the watch would wait for ever.
        loop = asyncio.get_running_loop()
        asked = loop.time()
        async with asyncio.timeout(limit_s):
            answer = await call.get(target)
            held_s = loop.time() - asked
            if target != PATH and held_s > ANSWER_S:
                self.parser.starts.held(held_s)
            listing = self.parser.parse(json.loads(answer))
        if not self._behind(listing):
            self.parser.starts.heard(call.age_s)
            heard_at = loop.time() - call.age_s
            self.heard_at = heard_at if self.heard_at is None else max(self.heard_at, heard_at)
        return listing


def _tell(told: Callable[[Listing | None], None], listing: Listing) -> None:
    """Whoever cannot take a list in must not end the watch: no later one would ever be heard."""
    try:
        told(listing)
    except Exception:
        log.exception("list of revision %s not taken in", listing.revision)


def _failed(e: Exception) -> None:
    """What discovery does wrong is one line; a fault of the agent's own shows where it is."""
    foreseen = isinstance(e, OSError | ValueError | h11.ProtocolError)
    log.warning("call to discovery failed: %s", str(e) or type(e).__name__, exc_info=not foreseen)

"""A client's request, its tries, and the attempts that an agent makes for a try."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlshift.balancing.interface import Effect, Group, Outcome, RequestClass

from .servers import NOWHERE

if TYPE_CHECKING:
    from .agents import Host
    from .servers import Server

TRIES = 16  # a try's id is TRIES * its request's number + the count of the try: at most so many


class First:
    """What a client wants: all its tries count as one request."""

    __slots__ = ("id", "cls", "at", "key", "work", "agent", "tries", "ended", "heeds", "refused")

    def __init__(self, id: int, cls: int, at: int, key: int, work: float, agent: int, heeds: bool) -> None:
        self.id, self.cls, self.at, self.key, self.work, self.agent = id, cls, at, key, work, agent
        self.tries = 0
        self.ended = False
        self.heeds = heeds  # Retry-After
        self.refused = False  # how its last try ended


class Try:
    """One try, as the agent sees it: a request with an id, a patience, and one final answer owed."""

    __slots__ = ("first", "id", "until", "sends", "open", "may_have_run", "out", "host", "runs")

    def __init__(self, first: First, until: int, host: Host) -> None:
        self.first, self.until, self.host = first, until, host
        self.id = first.id * TRIES + first.tries
        self.sends = 0
        self.open = True
        self.runs = 0  # how often servers carried it out to the end
        self.may_have_run: list[Attempt] = []
        self.out: dict[int, Attempt] = {}

    def may_send_to(self, server: Server, now: int, c: RequestClass) -> bool:
        """Rule 2 (WIRE, four things never to do) for one more attempt."""
        if not self.may_have_run or c.effect is Effect.SAFE:
            return True
        if c.effect is Effect.UNSAFE:
            return False
        first = self.may_have_run[0]
        if now > first.sent_at + c.window_us:
            return False
        return c.group is Group.ALL or (
            server.zone == first.server.zone if c.group is Group.ZONE else server.cell == first.server.cell
        )

    def may_refuse(self, c: RequestClass) -> bool:
        """Rule 2 for the answer that tells the client to come again."""
        return (
            not self.may_have_run
            or c.effect is Effect.SAFE
            or (c.effect is Effect.KEYED and c.group is Group.ALL)
        )


class Attempt:
    """One sending of a try to one server; what the server works on."""

    __slots__ = (
        "try_",
        "number",
        "server",
        "sent_at",
        "work",
        "key",
        "mark",
        "place",
        "ended",
        "informed",
        "asked",
    )

    def __init__(self, try_: Try, number: int, server: Server, now: int, work: float, key: int) -> None:
        self.try_, self.number, self.server, self.sent_at = try_, number, server, now
        self.work, self.key = work, key
        self.mark, self.place = 0.0, NOWHERE
        self.ended = False  # its outcome is on the way or given
        self.informed = False  # the agent knew that the server had just started
        self.asked = work  # before caches

    def served(self, server: Server, error: bool) -> None:
        self.try_.host.answered(self, Outcome.ERROR if error else Outcome.OK)

    def lost(self, server: Server) -> None:
        self.try_.host.broken(self)

"""The list in service: commands that share a commit, leases that run, watchers that are told. No HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from .leases import TURN_US, Leases
from .state_machine import Answer, Change, SetPhase, State, listing, whole
from .store import Command, NotWritten, Store

log = logging.getLogger(__name__)

MOST_WAITING = 10_000  # commands; beyond them a writer is told to come again
AGAIN_S = 1  # Retry-After where the disk takes nothing
SETTLE_S = 1.0  # between attempts to overwrite a failed commit while no commands arrive


class Readers(ABC):
    """The readers' half: who watches, and what each is owed, encoded once for all who have the same."""

    def __init__(self) -> None:
        self._watchers: set[Callable[[], None]] = set()
        self._encoded: dict[int | None, bytes] = {}  # answers at this revision, by the revision asked with

    @property
    @abstractmethod
    def identity(self) -> str | None:
        """Of the list; None: there is none yet."""

    @property
    @abstractmethod
    def revision(self) -> int: ...

    @abstractmethod
    def status(self) -> dict[str, object]: ...

    @abstractmethod
    def _since(self, index: int) -> Change | None: ...

    @abstractmethod
    def _whole(self) -> dict[str, object]: ...

    def write_at(self) -> str:
        """Whom to write to, where it is another."""
        return ""

    def age_s(self) -> int | None:
        """Since the list was last known to be the leader's; None: it is the leader's own."""
        return None

    def watch(self, tell: Callable[[], None]) -> None:
        """Have tell called at each new revision, until unwatch."""
        self._watchers.add(tell)

    def unwatch(self, tell: Callable[[], None]) -> None:
        self._watchers.discard(tell)

    @property
    def watchers(self) -> int:
        return len(self._watchers)

    def news(self, index: int | None, identity: str | None) -> bool:
        """Whether there is something to tell who has that revision of that list."""
        return index != self.revision or (identity is not None and identity != self.identity)

    def ahead(self, index: int | None, identity: str | None) -> bool:
        """Whether that reader has more of the list than there is here: any answer would lead it back."""
        return False

    def answer(self, index: int | None, identity: str | None) -> bytes:
        """What to tell who is not ahead, encoded once for all who have the same."""
        if identity is not None and identity != self.identity:
            index = None
        if index not in self._encoded:
            change = self._since(index) if index is not None else None
            if change is not None:
                doc = listing(change)
            elif None in self._encoded:
                return self._encoded[None]
            else:
                index, doc = None, self._whole()
            self._encoded[index] = msgspec.json.encode(
                {"revision": self.revision, "list": self.identity, **doc}
            )
        return self._encoded[index]

    def _told(self) -> None:
        """There is a new revision."""
        self._encoded.clear()
        for tell in list(self._watchers):
            tell()


class Service(Readers):
    """Owns the store: all of it happens in the loop, but for the commits, one at a time in a thread."""

    def __init__(self, store: Store, listens: Callable[[], bool] = lambda: True) -> None:
        super().__init__()
        self.store, self._listens = store, listens
        self.leases = Leases()
        self.leases.listed(store.state.entries.values())
        self.commits = self.committed = 0
        self._waiting: list[tuple[Command, asyncio.Future[Answer]]] = []
        self._come = asyncio.Event()
        self._writer = ThreadPoolExecutor(1, "catalog-writer")
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self._disk_fails = False

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._write_all()), loop.create_task(self._run_leases())]

    async def stop(self) -> None:
        """What was taken is written and answered first."""
        self._stopping = True
        self._come.set()
        self._tasks[1].cancel()
        await self._tasks[0]
        self._writer.shutdown()
        self.store.close()

    @property
    def identity(self) -> str:
        return str(self.store.identity)

    @property
    def revision(self) -> int:
        return self.store.state.revision

    # Writers

    async def do(self, command: Command) -> Answer:
        """The answer, once what it says is on disk."""
        if self._stopping or len(self._waiting) >= MOST_WAITING:
            return Answer(status=503, revision=self.revision, said="too much is waiting")
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting.append((command, answer))
        self._come.set()
        return await answer

    async def renew(self, name: str, start: int) -> Answer:
        """A lease runs on; that is not written down. One that had run out is brought back into service."""
        known = self.leases.renew(name, start)
        entry = self.store.state.entries.get(name)
        if known is False:
            return Answer(status=409, revision=self.revision, said=f"{name}: start {start} is older")
        if known is None or entry is None:
            said = "not listed" if entry is None else "has no lease"
            return Answer(status=404, revision=self.revision, said=f"{name}: {said}")
        if entry.lapsed:
            return await self.do(Command((SetPhase(id=name, phase="SERVING", start=start),)))
        return Answer(status=200, revision=self.revision)

    async def _write_all(self) -> None:
        """All that waits goes into one commit; what comes meanwhile into the next."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_for_commands()
            taken, self._waiting = self._waiting, []
            if taken:
                await self._commit(loop, taken)
            elif self.store.in_doubt:
                await self._settle(loop)
            if self._stopping and not self._waiting:
                return

    async def _wait_for_commands(self) -> None:
        """Return when a command arrives; after a failed commit also when it is time to settle it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S if self.store.in_doubt else None):
                await self._come.wait()
        self._come.clear()

    async def _commit(
        self, loop: asyncio.AbstractEventLoop, taken: list[tuple[Command, asyncio.Future[Answer]]]
    ) -> None:
        commands = [command for command, _ in taken]
        try:
            state, answers, changes = await loop.run_in_executor(self._writer, self.store.commit, commands)
        except NotWritten as e:
            self._disk_failed(e)
            refused = Answer(status=503, revision=self.revision, said="the disk takes nothing now")
            answers = [refused] * len(taken)
        else:
            self._disk_worked()
            self._adopt(state, changes, len(taken))
        for (_, waiting), answer in zip(taken, answers, strict=True):
            if not waiting.done():
                waiting.set_result(answer)

    def _adopt(self, state: State, changes: list[Change], commands: int) -> None:
        """Publish a committed state to readers, watchers and leases."""
        self.store.adopt(state, changes)
        self.commits += 1
        self.committed += commands
        for change in changes:
            self.leases.gone(e.member.id for e in change.gone)
            self.leases.listed(change.put)
        if changes:
            self._told()

    async def _settle(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            await loop.run_in_executor(self._writer, self.store.settle)
        except NotWritten as e:
            self._disk_failed(e)
        else:
            self._disk_worked()

    def _disk_failed(self, error: NotWritten) -> None:
        """Log the first of consecutive failures."""
        if not self._disk_fails:
            log.error("nothing was written, and writes are refused until the disk works: %s", error)
        self._disk_fails = True

    def _disk_worked(self) -> None:
        if self._disk_fails and not self.store.in_doubt:
            log.warning("the disk works again")
            self._disk_fails = False

    async def _run_leases(self) -> None:
        while True:
            await asyncio.sleep(TURN_US / 1e6)
            held = self.leases.held
            for write in self.leases.tick(time.monotonic_ns() // 1000, self._listens()):
                if not self.leases.is_due(write.id):
                    continue  # renewed while those before it were written
                answer = await self.do(Command((write,)))
                if answer.status == 503:
                    break  # the disk fails; they stay due
                if answer.status == 200:
                    what = "drains" if isinstance(write, SetPhase) else "is gone"
                    log.warning("%s has not renewed its lease and %s", write.id, what)
            if self.leases.held and not held:
                log.error(
                    "leases are held: more than a network's share of %d would run out at once; "
                    "look for what keeps them from renewing",
                    len(self.leases),
                )
            elif held and not self.leases.held:
                log.warning("leases run again")

    # Readers

    def _since(self, index: int) -> Change | None:
        return self.store.history.since(index, self.revision)

    def _whole(self) -> dict[str, object]:
        return whole(self.store.state)

    def status(self) -> dict[str, object]:
        return {
            "list": self.store.identity,
            "revision": self.revision,
            "members": len(self.store.state.entries),
            "leased": len(self.leases),
            "leases_held": self.leases.held,
            "watchers": self.watchers,
            "changes_kept": len(self.store.history),
            "commits": self.commits,
            "writes": self.committed,
        }

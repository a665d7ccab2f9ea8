"""Serves the list: group commit of commands, expiry of leases, notification of watchers. Contains no HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from .leases import TICK_US, Leases
from .state_machine import Answer, Change, SetPhase, State, changes_document, full_document
from .store import Command, CommitError, Store

log = logging.getLogger(__name__)

MAX_PENDING_COMMANDS = 10_000  # further commands are refused with 503
RETRY_AFTER_S = 1  # value of Retry-After in a 503
SETTLE_INTERVAL_S = 1.0  # between attempts to overwrite a failed commit while no commands arrive


class WatchableList(ABC):
    """A list that clients read and watch; an answer is encoded once for all readers at the same revision."""

    def __init__(self) -> None:
        self._watchers: set[Callable[[], None]] = set()
        self._encoded: dict[int | None, bytes] = {}  # answers at this revision, by the reader's revision

    @property
    @abstractmethod
    def identity(self) -> str | None:
        """Identity of the list; None if there is no list yet."""

    @property
    @abstractmethod
    def revision(self) -> int: ...

    @abstractmethod
    def status(self) -> dict[str, object]: ...

    @abstractmethod
    def _changes_since(self, index: int) -> Change | None: ...

    @abstractmethod
    def _full_document(self) -> dict[str, object]: ...

    def write_address(self) -> str:
        """HOST:PORT to which writers are directed, a follower's source; empty if this node takes writes."""
        return ""

    def age_s(self) -> int | None:
        """Seconds since the list was last known to be the leader's; None on the leader."""
        return None

    def watch(self, callback: Callable[[], None]) -> None:
        """Call back at each new revision, until `unwatch`."""
        self._watchers.add(callback)

    def unwatch(self, callback: Callable[[], None]) -> None:
        self._watchers.discard(callback)

    @property
    def watchers(self) -> int:
        return len(self._watchers)

    def has_update(self, index: int | None, identity: str | None) -> bool:
        """Whether a reader with that revision of that list has to be sent an answer."""
        return index != self.revision or (identity is not None and identity != self.identity)

    def reader_is_ahead(self, index: int | None, identity: str | None) -> bool:
        """Whether the reader has a later revision than this node, so that any answer would take it back."""
        return False

    def answer(self, index: int | None, identity: str | None) -> bytes:
        """Encode the changes since the revision, or else the full list, for a reader that is not ahead."""
        if identity is not None and identity != self.identity:
            index = None
        if index not in self._encoded:
            change = self._changes_since(index) if index is not None else None
            if change is not None:
                doc = changes_document(change)
            elif None in self._encoded:
                return self._encoded[None]
            else:
                index, doc = None, self._full_document()
            self._encoded[index] = msgspec.json.encode(
                {"revision": self.revision, "list": self.identity, **doc}
            )
        return self._encoded[index]

    def _notify_watchers(self) -> None:
        """Notify the watchers of a new revision."""
        self._encoded.clear()
        for callback in list(self._watchers):
            callback()


class Service(WatchableList):
    """Owns the store. All runs in the event loop except the commits, which run one at a time in a thread."""

    def __init__(self, store: Store, is_listening: Callable[[], bool] = lambda: True) -> None:
        super().__init__()
        self.store, self._is_listening = store, is_listening
        self.leases = Leases()
        self.leases.grant(store.state.entries.values())
        self.commits = self.committed_commands = 0
        self._pending: list[tuple[Command, asyncio.Future[Answer]]] = []
        self._command_arrived = asyncio.Event()
        self._commit_executor = ThreadPoolExecutor(1, "catalog-writer")
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self._disk_failing = False

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._commit_pending()), loop.create_task(self._expire_leases())]

    async def stop(self) -> None:
        """Stop after the accepted commands are committed and answered, and close the store."""
        self._stopping = True
        self._command_arrived.set()
        self._tasks[1].cancel()
        await self._tasks[0]
        self._commit_executor.shutdown()
        self.store.close()

    @property
    def identity(self) -> str:
        return str(self.store.identity)

    @property
    def revision(self) -> int:
        return self.store.state.revision

    # Writers

    async def submit(self, command: Command) -> Answer:
        """Commit a command and return its answer once it is on disk; status 503 if too many are pending."""
        if self._stopping or len(self._pending) >= MAX_PENDING_COMMANDS:
            return Answer(status=503, revision=self.revision, said="too much is waiting")
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending.append((command, answer))
        self._command_arrived.set()
        return await answer

    async def renew(self, name: str, start: int) -> Answer:
        """Renew a lease, which is not written to disk; a member whose lease has expired serves again."""
        renewed = self.leases.renew(name, start)
        entry = self.store.state.entries.get(name)
        if renewed is False:
            return Answer(status=409, revision=self.revision, said=f"{name}: start {start} is older")
        if renewed is None or entry is None:
            reason = "not listed" if entry is None else "has no lease"
            return Answer(status=404, revision=self.revision, said=f"{name}: {reason}")
        if entry.lapsed:
            return await self.submit(Command((SetPhase(id=name, phase="SERVING", start=start),)))
        return Answer(status=200, revision=self.revision)

    async def _commit_pending(self) -> None:
        """Group commit: all pending commands share a commit; later arrivals go into the next."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_for_commands()
            batch, self._pending = self._pending, []
            if batch:
                await self._commit(loop, batch)
            elif self.store.in_doubt:
                await self._settle(loop)
            if self._stopping and not self._pending:
                return

    async def _wait_for_commands(self) -> None:
        """Return when a command arrives; after a failed commit also when it is time to settle it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_INTERVAL_S if self.store.in_doubt else None):
                await self._command_arrived.wait()
        self._command_arrived.clear()

    async def _commit(
        self, loop: asyncio.AbstractEventLoop, batch: list[tuple[Command, asyncio.Future[Answer]]]
    ) -> None:
        commands = [command for command, _ in batch]
        try:
            state, answers, changes = await loop.run_in_executor(
                self._commit_executor, self.store.commit, commands
            )
        except CommitError as error:
            self._disk_failed(error)
            refused = Answer(status=503, revision=self.revision, said="the disk takes nothing now")
            answers = [refused] * len(batch)
        else:
            self._disk_worked()
            self._adopt(state, changes, len(batch))
        for (_, future), answer in zip(batch, answers, strict=True):
            if not future.done():
                future.set_result(answer)

    def _adopt(self, state: State, changes: list[Change], command_count: int) -> None:
        """Publish a committed state to readers, watchers and leases."""
        self.store.adopt(state, changes)
        self.commits += 1
        self.committed_commands += command_count
        for change in changes:
            self.leases.revoke(entry.member.id for entry in change.gone)
            self.leases.grant(change.put)
        if changes:
            self._notify_watchers()

    async def _settle(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            await loop.run_in_executor(self._commit_executor, self.store.settle)
        except CommitError as error:
            self._disk_failed(error)
        else:
            self._disk_worked()

    def _disk_failed(self, error: CommitError) -> None:
        """Log the first of consecutive failures."""
        if not self._disk_failing:
            log.error("a commit failed; writes are refused until the disk works: %s", error)
        self._disk_failing = True

    def _disk_worked(self) -> None:
        if self._disk_failing and not self.store.in_doubt:
            log.warning("the disk works again")
            self._disk_failing = False

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(TICK_US / 1e6)
            was_suspended = self.leases.expiry_suspended
            for write in self.leases.tick(time.monotonic_ns() // 1000, self._is_listening()):
                if not self.leases.is_expired(write.id):
                    continue  # renewed while the previous writes were committed
                answer = await self.submit(Command((write,)))
                if answer.status == 503:
                    break  # the disk fails; the leases stay expired and are tried again
                if answer.status == 200:
                    what = "drains" if isinstance(write, SetPhase) else "is removed"
                    log.warning("%s has not renewed its lease and %s", write.id, what)
            if self.leases.expiry_suspended and not was_suspended:
                log.error(
                    "expiry of leases is suspended: too many of %d would expire at once; "
                    "find out what keeps the members from renewing",
                    len(self.leases),
                )
            elif was_suspended and not self.leases.expiry_suspended:
                log.warning("leases expire again")

    # Readers

    def _changes_since(self, index: int) -> Change | None:
        return self.store.history.changes_since(index, self.revision)

    def _full_document(self) -> dict[str, object]:
        return full_document(self.store.state)

    def status(self) -> dict[str, object]:
        return {
            "list": self.store.identity,
            "revision": self.revision,
            "members": len(self.store.state.entries),
            "leased": len(self.leases),
            "leases_held": self.leases.expiry_suspended,
            "watchers": self.watchers,
            "changes_kept": len(self.store.history),
            "commits": self.commits,
            "writes": self.committed_commands,
        }

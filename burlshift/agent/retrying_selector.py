"""The selector of the agent's event loop, which survives a temporary shortage in the kernel.

epoll_ctl(2) may fail for a while, with ENOMEM or, at the limit of watches, ENOSPC. asyncio would then never
read the connection or listener in question, or lose the data it was about to write. This selector keeps the
registration and retries it until the kernel accepts it.
"""

from __future__ import annotations

import select
import selectors
from collections.abc import Mapping
from contextlib import suppress
from selectors import EVENT_READ, EVENT_WRITE, SelectorKey
from typing import Any

from .socket_errors import WATCH_SHORTAGE_ERRNOS

RETRY_S = 0.02  # the longest wait in select() while a registration has to be retried
# The other events of epoll, which report a closed or broken connection, count as both.
READABLE, WRITABLE = ~select.EPOLLOUT, ~select.EPOLLIN


def _mask(events: int) -> int:
    return (select.EPOLLIN if events & EVENT_READ else 0) | (select.EPOLLOUT if events & EVENT_WRITE else 0)


class RetryingSelector(selectors.BaseSelector):
    """An epoll selector whose registrations succeed at once and are retried in the kernel if necessary."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._keys: dict[int, SelectorKey] = {}
        # Descriptors whose registration in the kernel differs from their key.
        self._unsynced: set[int] = set()

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        fd = _descriptor(fileobj)
        if fd in self._keys:
            raise KeyError(f"{fileobj!r} is registered already")
        try:
            self._epoll.register(fd, _mask(events))
        except OSError as error:
            if error.errno not in WATCH_SHORTAGE_ERRNOS:
                raise
            self._unsynced.add(fd)
        key = self._keys[fd] = SelectorKey(fileobj, fd, events, data)
        return key

    def unregister(self, fileobj: Any) -> SelectorKey:
        key = self._keys.pop(_descriptor(fileobj))
        self._unsynced.discard(key.fd)
        with suppress(OSError):  # the descriptor has been closed, or was never registered in the kernel
            self._epoll.unregister(key.fd)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        previous = self._keys[_descriptor(fileobj)]
        key = self._keys[previous.fd] = SelectorKey(previous.fileobj, previous.fd, events, data)
        if events != previous.events:
            self._unsynced.add(key.fd)
            self._sync_with_kernel(key)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        if self._unsynced:
            for fd in list(self._unsynced):
                with suppress(OSError):  # a descriptor closed meanwhile must not affect the others
                    self._sync_with_kernel(self._keys[fd])
            if self._unsynced:
                timeout = RETRY_S if timeout is None else min(timeout, RETRY_S)
        ready: list[tuple[SelectorKey, int]] = []
        try:
            # Python rounds up to a millisecond, so that no call returns early.
            ready_descriptors = self._epoll.poll(
                None if timeout is None else max(0.0, timeout), len(self._keys) or 1
            )
        except InterruptedError:
            return ready
        for fd, mask in ready_descriptors:
            key = self._keys.get(fd)
            if key is not None:
                events = (EVENT_READ if mask & READABLE else 0) | (EVENT_WRITE if mask & WRITABLE else 0)
                ready.append((key, events & key.events))
        return ready

    def _sync_with_kernel(self, key: SelectorKey) -> None:
        """Register the key's events in the kernel; a shortage leaves them for the next retry."""
        try:
            try:
                self._epoll.modify(key.fd, _mask(key.events))
            except FileNotFoundError:
                self._epoll.register(key.fd, _mask(key.events))
        except OSError as error:
            if error.errno in WATCH_SHORTAGE_ERRNOS:
                return
            self._unsynced.discard(key.fd)
            raise
        self._unsynced.discard(key.fd)

    def close(self) -> None:
        self._epoll.close()
        self._keys.clear()
        self._unsynced.clear()

    def get_key(self, fileobj: Any) -> SelectorKey:
        return self._keys[_descriptor(fileobj)]

    def get_map(self) -> Mapping[Any, SelectorKey]:
        return self._keys


def _descriptor(fileobj: Any) -> int:
    fd = fileobj if isinstance(fileobj, int) else int(fileobj.fileno())
    if fd < 0:
        raise ValueError(f"invalid descriptor: {fd}")
    return fd

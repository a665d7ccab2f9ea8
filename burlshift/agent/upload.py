"""A large request body that is passed on to a backend while it is still being received."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .connection import Connection


class Sink(Protocol):
    """Where the pieces of a body go."""

    def more(self, data: bytes) -> None:
        """Take the next piece."""

    def all_sent(self) -> None:
        """The last piece has been taken."""


class Upload:
    """A large body on its way: its start is held until the rest is passed on."""

    def __init__(self, length: int | None, connection: Connection) -> None:
        self.length = length
        self.whole = False
        self.spent = False  # a part has been passed on and is no longer held
        self.halted = True  # nothing is read: its client may have written all of it by now
        self.on_whole: Callable[[], None] = lambda: None
        self._connection = connection
        self._held = bytearray()
        self._sink: Sink | None = None

    def held(self) -> bytes:
        """What has been read and not yet passed on."""
        return bytes(self._held)

    def flow(self, sink: Sink) -> None:
        """Pass on to this sink what is read from now on."""
        self._sink = sink
        self.go_on()

    def stop(self, sink: Sink) -> None:
        """Pass nothing more on to this sink."""
        if self._sink is sink:
            self._sink = None
            self.halt()

    def halt(self) -> None:
        """Read nothing more from the client until go_on."""
        self.halted = True
        self._connection.pause()

    def go_on(self) -> None:
        """Read from the client again."""
        self.halted = False
        self._connection.resume()

    def come(self, data: bytearray) -> None:
        """The next piece has been read."""
        if self._sink is None:
            self._held += data
        elif data:
            self.spent, self._held = True, bytearray()
            self._sink.more(bytes(data))

    def end(self) -> None:
        """The last piece has been read."""
        self.whole = True
        self.on_whole()
        if self._sink is not None:
            self._sink.all_sent()
        self.go_on()  # while it waits for its answer the client must be seen leaving

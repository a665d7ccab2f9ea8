"""A large request body that is streamed to a backend while it is still being received."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .connection import Connection


class Sink(Protocol):
    """Receives the parts of a body."""

    def receive_data(self, data: bytes) -> None:
        """The next part of the body."""

    def end_body(self) -> None:
        """The body is complete."""


class Upload:
    """A streamed request body. What is received first is buffered until a sink is set."""

    def __init__(self, length: int | None, connection: Connection) -> None:
        self.length = length
        self.complete = False
        self.consumed = False  # a part has been passed on and is no longer buffered
        self.paused = True  # reading is paused; the client may have written the whole body by now
        self.on_complete: Callable[[], None] | None = None
        self._connection = connection
        self._buffer = bytearray()
        self._sink: Sink | None = None

    @property
    def buffered_length(self) -> int:
        """The number of bytes received and not yet passed on."""
        return len(self._buffer)

    def buffered(self) -> bytes:
        """The bytes received and not yet passed on."""
        return bytes(self._buffer)

    def stream_to(self, sink: Sink) -> None:
        """Pass what is received from now on to this sink."""
        self._sink = sink
        self.resume()

    def stop(self, sink: Sink) -> None:
        """Pass nothing more to this sink; stream_to may set another one."""
        if self._sink is sink:
            self._sink = None
            self.pause()

    def pause(self) -> None:
        """Stop reading from the client until resume."""
        self.paused = True
        self._connection.pause()

    def resume(self) -> None:
        """Read from the client again."""
        self.paused = False
        self._connection.resume()

    def receive(self, data: bytearray) -> None:
        """Pass on, or buffer, the next part of the body."""
        if self._sink is None:
            self._buffer += data
        elif data:
            self.consumed, self._buffer = True, bytearray()
            self._sink.receive_data(bytes(data))

    def end(self) -> None:
        """The body has been received to its end."""
        self.complete = True
        if self.on_complete is not None:
            self.on_complete()
        if self._sink is not None:
            self._sink.end_body()
        self.resume()  # a disconnect of the client must be noticed while it waits for its response

    def release(self) -> None:
        """Free what is held: the request has its final answer, and no attempt is made for it any more."""
        self._buffer, self._sink, self.on_complete = bytearray(), None, None

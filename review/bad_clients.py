"""Bad clients as a process of their own.

`bad_clients.py ADDRESS stay COUNT SECONDS`: within that time that many clients connect one after the other;
each sends an improper request, gets its error, and rests on its connection until this process is ended.
`bad_clients.py ADDRESS go COUNT SECONDS`: that many clients, once a second each, connect, send such a request
and close at once.
`bad_clients.py ADDRESS stop COUNT SECONDS`: for that time that many clients connect, stop within the head of
a request and stay until the agent ends the connection; then they come back at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
import time

HEAD_BYTES = 65_500  # in one piece
NAME_LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"


def improper_request() -> bytes:
    """A request without a class: its head is a line and many short headers, each of another name."""
    head = bytearray(b"GET /api HTTP/1.1\r\nHost: origin.svc\r\n")
    for letters in itertools.product(NAME_LETTERS, repeat=3):
        line = "".join(letters).encode() + b":\r\n"
        if len(head) + len(line) + 2 > HEAD_BYTES:
            break
        head += line
    return bytes(head + b"\r\n")


REQUEST = improper_request()


async def stay(host: str, port: int, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(REQUEST)
    while await reader.read(65536):
        pass
    writer.close()


async def go(host: str, port: int, delay_s: float, length_s: float) -> None:
    for second in range(int(length_s)):
        wait_s = _started + delay_s + second - time.monotonic()
        await asyncio.sleep(max(0.0, wait_s))
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(5.0):
                _, writer = await asyncio.open_connection(host, port)
                writer.write(REQUEST)
                await writer.drain()
                writer.close()


async def stop(host: str, port: int, length_s: float) -> None:
    while (left_s := _started + length_s - time.monotonic()) > 0:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 0")
                while await reader.read(65536):
                    pass
                writer.close()
        await asyncio.sleep(0.01)


_started = time.monotonic()


async def main(address: str, what: str, count: int, length_s: float) -> None:
    host, port = address.split(":")
    if what == "stay":
        clients = [stay(host, int(port), n * length_s / count) for n in range(count)]
    elif what == "stop":
        clients = [stop(host, int(port), length_s) for _ in range(count)]
    else:
        clients = [go(host, int(port), n / count, length_s) for n in range(count)]
    await asyncio.gather(*clients, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))

"""Calls at an agent's door, as operators make them."""

from __future__ import annotations

import asyncio

from .addresses import split

CALL_S = 1.5  # half a second longer than a caller waits: late is told from never


async def call(address: str, line: str, limit_s: float = CALL_S) -> str:
    """What the door answers to its end; empty where it does not."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(line.encode() + b"\n")
            return (await reader.read()).decode(errors="replace")
    except (OSError, TimeoutError):
        return ""
    finally:
        if writer is not None:
            writer.close()


async def healthy(address: str) -> bool:
    """Whether `GET /_health` says yes."""
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(b"GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).split(b" ")[1:2] == [b"200"]
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()

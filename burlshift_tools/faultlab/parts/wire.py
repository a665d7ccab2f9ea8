"""What clients and stand-in servers agree on beside the protocol: the cost of a request, and its answer."""

from __future__ import annotations

from zlib import crc32

HUGE_ANSWER, HUGE_BYTES = "huge", 4_000_000  # ids that begin so get an answer of this size
LARGE_EVERY, LARGE_BYTES = 50, 100_000  # one answer in so many is over what an agent takes whole


def request_id(first: str, number: int, work_us: int, key: int) -> str:
    """The id of a try, which tells a stand-in server what the request costs."""
    return f"{first}.{number}.{work_us}.{key}"


def cost_of(rid: str) -> tuple[int, int] | None:
    """Work in us and key, of an id made by request_id; None: it is none."""
    parts = rid.split(".")
    if len(parts) != 4 or not (parts[2].isdigit() and parts[3].isdigit()):
        return None
    return int(parts[2]), int(parts[3])


def answer_body(rid: str, server: str, life: int, attempt: int) -> bytes:
    """Names the request, and the attempt that was answered: no two attempts get the same."""
    mark = crc32(rid.encode())
    if rid.startswith(HUGE_ANSWER):
        return b"%08x" % mark * (HUGE_BYTES // 8)
    size = LARGE_BYTES if mark % LARGE_EVERY == 0 else 100 + mark % 1500
    start = f"{rid} {server} {life} {attempt}\n".encode()
    return start + b"%08x" % mark * (size // 8)

"""Client of the catalog service, for the commands of operators."""

from __future__ import annotations

import http.client
from collections.abc import Iterator, Mapping
from urllib.parse import quote

import msgspec

from burlshift.agent.discovery_call import PATH
from burlshift.agent.listing import parse_address

TIMEOUT_S = 10.0
WAIT_MS = 30_000


class CallError(Exception):
    """The call was refused or failed; the message is one line."""


def member_path(member: str) -> str:
    """The path of a member by its id, percent-encoded."""
    return f"{PATH}/{quote(member, safe='')}"


def call(
    at: str,
    method: str,
    path: str,
    doc: object = None,
    timeout_s: float = TIMEOUT_S,
    headers: Mapping[str, str] | None = None,
) -> str:
    """Send a request to HOST:PORT with `doc` as JSON and return the body of the 200. Raises CallError."""
    try:
        address = parse_address(at)
    except ValueError:
        raise CallError(f"--at {at}: is no address; write HOST:PORT") from None
    connection = http.client.HTTPConnection(address.host, address.port, timeout=timeout_s)
    try:
        request_body = msgspec.json.encode(doc) if doc is not None else None
        connection.request(method, path, request_body, dict(headers or {}))
        response = connection.getresponse()
        body = response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{at}: {error or type(error).__name__}; is the service there?") from None
    finally:
        connection.close()
    if response.status != 200:
        raise CallError(f"{at}: {response.status}: {_error(body)}")
    return body


def watch(at: str) -> Iterator[str]:
    """Yield the full list, then each change, without end, as JSON. Raises CallError."""
    path = PATH
    while True:
        body = call(at, "GET", path, timeout_s=WAIT_MS / 1000 + TIMEOUT_S)
        doc = msgspec.json.decode(body, type=dict[str, object])
        if doc["complete"] or doc["members"]:
            yield body
        path = f"{PATH}?index={doc['revision']}&wait={WAIT_MS}&list={doc['list']}"


def _error(body: str) -> str:
    try:
        return str(msgspec.json.decode(body, type=dict[str, object])["error"])
    except (msgspec.DecodeError, KeyError):
        return body.strip()

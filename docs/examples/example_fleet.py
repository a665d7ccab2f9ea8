"""An example fleet for a first try of the agent: two servers, and the discovery service that lists them.

`python docs/examples/example_fleet.py` listens at the addresses that `docs/examples/agent.json` names, until
it is interrupted. It needs the standard library only.
"""

from __future__ import annotations

import argparse
import json
import sys
import threading
import time
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
DISCOVERY_PORT = 9700
SERVER_PORTS = (9711, 9712)
MEMBERS_PATH = "/catalog/members"
HEALTH_PATH = "/ping"
REVISION = 1  # the list never changes
LONGEST_WAIT_S = 60.0
SERVICE_TIME_S = 0.005
CAPACITY = 8  # requests in flight at which a server calls itself fully used


class JsonHandler(BaseHTTPRequestHandler):
    """Answers over kept connections; a request is logged to standard error."""

    protocol_version = "HTTP/1.1"

    def answer(self, status: int, document: object, headers: dict[str, str] | None = None) -> None:
        """Write one whole answer."""
        body = json.dumps(document).encode() + b"\n"
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        try:
            self.end_headers()
            self.wfile.write(body)
        except ConnectionError:
            self.close_connection = True  # whoever asked is no longer there


class InFlight:
    """Counts the requests that a server works on."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.count = 0

    def __enter__(self) -> int:
        with self._lock:
            self.count += 1
            return self.count

    def __exit__(self, *error: object) -> None:
        with self._lock:
            self.count -= 1


class ExampleServer(JsonHandler):
    """One of the servers: answers with its name, and reports its load."""

    def __init__(self, name: str, in_flight: InFlight, *arguments: Any) -> None:
        self.name, self.in_flight = name, in_flight
        super().__init__(*arguments)

    def do_GET(self) -> None:
        """The health check, and any other request."""
        with self.in_flight as count:
            time.sleep(SERVICE_TIME_S)
            load = f"inflight={count},queue=0,util={min(1.0, count / CAPACITY):.2f}"
            document = "OK" if self.path == HEALTH_PATH else {"server": self.name}
            self.answer(200, document, {"Server-Load": load})


class ExampleDiscovery(JsonHandler):
    """The list of the servers; a watch from its revision is held, as nothing changes."""

    def __init__(self, members: list[dict[str, object]], *arguments: Any) -> None:
        self.members = members
        super().__init__(*arguments)

    def do_GET(self) -> None:
        """The whole list, or after the wait that was asked for no change."""
        url = urlsplit(self.path)
        if url.path != MEMBERS_PATH:
            self.answer(404, "no such path")
            return
        query = parse_qs(url.query)
        is_watch = query.get("index") == [str(REVISION)]
        if is_watch:
            time.sleep(min(LONGEST_WAIT_S, int(query.get("wait", ["0"])[0]) / 1000))
        members = [] if is_watch else self.members
        self.answer(200, {"revision": REVISION, "complete": not is_watch, "members": members})


def member(name: str, port: int) -> dict[str, object]:
    """A server as discovery lists it."""
    return {
        "id": name,
        "host_port": f"{HOST}:{port}",
        "locality": "zone-a",
        "flavor": "standard",
        "cell": 1,
        "phase": "SERVING",
        "size": 1.0,
        "up_since_ms": 0,
    }


def listeners(discovery_port: int, server_ports: tuple[int, ...]) -> list[ThreadingHTTPServer]:
    """The servers and discovery, listening; a port of 0 lets the system choose one."""
    servers = [
        ThreadingHTTPServer((HOST, port), partial(ExampleServer, f"server-{number}", InFlight()))
        for number, port in enumerate(server_ports, 1)
    ]
    members = [member(f"server-{number}", s.server_port) for number, s in enumerate(servers, 1)]
    return [ThreadingHTTPServer((HOST, discovery_port), partial(ExampleDiscovery, members)), *servers]


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--discovery-port", type=int, default=DISCOVERY_PORT)
    parser.add_argument("--server-port", type=int, action="append", help="may be given several times")
    arguments = parser.parse_args()
    running = listeners(arguments.discovery_port, tuple(arguments.server_port or SERVER_PORTS))
    for listener in running:
        threading.Thread(target=listener.serve_forever, daemon=True).start()
    print("discovery and servers at", *(listener.server_port for listener in running), flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()

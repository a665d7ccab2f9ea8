"""The process of an agent, from its configuration to its end.

SIGTERM and SIGINT stop it gracefully; SIGHUP makes it read the addresses of discovery from the file again.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from functools import partial
from random import Random
from typing import Any

from burlshift.balancing.interface import Discovery as DiscoveryMode
from burlshift.balancing.interface import Settings
from burlshift.balancing.logic import Balancer

from .admin_commands import AdminCommands
from .admin_interface import AdminServer
from .agent import Agent
from .clock import Clock
from .config import Config, ConfigError, load, reload_discovery
from .connection_pool import UpstreamConnectionPool
from .discovery import ASK_WAIT_MS, PUSH_WAIT_MS, Discovery
from .drain import DrainTimes
from .hot_restart import HotRestart, path_for, take_over_state
from .loop_lag import LagTrackingEventLoop
from .memory_budget import MemoryBudget
from .memory_limits import Role
from .metrics import Metrics
from .removal_limiter import RemovalLimiter
from .server import Server

log = logging.getLogger("burlshift.agent")

# After SIGTERM new connections arrive for 0.2 to 0.4 s. SIGKILL follows 0.7 s after the longest deadline, of
# which at most 3 s count. The agent may be late by 0.15 s, both in handling the signal and at the end.
# SIGKILL may cut off requests that came in the first 0.7 s, but not the long response to a later one.
CLOSE_S, IDLE_S, SERVE_S, REFUSE_S, FINISH_S = 0.0, 0.1, 0.5, 0.5, 0.4
MAX_DEADLINE_S = 3.0
RESERVED_DESCRIPTORS = 64  # for discovery, listeners, the admin interface, logs and the event loop


def max_connections(sockets: int, processes: int) -> int:
    """The limit of connections to clients, and likewise of those to backends, by descriptors and by memory.

    sockets: the file descriptors that this number of processes share.
    """
    by_descriptors = (sockets - RESERVED_DESCRIPTORS) // (2 * processes)
    return max(1, min(by_descriptors, MemoryBudget.of_running_loop().max_connections))


def assemble(config: Config, clock: Clock, metrics: Metrics) -> tuple[Agent, Server]:
    """Create the agent and its server for a configuration, without starting them."""
    settings, connection_limit = config.settings, max_connections(config.sockets, 1)
    connection_pool = UpstreamConnectionPool(
        clock,
        settings.report_fields,
        config.connect_timeout_us,
        config.conn_idle_us,
        connection_limit,
        metrics.count_attempt,
    )
    # PING reports whether discovery has answered this process, so with an admin interface the full list is
    # requested first, as it is where changes are pushed.
    pushed = settings.discovery is DiscoveryMode.PUSH
    revision = None if pushed or config.control is not None else config.known.revision
    discovery = Discovery(
        config.discovery,
        config.parser,
        revision,
        config.connect_timeout_us / 1e6,
        PUSH_WAIT_MS if pushed else ASK_WAIT_MS,
    )
    removal_limiter = RemovalLimiter(Random(config.seed)) if config.hold_missing else None
    agent = Agent(
        Balancer(settings, config.seed),
        clock,
        connection_pool,
        discovery,
        metrics,
        config.drain_grace_us / 1e6,
        removal_limiter,
    )
    return agent, Server(settings, agent, connection_limit)


def drain_times(settings: Settings) -> DrainTimes:
    """The stages of a stop, timed so that all requests are answered before SIGKILL."""
    longest_s = max(c.deadline_us for c in settings.classes) / 1e6
    end_s = min(MAX_DEADLINE_S, longest_s) + FINISH_S
    return DrainTimes(CLOSE_S, IDLE_S, SERVE_S, end_s, refuse_s=REFUSE_S)


async def serve(config: Config, clock: Clock) -> int:
    """Run until SIGTERM or SIGINT; returns the exit status: 0, or 1 if it cannot listen."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_unhandled)
    # With an admin interface another process may take over at any time.
    role = Role.ALONE if config.control is None else Role.SERVING
    MemoryBudget.of_running_loop().set_limits(config.memory_bytes, role)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    metrics = Metrics([c.name for c in config.settings.classes])
    agent, server = assemble(config, clock, metrics)
    if config.peers is not None:
        from .peers import Peers  # with membership, which most agents do not use

        agent.peers = Peers(config.peers, clock, Random(config.seed + 1).random)
    commands = AdminCommands(agent, server, metrics, partial(max_connections, config.sockets))
    admin_server = AdminServer(commands)
    loop.add_signal_handler(signal.SIGHUP, _reload, agent, metrics)
    hot_restart = inherited = None
    try:
        if config.control is not None:
            control_port = await admin_server.listen(config.control)
            log.info("%s takes calls on %s:%d", config.name, config.control.host, control_port)
        path = path_for(config.listen) if config.control is not None else None
        if path is not None:
            hot_restart = commands.hot_restart = HotRestart(path, commands)
            # In a thread, so that the admin interface replies meanwhile.
            inherited = await asyncio.to_thread(take_over_state, path)
        if inherited is not None and hot_restart is not None:
            agent.resume(inherited.state, config.known)
            commands.resume(inherited.state)
            await hot_restart.keep_link(inherited)
            port = server.adopt_listener(inherited.listener)
        else:
            agent.start(config.known)
            port = await server.listen(config.listen, shared=config.control is not None)
    except OSError as error:
        print(f"burlshift: cannot listen: {error}", file=sys.stderr)
        return 1
    if hot_restart is not None:
        hot_restart.open()
    if agent.peers is not None:
        agent.peers.start()
    # What the start has made stays. Without it collections are cheap, and so frequent that the garbage of
    # ended connections stays little.
    gc.collect()
    gc.freeze()
    log.info("%s listens on %s:%d", config.name, config.listen.host, port)
    await stop.wait()
    commands.stopping = True
    has_successor = hot_restart is not None and hot_restart.has_successor
    if hot_restart is not None:
        hot_restart.close()
    if agent.peers is not None:
        agent.peers.stop(leave=not has_successor)
    await server.drain.run(drain_times(config.settings), has_successor)
    admin_server.close()
    log.info("%s stops", config.name)
    # From here on the interpreter's own handlers would apply, and a SIGHUP would count as a crash.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
    # A SIGHUP that has just arrived would be handled while the tasks are cancelled, and start new ones.
    loop.remove_signal_handler(signal.SIGHUP)
    return 0


def _reload(agent: Agent, metrics: Metrics) -> None:
    """Handle SIGHUP; an error in the new file must not end a serving agent."""
    try:
        addresses = reload_discovery(os.environ)
    except ConfigError as error:
        log.error("kept the addresses of discovery: %s", error)
        metrics.count_reload(ok=False)
        return
    metrics.count_reload(ok=True)
    log.info("discovery is at %s", ", ".join(f"{a.host}:{a.port}" for a in addresses))
    agent.set_discovery_addresses(addresses)


def _unhandled(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that was not caught; it ends neither the process nor other requests."""
    log.error("unhandled: %s", context.get("message"), exc_info=context.get("exception"))


def main() -> int:
    """Run the agent; returns 0 after a stop, 1 if it cannot listen, 2 for an invalid configuration."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    clock = Clock()
    try:
        config = load(os.environ, clock)
    except ConfigError as error:
        print(f"burlshift: {error}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=LagTrackingEventLoop) as runner:
        return runner.run(serve(config, clock))

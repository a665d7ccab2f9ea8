"""A new configuration moves the agent to a discovery that is slow; a meter server drains."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

SLOW_S = 2.5  # until the new discovery has answered a call
CALLS_S = 16.0  # after the signal
CLIENTS = 4
TOLD_S = 4.0  # TERMS: after the signal, whatever discovery has to tell counts as told
TOLD_AT_LATEST_S = 6.0  # STANDING: after discovery had the change and could be reached
GRACE_S = 1.0  # drainGraceUs of the settings


async def application(number: int, record: rig.Record, port: int, until: float) -> None:
    """One client: requests one after the other, each on a connection of its own."""
    count = 0
    while record.now() < until:
        client = rig.Client(record, port)
        await client.call(f"{number:02d}{count:04d}", "reading-view", 1600, 2.2)
        client.close()
        count += 1
        await asyncio.sleep(0.05)


async def case(record: rig.Record, folder: Path, trouble: bool) -> int:
    servers = await rig.fleet(record)
    first, second = rig.Discovery(record, "first discovery"), rig.Discovery(record, "second discovery")
    for discovery in (first, second):
        discovery.load([server.listed() for server in servers])
        await discovery.start()
    second.delay_s = SLOW_S if trouble else 0.0
    agent = rig.Agent(record, folder, first.whole(), first.port)
    drained = servers[4]
    try:
        agent.start()
        await agent.ready()
        until = record.now() + 2.0 + CALLS_S
        tasks = [asyncio.create_task(application(n, record, agent.port, until)) for n in range(CLIENTS)]
        await asyncio.sleep(2.0)
        agent.doc["discovery"] = f"127.0.0.1:{second.port}"
        agent.write_config()
        agent.signal(signal.SIGHUP)
        signalled = record.now()
        await second.change(drained.listed("DRAINING"))
        drained_at = record.now()
        await asyncio.sleep(0)
        await first.stop_accepting()
        await asyncio.sleep(1.5)
        await first.close_connections()
        await asyncio.gather(*tasks)
        if agent.crashed():
            raise rig.CannotRun("the agent has ended")
    finally:
        agent.end()
        agent.copy_logs()
    # The later of the two times at which the change counts as told, the grace, and 50 ms.
    limit = max(signalled + TOLD_S, drained_at + TOLD_AT_LATEST_S) + GRACE_S + rig.SLACK_S
    late = [(at, identity) for at, identity in drained.runs if at > limit]
    for at, identity in late:
        record.note(f"DRAIN {identity} ran on {drained.name} {at - signalled:.2f} s after the signal")
    everywhere = sum(len(server.runs) for server in servers)
    record.verdict(
        f"{everywhere} requests ran, {len(drained.runs)} on the draining server, {len(late)} after the limit "
        f"of {limit - signalled:.2f} s"
    )
    return rig.BROKEN if late else rig.HELD


rig.play(case, __file__)

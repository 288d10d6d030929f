"""Case 3: pages of a listing that may be old come from copies of different ages, and a restarted forwarder goes on
sending to hosts that drain (DRAIN)."""

import os
import random
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Reads that may be old are answered by two copies of the store in turn: one is up to date, one is two seconds old.
# LAGS=0,0 makes both up to date, to tell the cause.
LAGS = tuple(float(lag) for lag in os.environ.get("LAGS", "0,2").split(","))


def build(make):
    world = make(["walu", "laucala", "nabua"], lags=LAGS)
    world.write_configuration(7)
    # More entries than a page of the store holds (about 500).
    for zone in world.zones:
        world.add_hosts("tryon", zone, 300, 0.1)
        world.add_hosts("scanintake", zone, 2, 0.005)
        world.add_forwarders(zone, 1)
    # The old copy has all of that, too.
    world.loop.run_for(2.5)
    world.start_forwarders()
    world.loop.run_for(1)

    begin = time.monotonic()
    for zone in world.zones:
        world.keep_opening(
            zone, world.confirm_route, "non_idempotent", 120 if zone == "walu" else 5, lambda: begin + 17.5)
    world.loop.run_for(5)
    world.require_service(begin)

    # Planned work: 13% of the hosts of the service are emptied and taken away (scale_in). They serve for drainMs after
    # the store has accepted that, and some seconds longer.
    leaving = random.sample([host for host in world.hosts if host.service == "tryon"], 117)
    for host in leaving:
        host.drain()
    drained = time.monotonic()
    if HAS_TROUBLE:
        # A process is killed and restarted after a short delay (node_kill).
        forwarder = world.forwarders[0]
        world.loop.run_for(0.2)
        forwarder.kill()
        world.loop.run_for(0.3)
        # The next read that may be old is the up-to-date copy's turn, as at the first start.
        world.store.stale_reads = 0
        forwarder.start()
        world.loop.run_until(lambda: forwarder.misses == 0, 3, "the restarted forwarder is not ready")
    world.loop.run_for(drained + 12 - time.monotonic())
    for host in leaving:
        host.end()
    world.loop.run_for(2.5)

    # DRAIN: a request reaches a host later than drainMs after the store has acknowledged that the host is draining, by
    # a machine in touch: its process has run for stableMs, and nothing else was disturbed.
    drain_s = world.bounds["drainMs"] / 1000
    late = [(at, host, flow, via) for at, host, flow, via in world.openings
            if host.drain_acknowledged is not None and at > host.drain_acknowledged + drain_s]
    broken = [row for row in late if row[3] is not None and row[3].is_in_touch(row[0])]
    unserved = [r for r in world.requests.values() if r.answered is None and any(h in leaving for h in r.runs)]
    by = sorted({via.name for _, _, _, via in broken})
    print(f"{len(world.requests)} requests, {sum(1 for r in world.requests.values() if r.answered)} answered; "
          f"{len(leaving)} hosts drained; {len(late)} openings reached one later than drainMs, {len(broken)} of them by "
          f"machines in touch ({', '.join(by) or 'none'}); {len({host for _, host, _, _ in broken})} hosts; "
          f"{len(unserved)} requests ran at a leaving host and were never answered")
    for at, host, flow, via in broken:
        world.record.write("DRAIN broken:", world.name_of(flow.key), "reached", host.id,
                           f"{at - host.drain_acknowledged:.1f} s after the acknowledgement, via", via.name, at=at)
    return standins.BROKEN if broken else standins.HELD


standins.run_case(CASE, build)

"""Case 1: an entry of another writer, with a service that isn't named, takes open flows from a live host (FLOW)."""

import os
import random
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# ENTRY=own: the other writer overwrites the live host's own entry, which the host writes again with its next check-in.
# ENTRY=bare: the same, with an entry that lacks `born` and names the installation's other service; checks ROUTE.
ENTRY = os.environ.get("ENTRY", "new")
CHECK_IN_S = 0.77


def build(make):
    world = make(["walu", "laucala", "nabua"])
    world.write_configuration(7)
    for zone, tryon, scanintake in (("walu", 5, 2), ("laucala", 5, 1), ("nabua", 4, 1)):
        world.add_hosts("tryon", zone, tryon, 0.015)
        world.add_hosts("scanintake", zone, scanintake, 0.005)
    for zone, count in (("walu", 3), ("laucala", 2), ("nabua", 1)):
        world.add_forwarders(zone, count)
    world.start_forwarders()
    world.loop.run_for(1)

    begin = time.monotonic()
    for zone in world.zones:
        world.keep_opening(zone, world.stream_route, "idempotent", 10, lambda: begin + 2, pause_s=0.6, requests=10_000)
        world.keep_opening(zone, world.confirm_route, "non_idempotent", 5, lambda: begin + 15)
        if ENTRY == "bare":
            world.keep_opening(zone, world.scan_route, "non_idempotent", 15, lambda: begin + 20)
    # All machines have run for longer than stableMs before the disruption.
    world.loop.run_for(13 if ENTRY == "bare" else 8)
    world.require_service(begin)

    def open_flows(host):
        return sum(flow.is_open for flow in host.flows.values())

    victim = max((host for host in world.hosts if host.service == "tryon"), key=open_flows)
    if open_flows(victim) < 2:
        raise standins.CouldNotRun("no host has open flows")
    world.record.write("host", victim.id, "has", open_flows(victim), "open flows and lives on")
    if HAS_TROUBLE:
        key = f"servers/i-{random.getrandbits(60) | 1:x}"
        if ENTRY != "new":
            key = f"servers/{victim.id}"
            world.loop.later(CHECK_IN_S, victim.register)
        # Valid in all fields but the service, which no configuration and no page names.
        entry = dict(victim.entry(), service="another-writers-service", born=int(time.time() * 1000), sequence=1)
        if ENTRY == "bare":
            entry["service"] = "scanintake"
            del entry["born"]
        world.store.put(key, entry)
        world.record.write("another writer writes", key, entry)
    world.loop.run_for(7)

    # FLOW (a): the requester gets a reset that the flow's host didn't send, while that host lives. No machine, host or
    # link is disturbed in the whole run, so all are in touch. Flows are younger than maxFlowS and not idle.
    broken = [(at, flow, host) for at, flow, host in world.system_resets
              if host is not None and at - flow.opened < world.bounds["maxFlowS"]]
    lost = [r for r in world.requests.values() if r.failure]
    later = [1 for at, host, flow, via in world.openings if host is victim and at > begin + 8.5]
    print(f"{len(world.requests)} requests, {sum(1 for r in world.requests.values() if r.answered)} answered, "
          f"{len(lost)} failed; {len(broken)} open flows of live hosts were reset by the system "
          f"({sum(host is victim for _, _, host in broken)} of host {victim.id}); "
          f"{len(later)} flows opened at that host later; {world.corrupted} packets or answers changed")
    for at, flow, host in broken:
        world.record.write("FLOW broken:", world.name_of(flow.key), "was open at", host.id, at=at)
    if ENTRY == "bare":
        print(f"{len(world.foreign_runs)} requests were run by a service that their route never led to")
    return standins.BROKEN if broken or world.foreign_runs else standins.HELD


standins.run_case(CASE, build)

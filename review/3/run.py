"""Case 3: a late write of a host that has crashed ends the host that has its address now, at a forwarder that was
restarted in between (FLOW)."""

import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CHECK_IN_S = 0.77
# A write without an answer is executed up to 6 s later (platform_lost, late).
WRITE_DELAY_S = 5.9


def build(make):
    # The entries are those of PROTOCOL.md, without a start time.
    world = make(["walu", "laucala", "nabua"], says_born=False)
    world.write_configuration(7)
    for zone in world.zones:
        world.add_hosts("tryon", zone, 5, 0.015)
        world.add_forwarders(zone, 1)
    for zone in world.zones[1:]:
        world.add_hosts("scanintake", zone, 1, 0.005)
    world.start_forwarders()
    world.loop.run_for(1)

    begin = time.monotonic()
    for zone in world.zones:
        world.keep_opening(zone, world.confirm_route, "non_idempotent", 15, lambda: begin + 20)
    world.loop.run_for(5)
    world.require_service(begin)

    # A host of tryon crashes and falls silent. Its last check-in got no answer, and is executed late. Its entry expires
    # after three check-in intervals, and its address goes to a host of scanintake (replace_with_reuse).
    former = next(host for host in world.hosts if host.zone == "walu")
    last_entry = former.entry()
    crashed = time.monotonic()
    former.crash()
    world.loop.run_for(3 * CHECK_IN_S)
    world.store.delete(f"servers/{former.id}")
    world.loop.run_for(0.3)
    successor = standins.Host(world, "scanintake", "walu", former.address, 0.005)
    world.hosts.append(successor)
    successor.register()
    world.record.write("host", successor.id, "of scanintake has the address of", former.id, "now")

    forwarder = world.forwarders[0]
    if HAS_TROUBLE:
        # A process is killed and restarted after a short delay (node_kill).
        world.loop.run_for(0.1)
        forwarder.kill()
        world.loop.run_for(0.3)
        forwarder.start()
        world.loop.run_until(lambda: forwarder.misses == 0, 2, "the restarted forwarder is not ready")
    else:
        world.loop.run_for(0.5)

    # Requesters keep flows open for many requests, with pauses of 7 s, far below idleTimeoutMs.
    for _ in range(6):
        world.requesters["walu"].open(world.scan_route, "non_idempotent", 7.0, 3)
    world.loop.run_until(
        lambda: sum(flow.is_open for flow in successor.flows.values()) >= 4, 1, "the new host gets no flows")
    if HAS_TROUBLE:
        world.loop.run_for(max(0.0, crashed + WRITE_DELAY_S - time.monotonic()))
        key = f"servers/{former.id}"
        late_write = world.store.put(key, dict(last_entry, sequence=5))
        world.record.write("the late write of", former.id, "is executed")
        world.loop.later(3 * CHECK_IN_S, lambda: world.store.delete(key))
    world.loop.run_for(crashed + 14 - time.monotonic())

    # FLOW (a): the requester gets a reset that the flow's host didn't send, while that host lives, from a machine in
    # touch: its process has run for stableMs, and the store was undisturbed for stableMs, its late write included.
    stable_s = world.bounds["stableMs"] / 1000
    broken = []
    for at, flow, host in world.system_resets:
        via = world.router_of(flow.requesters.zone, flow.key)
        is_in_touch = via.is_in_touch(at) and (not HAS_TROUBLE or at - late_write >= stable_s)
        if host is not None and is_in_touch and at - flow.opened < world.bounds["maxFlowS"]:
            broken.append((at, flow, host, via))
    lost = [r for r in world.requests.values() if r.failure]
    print(f"{len(world.requests)} requests, {sum(1 for r in world.requests.values() if r.answered)} answered, "
          f"{len(lost)} failed; {len(world.system_resets)} open flows were reset by the system, {len(broken)} of them "
          f"of live hosts by machines in touch ({sum(row[2] is successor for row in broken)} of host {successor.id})")
    for at, flow, host, via in broken:
        world.record.write("FLOW broken:", world.name_of(flow.key), "was open at", host.id, "reset by", via.name, at=at)
    return standins.BROKEN if broken else standins.HELD


standins.run_case(CASE, build)

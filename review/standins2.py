"""Stand-ins for a small deployment of the forwarder: the platform's store, its routers, hosts and requesters.

They follow SYSTEM.md, PROTOCOL.md and DEPLOY.md. All addresses are loopback addresses. Everything runs in one process
on the real clock; only the forwarders are separate processes, started with the command of the deploy file.
"""
import asyncio
import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
import zlib

SYN, ACK, FIN, RST, BOUNCED = 16, 2, 32, 128, 1
KEY = b"sum of the stand-ins"


# --- packets -------------------------------------------------------------------------------------------------------
class Packet:
    __slots__ = ("src", "sport", "dst", "dport", "sum", "seq", "ack", "echo", "flags", "data")

    def __init__(self, src, sport, dst, dport, seq=0, ack=0, echo=0, flags=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.seq, self.ack, self.echo, self.flags, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, flags, data
        self.sum = 0

    def keyed_sum(self):
        head = struct.pack(">IHHIIIBH", self.src, self.sport, self.dport, self.dst, self.seq, self.ack,
                           self.flags & ~BOUNCED, len(self.data))
        return zlib.crc32(KEY + head + self.data) or 1

    def encode(self):
        return struct.pack(">IHHIIIIIB3xH", self.src, self.sport, self.dport, self.dst, self.keyed_sum(), self.seq,
                           self.ack, self.echo, self.flags, len(self.data)) + self.data


def decode(raw):
    if len(raw) < 34:
        return None
    src, sport, dport, dst, checksum, seq, ack, echo, flags, length = struct.unpack(">IHHIIIIIB3xH", raw[:34])
    if len(raw) != 34 + length:
        return None
    packet = Packet(src, sport, dst, dport, seq, ack, echo, flags, raw[34:])
    packet.sum = checksum
    return packet


def number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def text(ip):
    return socket.inet_ntoa(struct.pack(">I", ip))


# --- record --------------------------------------------------------------------------------------------------------
class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, line):
        if not self.file.closed:
            self.file.write("%8.3f  %s\n" % (self.now(), line))

    def close(self):
        self.file.close()


# --- the platform's store ------------------------------------------------------------------------------------------
class Store:
    """The store. Reads that may be old (`allowStale`) are answered by its copies in turn; `lags_s` tells for each copy
    how many seconds it is behind. It can listen at several addresses, such as one in each zone."""

    ANSWER_S = 0.004
    PAGE_CHARACTERS = 1400000  # 1 MB as base64 text.

    def __init__(self, *addresses):
        self.ip = addresses[0]
        self.addresses = addresses
        self.items, self.history, self.revision = {}, [], 100
        self.changed = asyncio.Event()
        self.lags_s = (0,)
        self.states = [(0.0, {}, self.revision)]
        self.servers = []
        self.note = lambda line: None

    async def start(self):
        self.port = None
        for address in self.addresses:
            turns = itertools.count()
            server = await asyncio.start_server(
                lambda reader, writer, turns=turns: self.serve(reader, writer, turns), address, self.port or 0)
            self.port = server.sockets[0].getsockname()[1]
            self.servers.append(server)

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "removed": True})
            self.wake()

    def wake(self):
        self.states.append((time.monotonic(), dict(self.items), self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer, turns):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b"\r\n")[0].split(b" ")[1].decode()
                status, body = await self.answer(target, turns)
                raw = json.dumps(body, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(raw)) + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def state(self, lag_s):
        """The items and the revision of a copy that is so far behind."""
        if lag_s == 0:
            return self.items, self.revision
        return [s for s in self.states if s[0] <= time.monotonic() - lag_s][-1][1:]

    async def answer(self, target, turns):
        await asyncio.sleep(self.ANSWER_S)
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if url.path == "/kv-range":
            lag_s = self.lags_s[next(turns) % len(self.lags_s)] if query.get("allowStale") == "1" else 0
            items, revision = self.state(lag_s)
            self.note("store: a listing of revision %d, the newest is %d" % (revision, self.revision))
            keys = sorted(k for k in items if k.startswith(prefix) and k > query.get("after", ""))
            page, size = [], 0
            for key in keys:
                if len(page) == 500 or (page and size + len(items[key]["value"]) > self.PAGE_CHARACTERS):
                    break
                page.append(items[key])
                size += len(items[key]["value"])
            return 200, {"items": page, "hasMore": len(keys) > len(page), "currentRev": revision}
        if url.path == "/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


# --- hosts ---------------------------------------------------------------------------------------------------------
class HostFlow:
    def __init__(self, packet, own):
        self.src, self.sport, self.dst, self.dport = packet.src, packet.sport, packet.dst, packet.dport
        self.echo = packet.echo
        self.start = own  # The host's own first sequence number.
        self.next = own + 1  # The next byte that the host sends.
        self.expected = (packet.seq + 1) & 0xFFFFFFFF
        self.is_open = False
        self.unacked = None  # (flags, seq, data) of the last packet that the requester has to acknowledge.
        self.timer = None
        self.tries = 0


class Host:
    """A host: answers SYNs, runs requests of one packet each, retransmits what isn't acknowledged."""

    def __init__(self, world, ident, service, zone, ip, port, work_s):
        self.world, self.ident, self.service, self.zone, self.ip, self.port = world, ident, service, zone, ip, port
        self.number = int("".join(c for c in ident if c in "0123456789abcdefABCDEF"), 16)
        self.work_s = work_s
        self.flows = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((ip, port))
        world.loop.add_reader(self.socket, self.receive)

    def entry(self, state="ready"):
        return {"service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": self.zone, "version": "v1",
                "maxConcurrency": 2, "state": state, "warmupLeftMs": 0, "sequence": 4}

    def receive(self):
        for _ in range(64):
            try:
                raw = self.socket.recv(4096)
            except BlockingIOError:
                return
            self.handle(raw)

    def handle(self, raw):
        ident, packet = int.from_bytes(raw[:8], "big"), decode(raw[8:])
        if ident not in (0, self.number) or packet is None:
            return
        if packet.sum != packet.keyed_sum():
            self.world.violation("UNASKED: host %s got a packet that its sender didn't write so" % self.ident)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        self.world.at_host(self, key, packet)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = HostFlow(packet, random.getrandbits(32))
                flow.echo = packet.echo
                flow.unacked = (SYN | ACK, flow.start, b"")
                self.world.loop.call_later(0.0003, self.transmit, key, flow)
            elif not flow.is_open:
                flow.echo = packet.echo
                self.send(flow, SYN | ACK, flow.start)
            return
        if packet.flags & RST:
            if flow and (flow.is_open or packet.ack == (flow.start + 1) & 0xFFFFFFFF):
                self.end(key, flow)
            return
        if flow is None or (not flow.is_open and packet.ack != (flow.start + 1) & 0xFFFFFFFF):
            # "If it receives a packet of a flow that it does not hold, it sends an RST to the requester."
            self.world.host_reset(self, key)
            reply = Packet(packet.dst, packet.dport, packet.src, packet.sport, seq=packet.ack, flags=RST,
                           echo=packet.echo)
            self.world.to_requester(self, reply)
            return
        if not flow.is_open:
            flow.is_open = True
            self.world.flow_opened(self, key)
        flow.echo = packet.echo
        if flow.unacked and packet.ack == flow.next & 0xFFFFFFFF:
            flow.unacked = None
            if flow.timer:
                flow.timer.cancel()
        if packet.data and packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) & 0xFFFFFFFF
            self.world.ran(self, key, packet.data)
            self.world.loop.call_later(self.work_s, self.respond, key, flow, packet.data)
        elif packet.data and not flow.unacked:
            self.send(flow, ACK, flow.next)
        if packet.flags & FIN:
            self.send(flow, ACK | FIN, flow.next)
            self.end(key, flow)

    def respond(self, key, flow, request):
        if self.flows.get(key) is not flow:
            return
        ident = re.search(rb"Request-Id: (\S+)", request).group(1)
        body = b"x" * 600
        data = b"HTTP/1.1 200 OK\r\nRequest-Id: " + ident + b"\r\nResponse-Signature: " + self.ident.encode() \
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        flow.unacked = (ACK, flow.next, data)
        flow.next += len(data)
        flow.tries = 0
        self.transmit(key, flow)

    def transmit(self, key, flow):
        if self.flows.get(key) is not flow or flow.unacked is None:
            return
        if flow.tries > 8:
            self.end(key, flow)
            return
        flags, seq, data = flow.unacked
        self.send(flow, flags, seq, data)
        wait = min(0.2 * 2 ** flow.tries, 1.6)
        flow.tries += 1
        flow.timer = self.world.loop.call_later(wait, self.transmit, key, flow)

    def send(self, flow, flags, seq, data=b""):
        self.world.to_requester(self, Packet(flow.dst, flow.dport, flow.src, flow.sport, seq, flow.expected, flow.echo,
                                             flags, data))

    def end(self, key, flow):
        if flow.timer:
            flow.timer.cancel()
        self.flows.pop(key, None)


# --- requesters ----------------------------------------------------------------------------------------------------
class RequesterFlow:
    """One flow of a requester with its requests, one packet each."""

    def __init__(self, world, requester, sport, route, requests, pause_s, budget_s):
        self.world, self.requester, self.sport, self.route = world, requester, sport, route
        self.left, self.pause_s, self.budget_s = requests, pause_s, budget_s
        self.key = (requester.number, sport, route[0], route[1])
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.state = "opening"
        self.copies = 0
        self.request = None
        self.timers = []
        self.ack_timer = None
        self.done = False

    def later(self, seconds, call):
        self.timers = [t for t in self.timers if not t.cancelled() and t.when() > self.world.loop.time()]
        timer = self.world.loop.call_later(seconds, call)
        self.timers.append(timer)
        return timer

    def begin(self):
        self.send(SYN, self.seq, self.copies)
        self.later(0.2, self.copy)
        self.later(0.6, self.copy)
        self.later(1.4, self.give_up_opening)

    def copy(self):
        if self.state == "opening":
            self.copies += 1
            self.send(SYN, self.seq, self.copies)

    def give_up_opening(self):
        if self.state == "opening":
            self.finish("never opened")

    def send(self, flags, seq, ack, data=b"", echo=0):
        self.world.to_forwarder(self.requester, Packet(self.requester.number, self.sport, self.route[0], self.route[1],
                                                       seq, ack, echo, flags, data))

    def receive(self, packet):
        if self.done:
            return
        if packet.flags & RST:
            if packet.sum != 0 and packet.sum != packet.keyed_sum():
                self.world.violation("MIXED: a requester got a packet that its sender didn't write so")
                return
            near = (packet.seq - self.ack + 76800) & 0xFFFFFFFF <= 2 * 76800
            if self.state == "opening" or near:
                self.world.reset_received(self, packet)
                self.finish("reset")
            return
        if packet.sum != packet.keyed_sum():
            self.world.violation("MIXED: a requester got a packet that its sender didn't write so")
            return
        # "The requester and the host each place in their own packets the last `echo` that they received on a flow."
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.next_request()
            return
        if self.state == "opening":
            return
        if packet.data and packet.seq == self.ack and self.request:
            self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
            self.seq = (self.seq + len(self.request)) & 0xFFFFFFFF
            self.world.answered(self, packet.data)
            self.request = None
            self.left -= 1
            if self.left == 0:
                self.send(ACK | FIN, self.seq, self.ack, echo=self.echo)
                self.finish("closed")
            else:
                self.ack_timer = self.later(0.04, self.acknowledge)
                self.later(self.pause_s, self.next_request)
        elif packet.data:
            self.acknowledge()

    def acknowledge(self):
        if not self.done:
            self.send(ACK, self.seq, self.ack, echo=self.echo)

    def next_request(self):
        if self.done:
            return
        self.ident, self.request = self.world.new_request(self)
        self.later(self.budget_s, lambda ident=self.ident: self.give_up(ident))
        self.transmit(self.ident, 0)

    def transmit(self, ident, tries):
        if self.done or self.request is None or ident != self.ident:
            return
        self.send(ACK, self.seq, self.ack, self.request, echo=self.echo)
        self.later(min(0.2 * 2 ** tries, 1.6), lambda: self.transmit(ident, tries + 1))

    def give_up(self, ident):
        if not self.done and self.request is not None and ident == self.ident:
            self.send(ACK | RST, self.seq, self.ack, echo=self.echo)
            self.finish("time budget over")

    def finish(self, how):
        self.done = True
        for timer in self.timers:
            timer.cancel()
        self.requester.flows.pop(self.sport, None)
        self.world.flow_ended(self, how)


class Requester:
    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone, self.number = world, ip, zone, number(ip)
        self.flows, self.next_port = {}, 20000
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((ip, world.flow_port))
        world.loop.add_reader(self.socket, self.receive)

    def open(self, route, requests, pause_s, budget_s):
        self.next_port += 1
        flow = RequesterFlow(self.world, self, self.next_port, route, requests, pause_s, budget_s)
        self.flows[self.next_port] = flow
        flow.begin()
        return flow

    def receive(self):
        for _ in range(64):
            try:
                raw = self.socket.recv(4096)
            except BlockingIOError:
                return
            packet = decode(raw)
            if packet and packet.dst == self.number and packet.dport in self.flows:
                flow = self.flows[packet.dport]
                if (packet.src, packet.sport) == flow.route:
                    flow.receive(packet)


# --- forwarders ----------------------------------------------------------------------------------------------------
def lookup(scope, path):
    for part in path.split("."):
        if isinstance(scope, dict):
            scope = scope.get(part)
        elif isinstance(scope, list):
            scope = scope[int(part)] if int(part) < len(scope) else None
        else:
            return None
    return scope


def shown(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(shown(v) for v in value)
    return str(value)


def fill(template, fields):
    """Fills in the template of the settings as DEPLOY.md tells, as far as the project's template needs it."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    template = section.sub(lambda m: fill(m[2], fields) if lookup(fields, m[1]) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: shown(lookup(fields, m[1])), template)


class Forwarder:
    def __init__(self, world, name, zone, ip, store_ip=None):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.store_ip = store_ip or world.store.ip
        self.is_ready, self.misses, self.process = False, 2, None
        self.folder = os.path.join(world.folder, name)
        os.mkdir(self.folder)
        self.log = open(os.path.join(self.folder, "log"), "ab")

    def start(self):
        world = self.world
        fields = {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"datagramAddr": "%s:%d" % (self.ip, world.flow_port),
                       "readyAddr": "%s:%d" % (self.ip, world.ready_port),
                       "control": "%s:%d" % (self.ip, world.control_port)},
            "internalPorts": [world.peer_port, world.peer_port],
            "seeds": ["%s:%d" % (f.ip, world.control_port) for f in world.forwarders[:3]],
            "platform": {"address": "%s:%d" % (self.store_ip, world.store.port)},
            "limits": {"linkMbps": 1000.0}, "bounds": world.bounds,
        }
        with open(os.path.join(world.root, "platform/settings.ini.in"), encoding="utf-8") as file:
            settings = fill(file.read(), fields)
        path = os.path.join(self.folder, "settings.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(os.path.join(world.root, "deploy/system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["forwarder"]["run"]
        command = run.replace("/etc/wisteriadock/settings.yaml", path).split(" ")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["WISTERIADOCK_BOOT"] = path
        self.process = subprocess.Popen(command, cwd=world.root, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        world.record.write("start %s pid %d" % (self.name, self.process.pid))

    def signal(self, what):
        self.world.record.write("signal %s to %s" % (what.name, self.name))
        self.process.send_signal(what)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def probe(self):
        """GET /readiness twice per second; two misses take the node out of rotation."""
        while True:
            ok = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, self.world.ready_port), 0.5)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.5)
                ok = b" 200 " in line
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            self.misses = 0 if ok else self.misses + 1
            ready = self.misses < 2
            if ready != self.is_ready:
                self.world.record.write("%s is %s rotation" % (self.name, "in" if ready else "out of"))
            self.is_ready = ready
            await asyncio.sleep(0.5)


# --- the world -----------------------------------------------------------------------------------------------------
class World:
    """A small deployment. Subclasses decide what is disturbed and judge what requesters and hosts saw."""

    bounds = {"maxFlowS": 60, "graceS": 6, "configApplyMs": 3000, "drainMs": 3000}
    FABRIC_S = 0.001  # One way between requesters and the system.

    def __init__(self, root, record_path, net):
        self.root, self.net = root, net
        self.loop = asyncio.get_running_loop()
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.flow_port, self.ready_port, self.peer_port, self.control_port = self.free_ports(4)
        self.store = Store(self.address(3, 1))
        self.forwarders, self.hosts, self.requesters = [], [], []
        self.owner, self.violations, self.ends = {}, [], {}
        self.served = 0
        self.sent = 0

    def address(self, group, n):
        return "127.%d.%d.%d" % (self.net, group, n)

    def free_ports(self, count):
        found = []
        while len(found) < count:
            port = random.randrange(20000, 30000)
            try:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((self.address(1, 1), port))
                found.append(port)
            except OSError:
                pass
        return found

    def violation(self, what):
        self.violations.append(what)
        self.record.write("VIOLATION " + what)

    # Packets.
    def router(self, requester, packet):
        nodes = [f for f in self.forwarders if f.zone == requester.zone]
        ready = [f for f in nodes if f.is_ready]
        if len(ready) * 2 < len(nodes):
            ready = nodes
        return ready[zlib.crc32(struct.pack(">IHIH", packet.src, packet.sport, packet.dst, packet.dport)) % len(ready)]

    def to_forwarder(self, requester, packet):
        node = self.router(requester, packet)
        raw = packet.encode()
        self.loop.call_later(self.FABRIC_S, self.deliver, requester.socket, raw, (node.ip, self.flow_port))

    def to_requester(self, host, packet):
        raw = packet.encode()
        if self.is_lost(host, packet):
            self.record.write("lost: %s from %s to %s:%d" % (flag_names(packet.flags), host.ident, text(packet.dst),
                                                            packet.dport))
            return
        self.loop.call_later(self.FABRIC_S, self.deliver, host.socket, raw, (text(packet.dst), self.flow_port))

    @staticmethod
    def deliver(sock, raw, address):
        try:
            sock.sendto(raw, address)
        except OSError:
            pass

    def is_lost(self, host, packet):
        return False

    # What hosts and requesters saw.
    def at_host(self, host, key, packet):
        """A packet has reached a host."""

    def flow_opened(self, host, key):
        self.owner.setdefault(key, host)
        self.record.write("open: flow %s at %s" % (name(key), host.ident))

    def host_reset(self, host, key):
        self.record.write("%s resets flow %s, which it does not hold" % (host.ident, name(key)))
        self.last_reset = (key, host)

    def reset_received(self, flow, packet):
        """The requester of the flow has got a reset that it accepts."""

    def ran(self, host, key, data):
        ident = re.search(rb"Request-Id: (\S+)", data).group(1)
        self.record.write("run: %s of flow %s at %s" % (ident.decode(), name(key), host.ident))

    def new_request(self, flow):
        self.sent += 1
        ident = "q%d" % self.sent
        data = ("GET /x HTTP/1.1\r\nRequest-Id: %s\r\n\r\n" % ident).encode()
        self.record.write("send: %s on flow %s" % (ident, name(flow.key)))
        return ident, data

    def answered(self, flow, data):
        if b"Request-Id: " + flow.ident.encode() + b"\r\n" not in data:
            self.violation("MIXED: flow %s got the answer of another request" % name(flow.key))
        self.served += 1
        self.record.write("answer: %s on flow %s" % (flow.ident, name(flow.key)))

    def flow_ended(self, flow, how):
        self.ends[how] = self.ends.get(how, 0) + 1
        self.record.write("end: flow %s, %s" % (name(flow.key), how))

    def close(self):
        for forwarder in self.forwarders:
            forwarder.stop()
            forwarder.log.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def name(key):
    return "%s:%d>%s:%d" % (text(key[0]), key[1], text(key[2]), key[3])


def flag_names(flags):
    names = [(SYN, "SYN"), (ACK, "ACK"), (FIN, "FIN"), (RST, "RST")]
    return "+".join(n for f, n in names if flags & f) or "-"


async def until_ready(world, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if all(f.is_ready for f in world.forwarders):
            return True
        await asyncio.sleep(0.1)
    return False

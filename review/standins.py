"""Stand-ins of the platform, for the scripts of the review's cases: the store, hosts, routers and requesters.

They speak what PROTOCOL.md says, on loopback addresses and the real clock, and start the forwarder by the command of
the deploy file with settings made from its template. Only Python's standard library is used.
"""

import base64
import bisect
import heapq
import http.client
import http.server
import json
import os
import random
import re
import selectors
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

FLOW_PORT = 18172
READY_PORT = 18167
CONTROL_PORT = 18166
PEER_PORT = 17720
HOST_PORT = 18080
STORE_PORT = 18169

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    pass


# ---------------------------------------------------------------------------------------------------------------------
# The record and the event loop


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="ascii")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, *words, at=None):
        seconds = (time.monotonic() if at is None else at) - self.start
        with self.lock:
            self.file.write(f"{seconds:8.3f} {' '.join(str(word) for word in words)}\n")

    def close(self):
        with self.lock:
            self.file.close()


class Loop:
    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.count = 0

    def add(self, sock, handler):
        self.selector.register(sock, selectors.EVENT_READ, handler)

    def remove(self, sock):
        self.selector.unregister(sock)

    def later(self, seconds, action):
        self.count += 1
        heapq.heappush(self.timers, (time.monotonic() + seconds, self.count, action))

    def run_for(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.step(end)

    def run_until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() >= end:
                raise CouldNotRun(f"after {seconds} s: {what}")
            self.step(min(end, time.monotonic() + 0.05))

    def step(self, end):
        wait = end - time.monotonic()
        if self.timers:
            wait = min(wait, self.timers[0][0] - time.monotonic())
        for key, _ in self.selector.select(max(0.0, wait)):
            key.data()
        while self.timers and self.timers[0][0] <= time.monotonic():
            heapq.heappop(self.timers)[2]()


def udp_socket(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def reserve_network():
    """Finds a loopback network 127.N.0.0/16 that no other run uses. Returns N and the socket that reserves it."""
    first = os.getpid() % 200
    for i in range(200):
        number = 16 + (first + i) % 200
        try:
            return number, udp_socket((f"127.{number}.0.250", FLOW_PORT))
        except OSError:
            continue
    raise CouldNotRun("no free loopback network")


# ---------------------------------------------------------------------------------------------------------------------
# Packets (PROTOCOL.md, "Packets")

SYN, ACK, FIN, RST, BOUNCED = 16, 2, 32, 128, 1
HEAD = struct.Struct(">IHHIIIIIB3sH")
SUM_KEY = b"a key that only requesters and hosts have"
M32 = 0xFFFFFFFF


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def keyed_sum(src, sport, dport, dst, seq, ack, flags, data):
    fields = struct.pack(">IHHIIIBH", src, sport, dport, dst, seq, ack, flags & ~BOUNCED, len(data))
    return zlib.crc32(SUM_KEY + fields + data) or 1


class Packet:
    __slots__ = ("src", "sport", "dport", "dst", "sum", "seq", "ack", "echo", "flags", "data")

    @staticmethod
    def parse(raw):
        if len(raw) < HEAD.size:
            return None
        packet = Packet()
        (packet.src, packet.sport, packet.dport, packet.dst, packet.sum, packet.seq, packet.ack, packet.echo,
         packet.flags, _, length) = HEAD.unpack_from(raw)
        packet.data = raw[HEAD.size:]
        return packet if len(packet.data) == length else None

    def is_signed(self):
        return self.sum == keyed_sum(
            self.src, self.sport, self.dport, self.dst, self.seq, self.ack, self.flags, self.data)

    def flow(self):
        """The flow of a packet of a requester."""
        return (self.src, self.sport, self.dst, self.dport)

    def answered_flow(self):
        """The flow of a packet to a requester."""
        return (self.dst, self.dport, self.src, self.sport)


def encode(src, sport, dst, dport, seq, ack, echo, flags, data=b""):
    total = keyed_sum(src, sport, dport, dst, seq & M32, ack & M32, flags, data)
    return HEAD.pack(src, sport, dport, dst, total, seq & M32, ack & M32, echo, flags, b"\0\0\0", len(data)) + data


def before_or_at(a, b):
    return ((b - a) & M32) < 0x80000000


# ---------------------------------------------------------------------------------------------------------------------
# The store (PROTOCOL.md, "The platform's metadata store")


class Store:
    """Answers reads and watches. Reads with allowStale are served from copies that are `lags` seconds old, in turn."""

    page_items = 500
    page_bytes = 1_000_000

    def __init__(self, address, record, lags=(0.0,)):
        self.record = record
        self.lags = lags
        self.stale_reads = 0
        self.lock = threading.Condition()
        self.items = {}
        self.revision = 100
        # (time, key, item or None), in the order of the revisions.
        self.history = []
        self.is_closed = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
                status, body = store.answer(url.path, query, self.client_address)
                data = json.dumps(body, separators=(",", ":")).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.send_response(503)
                self.send_header("Content-Length", "0")
                self.end_headers()

            do_DELETE = do_POST

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass  # A forwarder was killed or gave a call up.

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        with self.lock:
            self.is_closed = True
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def put(self, key, value):
        """Writes a value and returns the time of the store's answer, which is the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        with self.lock:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                    "created": created, "lease": 0}
            self.items[key] = item
            self.history.append((time.monotonic(), key, item))
            self.lock.notify_all()
        return time.monotonic()

    def delete(self, key):
        with self.lock:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.history.append((time.monotonic(), key, {"key": key, "revision": self.revision, "removed": True}))
            self.lock.notify_all()

    def copy_of(self, lag):
        """The items and the revision of `lag` seconds ago."""
        if lag <= 0:
            return self.items, self.revision
        end = bisect.bisect_right(self.history, time.monotonic() - lag, key=lambda row: row[0])
        items, revision = {}, 100
        for _, key, item in self.history[:end]:
            revision = item["revision"]
            if item.get("removed"):
                items.pop(key, None)
            else:
                items[key] = item
        return items, revision

    def answer(self, path, query, caller):
        if path == "/kv-range":
            return 200, self.range(query, caller)
        if path == "/kv-watch":
            return self.watch(query)
        if path == "/kv-key":
            with self.lock:
                item = self.items.get(query.get("key", ""))
                return (200, dict(item, currentRev=self.revision)) if item else (404, {})
        return 404, {}

    def range(self, query, caller):
        with self.lock:
            lag = 0.0
            if query.get("allowStale") == "1":
                lag = self.lags[self.stale_reads % len(self.lags)]
                self.stale_reads += 1
            items, revision = self.copy_of(lag)
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in items if key.startswith(prefix) and key > after)
            page, size = [], 0
            for key in keys:
                if len(page) >= self.page_items or (page and size + len(items[key]["value"]) > self.page_bytes):
                    break
                page.append(items[key])
                size += len(items[key]["value"])
        self.record.write("store read from", caller[0], f"after='{after}'", f"lag={lag}", f"revision={revision}",
                          f"items={len(page)}", f"hasMore={len(page) < len(keys)}")
        return {"items": page, "hasMore": len(page) < len(keys), "currentRev": revision}

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        end = time.monotonic() + min(30_000, int(query.get("waitMs", "0"))) / 1000
        with self.lock:
            if after > self.revision:
                return 410, {}
            while True:
                events = [item for _, key, item in changes_after(self.history, after) if key.startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0 or self.is_closed:
                    return 200, {"events": events, "currentRev": self.revision}
                self.lock.wait(left)


def changes_after(history, after):
    begin = bisect.bisect_right(history, after, key=lambda row: row[2]["revision"])
    return history[begin:]


# ---------------------------------------------------------------------------------------------------------------------
# Bytes of one end of a flow: packets in order, acknowledgements, retransmissions


class Stream:
    def __init__(self, loop, send, next_seq):
        self.loop = loop
        self.send = send  # send(seq, flags, data)
        self.next_seq = next_seq
        self.expected = None
        self.unacknowledged = []
        self.is_closed = False
        self.tries = 0

    def write(self, data, flags=ACK):
        segment = (self.next_seq, flags, data)
        self.next_seq = (self.next_seq + len(data) + (1 if flags & FIN else 0)) & M32
        self.unacknowledged.append(segment)
        self.send(*segment)
        if len(self.unacknowledged) == 1:
            self.tries = 0
            self.await_acknowledgement(segment, 0.2)

    def await_acknowledgement(self, segment, seconds):
        def check():
            if self.is_closed or not self.unacknowledged:
                return
            if self.unacknowledged[0] is not segment:
                self.tries = 0
                return self.await_acknowledgement(self.unacknowledged[0], 0.2)
            self.tries += 1
            if self.tries > 8:
                self.is_closed = True
                return
            self.send(*segment)
            self.await_acknowledgement(segment, min(1.6, seconds * 2))

        self.loop.later(seconds, check)

    def acknowledged(self, ack):
        while self.unacknowledged:
            seq, flags, data = self.unacknowledged[0]
            if not before_or_at((seq + len(data) + (1 if flags & FIN else 0)) & M32, ack):
                return
            self.unacknowledged.pop(0)

    def accept(self, packet):
        """Returns the new bytes of a packet in order, and whether it ends the stream; None for any other packet."""
        size = len(packet.data) + (1 if packet.flags & FIN else 0)
        if size == 0 or packet.seq != self.expected:
            return None
        self.expected = (self.expected + size) & M32
        return packet.data, bool(packet.flags & FIN)


# ---------------------------------------------------------------------------------------------------------------------
# Hosts


class HostFlow:
    def __init__(self):
        self.own_seq = random.getrandbits(32)
        self.echo = 0
        self.is_open = False
        self.opened_by = None
        self.received = b""
        self.stream = None
        self.working = 0


class Host:
    """A host of a service. It registers itself in the store and answers requests after `work_s` seconds."""

    def __init__(self, world, service, zone, address, work_s):
        self.world = world
        self.service = service
        self.zone = zone
        self.address = address
        self.work_s = work_s
        self.number = random.getrandbits(60) | 1
        self.id = f"i-{self.number:x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.drain_acknowledged = None
        self.is_alive = True
        self.flows = {}
        self.socket = udp_socket(address)
        world.loop.add(self.socket, self.receive)

    def entry(self):
        entry = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                 "version": "v1", "maxConcurrency": 2, "state": self.state, "warmupLeftMs": 0, "sequence": 4}
        return dict(entry, born=self.born) if self.world.says_born else entry

    def register(self):
        return self.world.store.put(f"servers/{self.id}", self.entry())

    def drain(self):
        self.state = "draining"
        self.drain_acknowledged = self.register()
        self.world.record.write("host", self.id, "is draining, acknowledged")

    def end(self):
        self.world.store.delete(f"servers/{self.id}")
        self.crash()

    def crash(self):
        """Ends in silence. Its entry stays until it expires."""
        self.is_alive = False
        self.world.loop.remove(self.socket)
        self.socket.close()
        self.world.record.write("host", self.id, "has ended;", sum(f.is_open for f in self.flows.values()),
                                "flows were open,", sum(f.working for f in self.flows.values()), "requests at work")

    def receive(self):
        for _ in range(64):
            try:
                raw = self.socket.recv(2048)
            except BlockingIOError:
                return
            target = int.from_bytes(raw[:8], "big")
            if target not in (0, self.number):
                continue  # Meant for another host.
            packet = Packet.parse(raw[8:])
            if packet is None or not packet.is_signed():
                self.world.record.write("host", self.id, "got bytes that nobody sent")
                self.world.corrupted += 1
                continue
            self.handle(packet)

    def handle(self, packet):
        flow = self.flows.get(packet.flow())
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[packet.flow()] = HostFlow()
                self.world.note_opening(self, packet.flow())
                flow.stream = Stream(
                    self.world.loop, lambda seq, flags, data, f=packet.flow(): self.send(f, seq, flags, data),
                    (flow.own_seq + 1) & M32)
                flow.stream.expected = (packet.seq + 1) & M32
            flow.echo = packet.echo
            self.send(packet.flow(), flow.own_seq, SYN | ACK)
            return
        if packet.flags & RST:
            if flow:
                self.forget(packet.flow())
            return
        if flow is None or (not flow.is_open and packet.ack != (flow.own_seq + 1) & M32):
            if flow is None and packet.flags & FIN:
                self.acknowledge_end(packet)
            elif flow is None:
                self.reset(packet)
            return
        if not flow.is_open:
            flow.is_open = True
            self.world.record.write("flow", self.world.name_of(packet.flow()), "is open at", self.id)
        flow.echo = packet.echo
        flow.stream.acknowledged(packet.ack)
        got = flow.stream.accept(packet)
        if got is None:
            if packet.data or packet.flags & FIN:
                self.send(packet.flow(), flow.stream.next_seq, ACK)
            return
        data, is_end = got
        flow.received += data
        self.send(packet.flow(), flow.stream.next_seq, ACK)
        if is_end:
            flow.stream.write(b"", ACK | FIN)
            self.forget(packet.flow())
            return
        self.take_requests(packet.flow(), flow)

    def take_requests(self, key, flow):
        while True:
            head, found, rest = flow.received.partition(b"\r\n\r\n")
            if not found:
                return
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int(fields.get(b"Content-Length", b"0"))
            if len(rest) < length:
                return
            flow.received = rest[length:]
            request = fields[b"Request-Id"].decode()
            self.world.note_run(self, request)
            flow.working += 1
            self.world.loop.later(self.work_s, lambda r=request: self.respond(key, flow, r))

    def respond(self, key, flow, request):
        flow.working -= 1
        if not self.is_alive or self.flows.get(key) is not flow:
            return
        body = f"{self.id} did {request}".encode().ljust(600, b".")
        closes = self.state == "draining"
        head = (f"HTTP/1.1 200 OK\r\nResponse-Signature: {self.id}/{request}\r\nContent-Length: {len(body)}\r\n"
                + ("Connection: close\r\n" if closes else "") + "\r\n").encode()
        flow.stream.write(head + body, ACK | (FIN if closes else 0))

    def forget(self, key):
        flow = self.flows.pop(key)
        self.world.loop.later(2.0, lambda: setattr(flow.stream, "is_closed", True))

    def send(self, key, seq, flags, data=b""):
        if not self.is_alive:
            return
        src, sport, dst, dport = key
        flow = self.flows.get(key)
        echo = flow.echo if flow else 0
        ack = flow.stream.expected if flow else 0
        self.socket.sendto(
            encode(dst, dport, src, sport, seq, ack, echo, flags, data), (ip_text(src), FLOW_PORT))

    def acknowledge_end(self, packet):
        src, sport, dst, dport = packet.flow()
        end = packet.seq + len(packet.data) + 1
        self.socket.sendto(
            encode(dst, dport, src, sport, packet.ack, end, packet.echo, ACK), (ip_text(src), FLOW_PORT))

    def reset(self, packet):
        src, sport, dst, dport = packet.flow()
        self.socket.sendto(
            encode(dst, dport, src, sport, packet.ack, 0, packet.echo, RST), (ip_text(src), FLOW_PORT))


# ---------------------------------------------------------------------------------------------------------------------
# Forwarders: the deploy file, its template, the process, and the routers' readiness checks


def render(template, fields):
    """Fills a template as DEPLOY.md says, as far as templates of settings need it."""

    def lookup(path, scopes):
        if path == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(entry) for entry in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    section = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(text, scopes):
        def replace_section(match):
            value = lookup(match[2], scopes)
            is_absent = value is None or value is False or value == []
            if match[1] == "^":
                return expand(match[3], scopes) if is_absent else ""
            if is_absent:
                return ""
            if isinstance(value, list):
                return "".join(expand(match[3], [entry] + scopes) for entry in value)
            return expand(match[3], [value] + scopes)

        text = section.sub(replace_section, text)

        def replace_value(match):
            path, _, form = match[1].partition("|")
            value = lookup(path, scopes)
            return json.dumps(value) if form == "json" else text_of(value)

        return re.sub(r"\{\{([^{}#^/]+)\}\}", replace_value, text)

    return expand(template, [fields])


class Forwarder:
    def __init__(self, world, name, zone, ip):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.started = None
        self.misses = 2
        self.starts = 0

    def settings(self):
        world = self.world
        return {
            "nodeName": self.name, "role": world.role_name, "machineClass": "edge", "serves": world.role["serves"],
            "ip": self.ip, "zone": self.zone, "region": "suva", "zones": {zone: "suva" for zone in world.zones},
            "listen": {"datagramAddr": f"{self.ip}:{FLOW_PORT}", "readyAddr": f"{self.ip}:{READY_PORT}",
                       "control": f"{self.ip}:{CONTROL_PORT}"},
            "internalPorts": [PEER_PORT, PEER_PORT + 15],
            "seeds": [f"{forwarder.ip}:{CONTROL_PORT}" for forwarder in world.forwarders[:3]],
            "bootstrap": self.starts == 1, "inFaultBudget": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "announce", "heartbeatMs": 770,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": world.bounds, "hash": "mod",
            "forwardingMode": "echo",
            "platform": {"address": f"{world.store_ip}:{STORE_PORT}", "forwardingMode": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }

    def start(self):
        self.starts += 1
        world = self.world
        path = os.path.join(world.folder, f"{self.name}.settings")
        with open(os.path.join(ROOT, world.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = [word.replace("/etc/wisteriadock/settings.yaml", path) for word in world.role["run"].split(" ")]
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CouldNotRun(f"{command[0]} is missing; build it as deploy/system.toml says")
        command[0] = os.path.join(ROOT, command[0])
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WISTERIADOCK_BOOT"] = path
        log = open(os.path.join(world.folder, f"{self.name}.{self.starts}.log"), "wb")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.started = time.monotonic()
        world.record.write("forwarder", self.name, "is started")

    def signal(self, number):
        self.world.record.write("forwarder", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_in_rotation(self):
        return self.misses < 2

    def is_in_touch(self, at):
        return self.started is not None and at - self.started >= self.world.bounds["stableMs"] / 1000

    def check_readiness(self):
        """Runs on a thread of its own: GET /readiness twice a second; out of rotation after two misses."""
        while not self.world.is_over:
            begin = time.monotonic()
            is_ready = False
            try:
                connection = http.client.HTTPConnection(self.ip, READY_PORT, timeout=0.5)
                connection.request("GET", "/readiness")
                is_ready = connection.getresponse().status == 200
                connection.close()
            except OSError:
                pass
            except http.client.HTTPException:
                pass
            was = self.is_in_rotation()
            self.misses = 0 if is_ready else self.misses + 1
            if was != self.is_in_rotation():
                self.world.record.write("forwarder", self.name, "is", "in" if is_ready else "out of", "rotation")
            time.sleep(max(0.0, 0.5 - (time.monotonic() - begin)))


# ---------------------------------------------------------------------------------------------------------------------
# Requesters, behind the routers


class Request:
    def __init__(self, name, kind, route, sent, via):
        self.name = name
        self.kind = kind
        self.route = route
        self.sent = sent
        self.via = via
        self.runs = []
        self.answered = None
        self.failure = None


class RequesterFlow:
    def __init__(self, requesters, route, sport, kind, pause_s, requests):
        self.requesters = requesters
        self.world = requesters.world
        self.route = route
        self.key = (requesters.number, sport, ip_number(route[0]), route[1])
        self.kind = kind
        self.pause_s = pause_s
        self.requests_left = requests
        self.own_seq = random.getrandbits(32)
        self.echo = 0
        self.is_open = False
        self.is_over = False
        self.opened = None
        self.last_packet = None
        self.opened_by = None  # The forwarder that took the first opening packet.
        self.opening_sent = None
        self.stream = None
        self.received = b""
        self.request = None

    def start(self):
        self.opening_sent = time.monotonic()
        for copy, at in enumerate((0.0, 0.2, 0.6)):
            self.world.loop.later(at, lambda c=copy: self.send_opening(c))
        self.world.loop.later(1.4, self.give_up_opening)

    def send_opening(self, copy):
        if self.is_open or self.is_over:
            return
        via = self.send(self.own_seq, copy, SYN)
        self.opened_by = self.opened_by or via
        if copy == 0:
            self.world.record.write("flow", self.world.name_of(self.key), self.kind, "opening sent via", via.name)

    def give_up_opening(self):
        if not self.is_open and not self.is_over:
            self.finish("never opened")

    def send(self, seq, ack, flags, data=b""):
        src, sport, dst, dport = self.key
        via = self.world.router_of(self.requesters.zone, self.key)
        self.last_packet = time.monotonic()
        self.requesters.socket.sendto(
            encode(src, sport, dst, dport, seq, ack, 0 if flags & SYN else self.echo, flags, data),
            (via.ip, FLOW_PORT))
        return via

    def send_on_stream(self, seq, flags, data=b""):
        if not self.is_over or flags & FIN or not data:
            self.send(seq, self.stream.expected, flags, data)

    def handle(self, packet):
        is_own_reset = packet.flags & RST and packet.sum == 0
        if not is_own_reset and not packet.is_signed():
            self.world.record.write("flow", self.world.name_of(self.key), "got a packet that nobody wrote so")
            self.world.corrupted += 1
            return
        if packet.flags & RST:
            return self.handle_reset(packet, is_own_reset)
        if self.is_over:
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            if self.is_open:
                return
            self.is_open = True
            self.opened = time.monotonic()
            self.stream = Stream(self.world.loop, self.send_on_stream, (self.own_seq + 1) & M32)
            self.stream.expected = (packet.seq + 1) & M32
            self.send_on_stream(self.stream.next_seq, ACK)
            self.send_request()
            return
        if not self.is_open:
            return
        self.stream.acknowledged(packet.ack)
        got = self.stream.accept(packet)
        if got is None:
            if packet.data:
                self.send_on_stream(self.stream.next_seq, ACK)
            return
        data, is_end = got
        self.received += data
        self.send_on_stream(self.stream.next_seq, ACK)
        self.take_answer()
        if is_end and not self.is_over:
            self.stream.write(b"", ACK | FIN)
            self.finish("closed by the host")

    def send_request(self):
        if self.is_over or self.requests_left == 0:
            return
        self.requests_left -= 1
        name = f"q{len(self.world.requests) + 1}"
        body = b"" if self.kind == "idempotent" else b"x" * 600
        method = "GET" if self.kind == "idempotent" else "POST"
        head = f"{method} /work HTTP/1.1\r\nHost: {self.route[0]}\r\nRequest-Id: {name}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        via = self.world.router_of(self.requesters.zone, self.key)
        self.request = Request(name, self.kind, self.route, time.monotonic(), via.name)
        self.world.requests[name] = self.request
        self.world.record.write("request", name, "sent on", self.world.name_of(self.key), "via", via.name)
        self.stream.write((head + "\r\n").encode() + body)

    def take_answer(self):
        head, found, rest = self.received.partition(b"\r\n\r\n")
        if not found:
            return
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        length = int(fields[b"Content-Length"])
        if len(rest) < length:
            return
        self.received = rest[length:]
        request, self.request = self.request, None
        if request is None or not fields[b"Response-Signature"].endswith(b"/" + request.name.encode()):
            self.world.record.write("flow", self.world.name_of(self.key), "got an answer of another request")
            self.world.corrupted += 1
            return
        request.answered = time.monotonic()
        self.world.record.write("request", request.name, "answered after",
                                f"{1000 * (request.answered - request.sent):.0f} ms by",
                                fields[b"Response-Signature"].decode().split("/")[0])
        if b"Connection" in fields:
            return
        if self.requests_left == 0:
            self.stream.write(b"", ACK | FIN)
            self.finish("done")
        else:
            self.world.loop.later(self.pause_s, self.send_request)

    def handle_reset(self, packet, is_own_reset):
        if self.is_over:
            return
        if self.is_open:
            distance = (packet.seq - self.stream.expected) & M32
            if min(distance, (-distance) & M32) > 76_800:
                return
        self.world.note_reset(self, is_own_reset)
        self.finish("reset by the system" if is_own_reset else "reset by a host")

    def finish(self, why):
        self.is_over = True
        if self.stream:
            self.world.loop.later(1.0, lambda: setattr(self.stream, "is_closed", True))
        if self.request and self.request.answered is None:
            self.request.failure = why
            self.world.record.write("request", self.request.name, "failed:", why)
        self.world.record.write("flow", self.world.name_of(self.key), "is over:", why)
        self.world.loop.later(2.0, lambda: self.requesters.flows.pop(self.key, None))


class Requesters:
    """All requesters of a zone. They share an address; each flow has a port of its own."""

    def __init__(self, world, zone, ip):
        self.world = world
        self.zone = zone
        self.ip = ip
        self.number = ip_number(ip)
        self.flows = {}
        self.next_port = 20_000
        self.socket = udp_socket((ip, FLOW_PORT))
        world.loop.add(self.socket, self.receive)

    def receive(self):
        for _ in range(64):
            try:
                raw = self.socket.recv(2048)
            except BlockingIOError:
                return
            packet = Packet.parse(raw)
            flow = self.flows.get(packet.answered_flow()) if packet else None
            if flow:
                flow.handle(packet)

    def open(self, route, kind, pause_s=0.0, requests=1):
        self.next_port += 1
        flow = RequesterFlow(self, route, self.next_port, kind, pause_s, requests)
        self.flows[flow.key] = flow
        self.world.all_flows.append(flow)
        flow.start()
        return flow


# ---------------------------------------------------------------------------------------------------------------------
# A whole small installation


class World:
    """An installation: store, hosts, forwarders, routers and requesters, on a loopback network of its own."""

    bounds = {"seedLagS": 3, "reuseAfterS": 2, "stableMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
              "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250, "maxStretchMs": 12000,
              "recoveryS": 12, "flowMs": 2000, "maxFlowS": 60}
    idle_ms = 12_000
    stream_route = ("198.18.0.1", 8443)
    confirm_route = ("198.18.0.1", 8080)
    scan_route = ("198.18.0.1", 8081)

    def __init__(self, case_folder, zones, lags=(0.0,), says_born=True):
        random.seed(int(os.environ.get("SEED", "1")))
        self.zones = zones
        self.says_born = says_born
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.loop = Loop()
        self.network, self.reservation = reserve_network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.is_over = False
        self.store_ip = f"127.{self.network}.0.1"
        self.store = Store((self.store_ip, STORE_PORT), self.record, lags)
        self.hosts = []
        self.forwarders = []
        self.requesters = {}
        self.requests = {}
        self.all_flows = []
        self.openings = []  # (time, host, flow, forwarder)
        self.foreign_runs = []  # (time, request, host): requests run by a service that their route never led to
        self.system_resets = []  # of open flows: (time, flow, host or None)
        self.corrupted = 0
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.role_name, self.role = next((name, role) for name, role in roles.items() if role["on"] == "edge")
        for index, zone in enumerate(zones):
            self.requesters[zone] = Requesters(self, zone, f"127.{self.network}.{index + 1}.200")

    def add_hosts(self, service, zone, count, work_s):
        index = self.zones.index(zone)
        for _ in range(count):
            number = len(self.hosts)
            address = (f"127.{self.network}.{100 + 20 * index + number // 200}.{1 + number % 200}", HOST_PORT)
            self.hosts.append(Host(self, service, zone, address, work_s))
            self.hosts[-1].register()

    def add_forwarders(self, zone, count):
        index = self.zones.index(zone)
        for i in range(count):
            self.forwarders.append(
                Forwarder(self, f"edge-{zone}-{i + 1}", zone, f"127.{self.network}.{index + 1}.{10 + i}"))

    def write_configuration(self, version, idle_routes=8):
        def route(name, address, kind, service):
            return {"name": name, "hostname": address[0], "prefix": f"/{address[1]}/", "type": kind,
                    "timeoutMs": 4000, "targetLatencyMs": 500, "priority": 2, "service": service, "maxAttempts": 2}

        routes = [route("r-stream", self.stream_route, "idempotent", "tryon"),
                  route("r-confirm", self.confirm_route, "non_idempotent", "tryon"),
                  route("r-scan", self.scan_route, "non_idempotent", "scanintake")]
        routes += [route(f"r-idle-{i}", ("198.18.0.2", 9000 + i), "idempotent", "scanintake")
                   for i in range(idle_routes)]
        services = [{"name": name, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": False}
                    for name in ("tryon", "scanintake")]
        self.store.put("op/config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": self.idle_ms}})

    def start_forwarders(self):
        for forwarder in self.forwarders:
            forwarder.start()
            threading.Thread(target=forwarder.check_readiness, daemon=True).start()
        self.loop.run_until(lambda: all(f.is_in_rotation() for f in self.forwarders), 20, "not all forwarders are ready")

    def router_of(self, zone, key):
        """The node that the routers hand a packet of the flow to."""
        own = [f for f in self.forwarders if f.zone == zone]
        ready = [f for f in own if f.is_in_rotation()]
        if not ready:
            ready = [f for f in self.forwarders if f.is_in_rotation()] or self.forwarders
        elif 2 * len(ready) < len(own):
            ready = own
        return ready[zlib.crc32(struct.pack(">IHIH", *key)) % len(ready)]

    def name_of(self, key):
        return f"{ip_text(key[0])}:{key[1]}>{ip_text(key[2])}:{key[3]}"

    def flow_of(self, key):
        for requesters in self.requesters.values():
            if key in requesters.flows:
                return requesters.flows[key]
        return None

    def note_opening(self, host, key):
        flow = self.flow_of(key)
        self.openings.append((time.monotonic(), host, flow, flow.opened_by if flow else None))

    def note_run(self, host, name):
        request = self.requests.get(name)
        self.record.write("request", name, "runs at", host.id, host.service)
        if request is None:
            self.corrupted += 1
            return
        request.runs.append(host)
        if host.service != ("scanintake" if request.route == self.scan_route else "tryon"):
            self.foreign_runs.append((time.monotonic(), request, host))
            self.record.write("ROUTE broken: request", name, "of route", request.route, "runs at", host.service)

    def note_reset(self, flow, is_own_reset):
        host = next((h for h in self.hosts if h.is_alive and flow.key in h.flows and h.flows[flow.key].is_open), None)
        self.record.write("flow", self.name_of(flow.key), "gets a reset of", "the system" if is_own_reset else "a host",
                          "while", f"open at {host.id}" if host else "not open at a live host")
        if is_own_reset and flow.is_open:
            self.system_resets.append((time.monotonic(), flow, host))

    def keep_opening(self, zone, route, kind, per_second, until, pause_s=0.0, requests=1):
        """Opens flows at a steady rate."""
        def open_next():
            if time.monotonic() >= until():
                return
            self.requesters[zone].open(route, kind, pause_s, requests)
            self.loop.later(1 / per_second, open_next)

        open_next()

    def require_service(self, since, share=0.95):
        """The case can run only if the installation serves its requests before the disruption."""
        now = time.monotonic()
        due = [r for r in self.requests.values() if r.sent >= since and now - r.sent > 1.0]
        served = [r for r in due if r.answered]
        if not due or len(served) < share * len(due):
            raise CouldNotRun(f"only {len(served)} of {len(due)} requests are served before the disruption")

    def close(self):
        self.is_over = True
        for forwarder in self.forwarders:
            process = forwarder.process
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.store.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs of the forwarders:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, build):
    """Runs build(world_factory) and exits as the cases have to: 1 broken, 0 held, 2 could not run."""
    worlds = []

    def make(*arguments, **named):
        worlds.append(World(case_folder, *arguments, **named))
        return worlds[-1]

    def stop(*_):
        raise CouldNotRun("ended by a signal")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    result = NOT_RUN
    try:
        result = build(make)
    except Exception as problem:  # A mistake of the script must not look like a broken rule.
        print("could not run:", problem)
        if not isinstance(problem, (CouldNotRun, OSError)):
            traceback.print_exc()
        for world in worlds:
            world.record.write("could not run:", problem)
    finally:
        for world in worlds:
            world.close()
    sys.exit(result)

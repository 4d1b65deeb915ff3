"""Stand-ins for a small deployment on loopback: store, hosts, clients, routers, and the balancers.

The layout is that of the site sajja-wash: three zones, eight machines, services with 14 and 4 hosts.
Everything but the balancers runs in this process; the balancers are the program of the deploy file.
"""

import asyncio
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bulrushgap"
TEMPLATE = ROOT / "deploy" / "balancer.json"

SYN, ACK, FIN, RST = 2, 4, 128, 1
HEAD = struct.Struct(">IIBIHIHIHI")  # seq ack flags sum len echo sport dst dport src
ID_BYTES = 8
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
MAX_SECONDS = 100
BROKEN = 10  # Differs from the status of a Python program that fails itself.
PR_SET_PDEATHSIG = 1
PAGE = 500
ZONES = {"pattani": (3, 5, 2), "yala": (3, 5, 1), "narathiwat": (2, 4, 1)}  # machines, hosts, hosts


class CannotRun(Exception):
    """The case can't run here; says nothing about the program."""


def end_with_parent():
    """Called in a new process: it is killed if this program ends before it."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {who} {what} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- packets


class Packet:
    def __init__(self, seq, ack, flags, echo, src, sport, dst, dport, data=b""):
        self.seq, self.ack, self.flags, self.echo = seq, ack, flags, echo
        self.src, self.sport, self.dst, self.dport, self.data = src, sport, dst, dport, data
        self.sum = self.keyed_sum()

    def keyed_sum(self):
        fields = struct.pack(">IIBHIHIH", self.seq, self.ack, self.flags & ~32, self.sport,
                             self.dst, self.dport, self.src, len(self.data))
        return zlib.crc32(b"stand-in key" + fields + self.data)

    def to_bytes(self):
        return HEAD.pack(self.seq, self.ack, self.flags, self.sum, len(self.data), self.echo,
                         self.sport, self.dst, self.dport, self.src) + self.data

    @staticmethod
    def parse(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, flags, total, size, echo, sport, dst, dport, src = HEAD.unpack_from(raw)
        if len(raw) != HEAD.size + size:
            return None
        packet = Packet(seq, ack, flags, echo, src, sport, dst, dport, raw[HEAD.size:])
        packet.genuine = packet.sum == total
        packet.sum = total
        return packet


# ---------------------------------------------------------------- the platform's store


class Store:
    """The metadata store: objects by kind and name, one revision counter, watches, history."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (monotonic time, revision, kind, event)
        self.dropped = 0  # Changes up to this revision are no longer in the history.
        self.waiting = set()  # Futures of the watches that wait for a change.
        self.down = False  # Silent: calls get no answer.
        self.turned_away = set()  # Addresses of the store whose callers get 503 for each call.
        self.back = asyncio.Event()
        self.back.set()
        self.servers = []
        self.writers = set()

    async def listen(self, address, port):
        self.servers.append(await asyncio.start_server(self.serve, address, port))

    async def close(self):
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.close()

    # Changes by the operator and the hosts, who reach the store on paths of their own.

    async def put(self, kind, name, spec):
        """Writes an object and returns when the store has acknowledged it."""
        await self.back.wait()
        return await self.change(kind, name, spec)

    async def change(self, kind, name, spec, meta_extra=None):
        key = (kind, name)
        known = self.objects.get(key)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        made = known["meta"]["created_rev"] if known else self.revision
        stored = {"meta": {"name": name, "revision": self.revision, "created_rev": made,
                           "finalizers": [], "deleting": False}, "spec": spec,
                  "status": known["status"] if known else None}
        self.objects[key] = stored
        await self.publish(kind, stored, False)
        return stored

    async def delete(self, kind, name):
        await self.back.wait()
        known = self.objects.pop((kind, name), None)
        if known is None:
            return
        self.revision += 1
        await self.publish(kind, known, True)

    async def publish(self, kind, stored, removed):
        event = {"removed": removed, "object": json.loads(json.dumps(stored))}
        if removed:
            event["object"]["meta"]["revision"] = self.revision
        now = time.monotonic()
        self.history.append((now, self.revision, kind, event))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self.dropped = self.history.pop(0)[1]
        self.wake_watches()

    def wake_watches(self):
        for future in self.waiting:
            if not future.done():
                future.set_result(None)

    def turn_away(self, address):
        """Refuses all calls to this address of the store, and cuts the watches that wait there."""
        self.turned_away.add(address)
        for writer in list(self.writers):
            if writer.get_extra_info("sockname")[0] == address:
                writer.close()

    async def go_down(self):
        """Silent from now on: calls and watches that wait get no answer."""
        self.down = True
        self.back.clear()
        self.wake_watches()

    async def come_back(self):
        self.down = False
        for writer in list(self.writers):
            writer.close()
        self.back.set()

    # The machines' side: HTTP/1.1 with JSON bodies.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                size = 0
                while True:
                    header = (await reader.readline()).decode().strip().lower()
                    if not header:
                        break
                    if header.startswith("content-length:"):
                        size = int(header.split(":")[1])
                body = await reader.readexactly(size) if size else b""
                if self.down:
                    await self.back.wait()  # The connection stays silent; it is cut at the return.
                    return
                status, answer = 503, {}
                if writer.get_extra_info("sockname")[0] not in self.turned_away:
                    status, answer = await self.handle(method, target, body)
                if self.down:
                    await self.back.wait()
                    return
                raw = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(raw)) + raw)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")[1:]
        if parts[:2] != ["-", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        if method == "GET" and name is None:
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            page = [self.objects[(kind, n)] for n in names[:PAGE]]
            return 200, {"items": page, "has_more": len(names) > PAGE, "as_of": self.revision}
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        name = name or sent.get("meta", {}).get("name")
        known = self.objects.get((kind, name))
        condition = sent.get("meta", {}).get("revision", query.get("revision"))
        if condition is not None and known and int(condition) != known["meta"]["revision"]:
            return 409, known
        if method == "POST":
            return (409, known) if known else (201, await self.change(kind, name, sent["spec"]))
        if known is None:
            return 404, {}
        if method == "PUT":
            return 200, await self.change(kind, name, sent["spec"])
        await self.delete(kind, name)
        return 200, known

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            if since < self.dropped:
                return 410, {}
            events = [e for _, rev, k, e in self.history if k == kind and rev > since]
            left = end - time.monotonic()
            if events or left <= 0 or self.down:
                return 200, {"events": events, "as_of": self.revision}
            future = asyncio.get_running_loop().create_future()
            self.waiting.add(future)
            try:
                await asyncio.wait([future], timeout=left)
            finally:
                self.waiting.discard(future)


# ---------------------------------------------------------------- hosts


class Host:
    """A host that runs requests, registers itself, and can drain, crash and start again."""

    def __init__(self, world, service, zone, address):
        self.world, self.service, self.zone, self.address = world, service, zone, address
        self.id = f"i-{random.getrandbits(40):010x}"
        self.port = world.host_port
        self.cold_s = 0.0  # How long it stays cold after a start during traffic.
        self.state = "ready"
        self.alive = False
        self.taken = []  # Opening packets: (time, caller, caller's port, machine)
        self.ran = []  # Requests run: (time, id, route, machine)
        self.started_at = 0.0

    def entry(self):
        cold_ms = int(self.cold_s * 1000) if self.cold_s else 0
        return {"service": self.service, "addr": f"{self.address}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 2, "state": self.state, "slow_start_ms": cold_ms,
                "seq": 1, "born": self.born}

    async def start(self, cold_s=0.0):
        self.cold_s = cold_s
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.started_at = self.world.record.now()
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: Endpoint(self.on_datagram), local_addr=(self.address, self.port))
        self.tcp = await asyncio.start_server(self.serve_health, self.address, self.port)
        self.alive = True
        self.world.record.write(self.id, "host_start", service=self.service, zone=self.zone,
                                cold_s=cold_s)
        self.registration = asyncio.ensure_future(self.register())

    async def register(self):
        await self.world.store.put("servers", self.id, self.entry())
        self.world.record.write(self.id, "entry_acknowledged", state=self.state,
                                slow_start_ms=self.entry()["slow_start_ms"])

    async def drain(self):
        self.state = "draining"
        await self.register()

    async def crash(self):
        self.alive = False
        self.registration.cancel()
        self.udp.close()
        self.tcp.close()
        self.world.record.write(self.id, "host_crash")

    async def serve_health(self, reader, writer):
        try:
            while (await reader.readline()).strip():
                pass
            status = b"200 OK" if self.state == "ready" else b"503 X"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        except ConnectionError:
            pass
        writer.close()

    def on_datagram(self, raw, sender):
        if len(raw) < ID_BYTES or not self.alive:
            return
        wanted = struct.unpack(">Q", raw[:ID_BYTES])[0]
        if wanted not in (0, int(self.id.split("-")[1], 16)):
            return
        packet = Packet.parse(raw[ID_BYTES:])
        if packet is None or not packet.genuine:
            self.world.record.write(self.id, "forged_packet", sender=sender[0])
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & RST:
            self.flows.pop(key, None)
        elif packet.flags & SYN:
            self.on_syn(key, packet, sender[0])
        else:
            self.on_packet(key, packet, sender[0])

    def on_syn(self, key, packet, machine):
        flow = self.flows.get(key)
        if flow is None:
            flow = {"seq": random.getrandbits(31), "open": False, "done": False}
            self.flows[key] = flow
            now = self.world.record.now()
            self.taken.append((now, ip_text(packet.src), packet.sport, machine))
            self.world.record.write(self.id, "took_opening_packet", caller=ip_text(packet.src),
                                    port=packet.sport, route=f"{ip_text(packet.dst)}:{packet.dport}",
                                    machine=self.world.machine_name(machine))
        flow["echo"] = packet.echo
        self.send(packet, flow, SYN | ACK, flow["seq"], packet.seq + 1)

    def on_packet(self, key, packet, machine):
        flow = self.flows.get(key)
        if flow is None:
            self.send(packet, {"echo": packet.echo}, RST, packet.ack, 0)
            return
        flow["echo"] = packet.echo
        if not flow["open"] and packet.ack == (flow["seq"] + 1) & 0xffffffff:
            flow["open"] = True
        if not flow["open"]:
            return
        if packet.data and not flow["done"]:
            flow["done"] = True
            request = packet.data.split(b"X-Request-Id: ")[1].split(b"\r")[0].decode()
            now = self.world.record.now()
            route = f"{ip_text(packet.dst)}:{packet.dport}"
            self.ran.append((now, request, route, self.world.machine_name(machine)))
            self.world.record.write(self.id, "ran", request=request, route=route,
                                    machine=self.world.machine_name(machine))
        if packet.data:
            answer = (b"HTTP/1.1 200 OK\r\nX-Server-Stamp: " + self.id.encode()
                      + b"\r\nContent-Length: 2\r\n\r\nok")
            self.send(packet, flow, ACK | FIN, flow["seq"] + 1, packet.seq + len(packet.data),
                      answer)
        if packet.flags & FIN:
            self.send(packet, flow, ACK, packet.ack, packet.seq + 1)

    def send(self, packet, flow, flags, seq, ack, data=b""):
        answer = Packet(seq & 0xffffffff, ack & 0xffffffff, flags, flow["echo"], packet.dst,
                        packet.dport, packet.src, packet.sport, data)
        self.udp.sendto(answer.to_bytes(), (ip_text(packet.src), self.world.packet_port))


class Endpoint(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)

    def error_received(self, exc):
        pass


# ---------------------------------------------------------------- clients


class Client:
    """One client address; each request opens a flow of its own from a new port."""

    def __init__(self, world, zone, address):
        self.world, self.zone, self.address = world, zone, address
        self.flows = {}
        self.next_port = random.randrange(20000, 40000)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.udp, _ = await loop.create_datagram_endpoint(
            lambda: Endpoint(self.on_datagram), local_addr=(self.address, self.world.packet_port))

    def on_datagram(self, raw, _sender):
        packet = Packet.parse(raw)
        if packet is None:
            return
        queue = self.flows.get(packet.dport)
        if queue is not None:
            queue.put_nowait(packet)

    async def request(self, route, machine=None, timeout=1.0):
        """Sends one request; returns its outcome: ok, reset, or none, and when it was sent."""
        self.next_port += 1
        port, queue = self.next_port, asyncio.Queue()
        self.flows[port] = queue
        request = f"q-{random.getrandbits(48):012x}"
        sent_at = self.world.record.now()
        name = machine.name if machine else "router"
        self.world.sent[(self.address, port)] = sent_at
        self.world.record.write(request, "sent", client=self.address, port=port,
                                route=f"{route[0]}:{route[1]}", through=name)
        try:
            outcome = await asyncio.wait_for(
                self.exchange(route, machine, port, queue, request), timeout)
        except asyncio.TimeoutError:
            outcome = "none"
        self.flows.pop(port, None)
        self.world.record.write(request, "ended", outcome=outcome)
        return outcome, sent_at, request

    async def exchange(self, route, machine, port, queue, request):
        seq, me = random.getrandbits(31), ip_number(self.address)
        there = (ip_number(route[0]), route[1])

        def send(flags, seq, ack, echo, data=b""):
            packet = Packet(seq, ack, flags, echo, me, port, *there, data)
            target = machine or self.world.route_packet(self.zone, (me, port, *there))
            if target is not None:
                self.udp.sendto(packet.to_bytes(), (target.ip, self.world.packet_port))

        answer, delays = None, [0.2, 0.4, 0.8]
        for copies, delay in enumerate(delays):
            send(SYN, seq, copies, 0)
            try:
                answer = await asyncio.wait_for(queue.get(), delay)
                break
            except asyncio.TimeoutError:
                continue
        if answer is None:
            return "none"
        if answer.flags & RST:
            return "reset"
        echo, theirs = answer.echo, (answer.seq + 1) & 0xffffffff
        send(ACK, seq + 1, theirs, echo)
        data = (f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request}\r\n\r\n").encode()
        wait = 0.2
        while True:
            send(ACK, seq + 1, theirs, echo, data)
            try:
                while True:
                    answer = await asyncio.wait_for(queue.get(), wait)
                    if answer.flags & RST:
                        return "reset"
                    if answer.data:
                        end = (answer.seq + len(answer.data) + 1) & 0xffffffff
                        send(ACK | FIN, seq + 1 + len(data), end, answer.echo)
                        return "ok" if b"X-Server-Stamp" in answer.data else "mixed"
            except asyncio.TimeoutError:
                wait = min(wait * 2, 1.6)


# ---------------------------------------------------------------- machines


class Machine:
    """A machine of the system with its balancer process."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None
        self.misses = 2
        self.settings = world.folder / f"{name}.json"
        self.store = world.store_addresses[0]
        self.link_mbps = 1000.0

    def write_settings(self, first_start):
        seeds = ",".join(f'"{m.ip}:{self.world.peer_port}"' for m in self.world.machines[:3])
        text = TEMPLATE.read_text()
        text = text.replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds)
        for field, value in {
                "node_name": self.name, "zone": self.zone,
                "listen_addrs.datagram_addr": f"{self.ip}:{self.world.packet_port}",
                "listen_addrs.ready": f"{self.ip}:{self.world.ready_port}",
                "listen_addrs.control_plane": f"{self.ip}:{self.world.peer_port}",
                "limits.link_mbps": str(self.link_mbps), "bootstrap": "true" if first_start else "false",
                "platform.addr": f"{self.store}:{self.world.store_port}"}.items():
            text = text.replace("{{" + field + "}}", value)
        if "{{" in text:
            raise CannotRun("the template of the settings has fields that this stand-in lacks")
        part = self.settings.with_suffix(".part")
        part.write_text(text)
        part.rename(self.settings)

    async def start(self, first_start=False):
        self.write_settings(first_start)
        log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "balancer", cwd=str(ROOT), stdout=log, stderr=log,
            preexec_fn=end_with_parent,
            env={"PATH": os.environ.get("PATH", ""), "BULRUSHGAP_NODE_FILE": str(self.settings)})
        log.close()
        self.world.record.write(self.name, "machine_start")

    def signal(self, number):
        self.world.record.write(self.name, "signal", number=number)
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def check_ready(self):
        """Asks GET /-/ready; two misses take the machine out of rotation."""
        ready = False
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ready_port), 0.4)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            ready = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            pass
        if writer is not None:
            writer.close()
        self.misses = 0 if ready else self.misses + 1

    @property
    def in_rotation(self):
        return self.misses < 2


class World:
    """The whole deployment."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.net = f"127.{random.randrange(10, 250)}.{{}}.{{}}"
        self.store_addresses = [self.net.format(9, 1), self.net.format(9, 2)]
        ports = self.free_ports(5)
        self.packet_port, self.ready_port, self.peer_port, self.store_port, self.host_port = ports
        self.store = Store(record)
        self.machines, self.hosts, self.clients, self.tasks = [], [], [], []
        self.routes = {}
        self.sent = {}  # (client address, port) -> when the request was sent first
        for number, (zone, (count, dispatch, gallery)) in enumerate(ZONES.items()):
            for i in range(count):
                self.machines.append(Machine(self, f"frontend-{zone}-{i + 1}", zone,
                                             self.net.format(number + 1, 10 + i)))
            for i in range(dispatch + gallery):
                service = "dispatch" if i < dispatch else "gallery"
                self.hosts.append(Host(self, service, zone, self.net.format(number + 1, 100 + i)))
            for i in range(6):
                self.clients.append(Client(self, zone, self.net.format(number + 1, 200 + i)))
        self.names = {m.ip: m.name for m in self.machines}

    def free_ports(self, count):
        found = []
        while len(found) < count:
            port = random.randrange(21000, 31000)
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind(("127.0.0.1", port))
                    udp.bind(("127.0.0.1", port))
                except OSError:
                    continue
            if port not in found:
                found.append(port)
        return found

    def machine_name(self, ip):
        return self.names.get(ip, ip)

    def machine(self, name):
        return next(m for m in self.machines if m.name == name)

    def hosts_of(self, service, zone=None):
        return [h for h in self.hosts if h.service == service and zone in (None, h.zone)]

    def route_packet(self, zone, flow):
        """The platform's router: a hash over the machines of the zone that are in rotation."""
        own = [m for m in self.machines if m.zone == zone]
        inside = [m for m in own if m.in_rotation]
        if 2 * len(inside) < len(own):
            inside = own if inside else [m for m in self.machines if m.in_rotation]
        if not inside:
            return None
        return inside[zlib.crc32(repr(flow).encode()) % len(inside)]

    def configuration(self, version, routes, cold_per_s=0.0, slow_start_s=2.0):
        """A configuration; routes are (name, port, kind, service)."""
        self.routes = {name: (self.net.format(77, 1), port) for name, port, _, _ in routes}
        return {
            "version": version,
            "routes": [{"name": name, "hostname": self.net.format(77, 1),
                        "path_prefix": f"/{port}/", "route_type": kind, "timeout_ms": 1000,
                        "target_latency_ms": 150, "priority": 2, "service": service,
                        "max_attempts": 2} for name, port, kind, service in routes],
            "services": [{"name": name, "health_path": "/health", "max_connections": 2000,
                          "protocol": "h1", "tls": False, "slow_start_s": slow_start_s,
                          "cold_per_s": cold_per_s} for name in ("dispatch", "gallery")],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def put_configuration(self, configuration):
        await self.store.put("config", "main", configuration)
        acked = self.record.now()
        self.record.write("operator", "config_acknowledged", version=configuration["version"])
        return acked

    async def start(self, configuration):
        for address in self.store_addresses:
            await self.store.listen(address, self.store_port)
        await self.put_configuration(configuration)
        for host in self.hosts:
            await host.start()
        for client in self.clients:
            await client.start()
        for machine in self.machines:
            await machine.start(first_start=True)
        self.tasks.append(asyncio.ensure_future(self.check_readiness()))
        end = self.record.now() + 15
        while not all(m.in_rotation for m in self.machines):
            if self.record.now() > end:
                raise CannotRun("the machines don't become ready")
            await asyncio.sleep(0.1)
        self.record.write("world", "all_ready")

    async def check_readiness(self):
        while True:
            await asyncio.gather(*(m.check_ready() for m in self.machines))
            await asyncio.sleep(0.5)

    def load(self, route, per_s, zones=tuple(ZONES)):
        """Starts a steady load of requests through the routers; returns its task."""

        async def run():
            clients = [c for c in self.clients if c.zone in zones]
            running = set()
            due = time.monotonic()
            while True:
                client = random.choice(clients)
                task = asyncio.ensure_future(client.request(self.routes[route]))
                running.add(task)
                task.add_done_callback(running.discard)
                due += random.expovariate(per_s)
                await asyncio.sleep(max(0, due - time.monotonic()))

        task = asyncio.ensure_future(run())
        self.tasks.append(task)
        return task

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process:
                await machine.process.wait()
        await self.store.close()


def run_case(scenario):
    """Runs scenario(world, trouble), which returns the list of breaches."""
    case = pathlib.Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case / "record.txt")
    if not PROGRAM.is_file():
        print("target/bulrushgap is missing: build it as the deploy file does")
        sys.exit(2)

    async def play(folder):
        world = World(folder, record)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(scenario(world, trouble), MAX_SECONDS)
        finally:
            await world.stop()

    async def run():
        folder = pathlib.Path(tempfile.mkdtemp())
        try:
            status = report(record, await play(folder))
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            print(f"can't run: {error!r}")
            record.write("verdict", "can't run", reason=repr(error))
            status = 2
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
        record.close()
        sys.stdout.flush()
        os._exit(status)  # The processes have ended; what is left are tasks of this process.

    asyncio.run(run())


def report(record, breaches):
    """Prints and records the verdict; returns the exit status, which run.sh translates."""
    for breach in breaches[:20]:
        record.write("verdict", "breach", detail=repr(breach))
    record.write("verdict", "broken" if breaches else "held", breaches=len(breaches))
    print(f"{'broken' if breaches else 'held'}: {len(breaches)} breaches")
    for breach in breaches[:5]:
        print(" ", breach)
    return BROKEN if breaches else 0

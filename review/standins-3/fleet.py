"""A small deployment on loopback addresses: store, servers and clients as stand-ins in one process,
and the project's balancers as separate processes with the command of the deploy file.

The stand-ins do what PROTOCOL.md describes and nothing beyond it.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bulrushgap"

# The header of a packet: seq, ack, flags, sum, len, echo, sport, dst, dport, src.
HEADER = struct.Struct(">IIBIHIHIHI")
SYN, ACK, FIN, RST = 2, 4, 128, 1
SYSTEM_RESET_SUM = 0


def now():
    return time.monotonic()


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, seq=0, ack=0, flags=0, echo=0, src=0, sport=0, dst=0, dport=0, data=b"", sum_=None):
        self.seq, self.ack, self.flags, self.echo = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flags, echo
        self.src, self.sport, self.dst, self.dport, self.data = src, sport, dst, dport, data
        self.sum = self.checksum() if sum_ is None else sum_

    def checksum(self):
        """Stands for the keyed sum over all fields but echo."""
        import zlib
        fixed = struct.pack(">IIBHHIHI", self.seq, self.ack, self.flags, len(self.data), self.sport,
                            self.dst, self.dport, self.src)
        return zlib.crc32(fixed + self.data) | 1

    def encode(self):
        return HEADER.pack(self.seq, self.ack, self.flags, self.sum, len(self.data), self.echo, self.sport,
                           self.dst, self.dport, self.src) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEADER.size:
            return None
        seq, ack, flags, sum_, length, echo, sport, dst, dport, src = HEADER.unpack_from(raw)
        if length != len(raw) - HEADER.size:
            return None
        return Packet(seq, ack, flags, echo, src, sport, dst, dport, raw[HEADER.size:], sum_)


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self):
        self.start = now()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{now() - self.start:9.3f}  {text}")

    def write(self, path):
        pathlib.Path(path).write_text("\n".join(self.lines) + "\n")


class Store:
    """The platform's store. One address for each balancer, so that it can turn one away."""

    def __init__(self, record, history_s=20.0):
        self.record, self.history_s = record, history_s
        self.revision, self.era = 500, 1
        self.kinds = {}      # kind -> name -> object
        self.history = []    # (revision, time, kind, object, removed)
        self.lost_before = 0  # revisions up to this one have no history
        self.waiters = set()
        self.mode = {}       # listener -> "ok", "busy", "reset", "silent"
        self.servers = []
        self.connections = set()
        self.seen = {}       # server name -> time of its last heartbeat
        self.expiry_s = 3.6
        self.away = False
        self.deaf = False
        self.calls = 0

    async def listen(self, address, port):
        self.mode[(address, port)] = "ok"
        server = await asyncio.start_server(
            lambda r, w: self.serve((address, port), r, w), address, port)
        self.servers.append(server)

    # -- objects -----------------------------------------------------------------------------------
    def changed(self, kind, obj, removed):
        self.history.append((self.revision, now(), kind, json.loads(json.dumps(obj)), removed))
        limit = now() - self.history_s
        while self.history and self.history[0][1] < limit:
            self.lost_before = self.history.pop(0)[0]
        self.wake()

    def wake(self):
        if self.deaf:
            return
        for event in list(self.waiters):
            event.set()

    def put(self, kind, name, spec, create_only=False, revision=None):
        table = self.kinds.setdefault(kind, {})
        old = table.get(name)
        if create_only and old:
            return 409, old
        if revision is not None and (old is None or old["meta"]["revision"] != revision):
            return 409, old or {}
        if old and old["spec"] == spec:
            return 200, old
        self.revision += 1
        obj = {"meta": {"name": name, "revision": self.revision,
                        "created_rev": old["meta"]["created_rev"] if old else self.revision,
                        "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        table[name] = obj
        self.changed(kind, obj, False)
        return 200 if old else 201, obj

    def delete(self, kind, name, revision=None):
        table = self.kinds.setdefault(kind, {})
        old = table.get(name)
        if old is None:
            return 404, {}
        if revision is not None and old["meta"]["revision"] != revision:
            return 409, old
        del table[name]
        self.revision += 1
        self.changed(kind, old, True)
        return 200, old

    def heartbeat(self, name, spec):
        """A server's own write; a heartbeat that changes no more than seq changes nothing."""
        if self.away:
            return False
        self.seen[name] = now()
        old = self.kinds.get("servers", {}).get(name)
        if old and isinstance(old["spec"], dict) and "seq" in old["spec"] \
                and {**old["spec"], "seq": 0} == {**spec, "seq": 0}:
            return True
        self.put("servers", name, spec)
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            if self.away:
                continue
            for name in list(self.kinds.get("servers", {})):
                if name in self.seen and now() - self.seen[name] > self.expiry_s:
                    self.record.add(f"store: the entry of {name} lapses")
                    self.delete("servers", name)
                    del self.seen[name]

    # -- drill: the store returns from an older copy -----------------------------------------------
    def copy(self):
        return self.revision, json.loads(json.dumps(self.kinds))

    def restore(self, copy):
        self.revision, kinds = copy
        self.kinds = json.loads(json.dumps(kinds))
        self.era += 1
        self.history = [h for h in self.history if h[0] <= self.revision]
        for name in self.kinds.get("servers", {}):
            self.seen[name] = now()
        self.wake()

    async def compact(self, host):
        """Watches hear nothing for a second while a change is made; then the history goes and they are cut."""
        self.record.add("store: watches hear nothing")
        self.deaf = True
        await asyncio.sleep(0.5)
        host.slots += 1
        self.heartbeat(host.name, host.spec())
        await asyncio.sleep(0.5)
        self.history.clear()
        self.lost_before = self.revision
        self.deaf = False
        self.cut_all()
        self.record.add("store: the history is dropped")

    def cut_all(self):
        for writer in list(self.connections):
            writer.transport.abort()

    # -- HTTP --------------------------------------------------------------------------------------
    async def serve(self, listener, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                length = 0
                while True:
                    header = (await reader.readline()).decode().strip()
                    if not header:
                        break
                    key, _, value = header.partition(":")
                    if key.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                self.calls += 1
                mode = self.mode[listener] if not self.away else (
                    self.mode[listener] if self.mode[listener] != "ok" else "reset")
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "busy":
                    status, answer = 503, {"error": "busy"}
                else:
                    await asyncio.sleep(0.004)
                    status, answer = await self.handle(listener, method, target, body)
                    if status is None:
                        writer.transport.abort()
                        return
                text = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Store-Era: {self.era}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, listener, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.strip("/").split("/")]
        if parts[:2] != ["-", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(listener, kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET" and name is None:
            return 200, self.page(kind, query.get("after", ""))
        if method == "GET":
            obj = self.kinds.get(kind, {}).get(name)
            return (200, obj) if obj else (404, {})
        if method == "DELETE":
            revision = int(query["revision"]) if "revision" in query else None
            return self.delete(kind, name, revision)
        content = json.loads(body)
        meta = content.get("meta", {})
        if method == "POST":
            return self.put(kind, meta["name"], content.get("spec"), create_only=True)
        if method == "PUT":
            if self.kinds.get(kind, {}).get(name) is None:
                return 404, {}
            return self.put(kind, name, content.get("spec"), revision=meta.get("revision"))
        return 400, {}

    def page(self, kind, after):
        """The next items after a name: about 500 or 1 MB at most, and one at least."""
        names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
        items, size = [], 0
        for name in names:
            size += len(json.dumps(self.kinds[kind][name]))
            if items and (size > 1_048_576 or len(items) == 500):
                break
            items.append(self.kinds[kind][name])
        return {"items": items, "has_more": len(names) > len(items), "as_of": self.revision}

    async def watch(self, listener, kind, since, wait_ms):
        era = self.era
        deadline = now() + min(wait_ms, 30000) / 1000
        while True:
            if since > self.revision or since < self.lost_before:
                return 410, {}
            events = [{"object": h[3], "removed": h[4]}
                      for h in self.history if h[0] > since and h[2] == kind and not self.deaf]
            as_of = since if self.deaf else self.revision
            if events or now() >= deadline or era != self.era:
                return 200, {"events": events, "as_of": as_of}
            event = asyncio.Event()
            self.waiters.add(event)
            try:
                await asyncio.wait_for(event.wait(), max(0.001, deadline - now()))
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiters.discard(event)
            if self.away:
                return None, {}


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, address):
        self.handler(data, address)


async def udp(address, port, handler):
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((address, port))
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(handler), sock=sock)
    return transport


class HostFlow:
    def __init__(self, host, packet):
        self.host = host
        self.client = (packet.src, packet.sport, packet.dst, packet.dport)
        self.hs = random.randrange(1 << 31)
        self.snd = self.hs + 1          # next byte to send
        self.acked = self.snd
        self.rcv = (packet.seq + 1) & 0xFFFFFFFF
        self.echo = packet.echo
        self.open = False
        self.buffer = b""
        self.unsent = b""
        self.unacked = []               # (seq, data, flags)
        self.timer = None
        self.tries = 0
        self.fin = False
        self.leaving = False


class Host:
    """A server of a service. id, address and service are fixed; start() begins an incarnation."""

    def __init__(self, fleet, name, service, zone, address, port, work_s=0.02, slots=2, answer_bytes=600):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.address, self.port, self.work_s, self.slots = address, port, work_s, slots
        self.answer_bytes = answer_bytes
        self.wire_id = int(name.rsplit("-", 1)[1], 16)
        self.alive = False
        self.state = "ready"
        self.cold_until = 0.0
        self.cold_per_s = 0.0
        self.free_at = 0.0
        self.registers = True

    async def start(self, cold_s=0.0):
        self.flows = {}
        self.recent = set()
        self.state, self.seq, self.alive = "ready", 0, True
        self.born = int(time.time() * 1000)
        self.cold_until = now() + cold_s
        self.transport = await udp(self.address, self.port, self.on_datagram)
        self.tcp = await asyncio.start_server(self.on_connection, self.address, self.port)
        self.beat = asyncio.ensure_future(self.heartbeats())
        self.fleet.record.add(f"host {self.name} of {self.service} starts at {self.address}:{self.port}")

    async def on_connection(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                while (await reader.readline()).strip():
                    pass
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def spec(self):
        self.seq += 1
        left = max(0, int((self.cold_until - now()) * 1000))
        return {"service": self.service, "addr": f"{self.address}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "slow_start_ms": left,
                "seq": self.seq, "born": self.born}

    async def heartbeats(self):
        while self.alive:
            done = self.fleet.store.heartbeat(self.name, self.spec()) if self.registers else True
            # After an outage a server registers again soon.
            await asyncio.sleep(1.2 if done else 0.3)

    def drain(self):
        self.state = "draining"
        self.fleet.store.heartbeat(self.name, self.spec())
        self.fleet.record.add(f"host {self.name} reports draining; the store has accepted it")

    def stop(self, leave=False):
        """The process ends; with leave, it has left and its entry is removed."""
        self.alive = False
        self.beat.cancel()
        self.transport.close()
        self.tcp.close()
        if leave:
            self.fleet.store.seen.pop(self.name, None)
            self.fleet.store.delete("servers", self.name)
        for flow in self.flows.values():
            if flow.timer:
                flow.timer.cancel()
        self.fleet.record.add(f"host {self.name} ends" + (" and has left" if leave else ""))

    # -- packets -----------------------------------------------------------------------------------
    def send(self, flow, seq, ack, flags, data=b""):
        src, sport, dst, dport = flow.client
        packet = Packet(seq, ack, flags, flow.echo, dst, dport, src, sport, data)
        self.transport.sendto(packet.encode(), (ip_text(src), self.fleet.packet_port))

    def refuse(self, packet):
        """A packet of a flow that this host does not hold."""
        if packet.flags & RST:
            return
        reset = Packet(packet.ack, 0, RST, packet.echo, packet.dst, packet.dport, packet.src, packet.sport)
        self.transport.sendto(reset.encode(), (ip_text(packet.src), self.fleet.packet_port))

    def on_datagram(self, raw, _):
        intended = struct.unpack(">Q", raw[:8])[0]
        packet = Packet.decode(raw[8:])
        if packet is None or intended not in (0, self.wire_id):
            return
        if packet.sum != packet.checksum():
            self.fleet.broke("UNASKED", f"{self.name} gets a packet that its sender didn't write so")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = HostFlow(self, packet)
                self.fleet.on_open(self, packet)
            flow.echo = packet.echo
            self.send(flow, flow.hs, flow.rcv, SYN | ACK)
            return
        if flow is None:
            if key in self.recent:
                if packet.flags & FIN:
                    reply = Packet(packet.ack, packet.seq + 1, ACK, packet.echo, packet.dst, packet.dport,
                                   packet.src, packet.sport)
                    self.transport.sendto(reply.encode(), (ip_text(packet.src), self.fleet.packet_port))
                return
            self.refuse(packet)
            return
        if packet.flags & RST:
            self.end(flow)
            return
        flow.echo = packet.echo
        if not flow.open:
            if packet.ack != flow.hs + 1:
                self.refuse(packet)
                return
            flow.open = True
            self.fleet.on_established(self, flow)
        if packet.flags & ACK:
            self.on_ack(flow, packet.ack)
        if packet.data:
            if packet.seq == flow.rcv:
                flow.rcv = (flow.rcv + len(packet.data)) & 0xFFFFFFFF
                flow.buffer += packet.data
                self.on_data(flow)
            self.send(flow, flow.snd, flow.rcv, ACK)
        if packet.flags & FIN and packet.seq + len(packet.data) == flow.rcv:
            flow.rcv += 1
            self.send(flow, flow.snd, flow.rcv, ACK | (0 if flow.fin else FIN))
            self.end(flow)

    def end(self, flow):
        if flow.timer:
            flow.timer.cancel()
        self.flows.pop(flow.client, None)
        self.recent.add(flow.client)

    def on_ack(self, flow, ack):
        flow.unacked = [u for u in flow.unacked if u[0] + len(u[1]) > ack]
        flow.tries = 0
        self.pump(flow)

    def on_data(self, flow):
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
            length = int(headers.get("Content-Length", 0))
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            request = headers.get("X-Request-Id", "?")
            self.fleet.on_run(self, flow, request)
            asyncio.get_running_loop().call_later(self.service_time(), self.answer, flow, request)

    def service_time(self):
        """A cold server bears cold_per_s requests a second; more of them wait."""
        if now() >= self.cold_until or not self.cold_per_s:
            return self.work_s
        self.free_at = max(now(), self.free_at) + 1 / self.cold_per_s
        return max(self.work_s, min(self.free_at, self.cold_until) - now())

    def answer(self, flow, request):
        if not self.alive or flow.client not in self.flows:
            return
        body = (request + ":").encode() + b"x" * self.answer_bytes
        flow.unsent += (f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {request}\r\n"
                        f"X-Instance-Id: {self.name}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body
        self.pump(flow)

    def pump(self, flow):
        while flow.unsent and len(flow.unacked) < 16:
            data, flow.unsent = flow.unsent[:1200], flow.unsent[1200:]
            flow.unacked.append((flow.snd, data))
            self.send(flow, flow.snd, flow.rcv, ACK, data)
            flow.snd += len(data)
        if flow.unacked and flow.timer is None:
            self.arm(flow)

    def arm(self, flow):
        delay = min(1.6, 0.2 * 2 ** flow.tries)
        flow.timer = asyncio.get_running_loop().call_later(delay, self.resend, flow)

    def resend(self, flow):
        flow.timer = None
        if not self.alive or not flow.unacked or flow.client not in self.flows:
            return
        flow.tries += 1
        if flow.tries > 8:
            self.end(flow)
            return
        for seq, data in flow.unacked:
            self.send(flow, seq, flow.rcv, ACK, data)
        self.arm(flow)


class Balancer:
    def __init__(self, fleet, name, zone, address):
        self.fleet, self.name, self.zone, self.address = fleet, name, zone, address
        self.process = None
        self.in_rotation = False
        self.misses = 0
        self.stopped = False
        self.store_port = None

    def settings(self, first):
        f = self.fleet
        return {"name": self.name, "domain": self.zone, "packetAddress": f"{self.address}:{f.packet_port}",
                "readyAddress": f"{self.address}:{f.ready_port}", "peerAddress": f"{self.address}:{f.peer_port}",
                "seeds": [f"{b.address}:{f.peer_port}" for b in f.balancers[:3]], "linkMbps": 1000.0,
                "firstStart": first,
                "requirements": ["base", "drain", "config", "cost", "recover", "flows", "places", "platform"],
                "store": f"{self.address}:{f.store_port}"}

    def start(self, first=False):
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(first)))
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["BULRUSHGAP_NODE_FILE"] = str(path)
        import subprocess
        self.process = subprocess.Popen([str(self.fleet.program), "balancer"], cwd=ROOT, env=environment,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.misses = 2
        self.fleet.record.add(f"balancer {self.name} starts")

    def signal(self, number):
        self.fleet.record.add(f"balancer {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        return self.process.returncode

    async def check_ready(self):
        """GET /-/ready twice a second; two misses take it out of rotation."""
        while True:
            started = now()
            ok = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.address, self.fleet.ready_port), 0.4)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.4)
                ok = b" 200 " in line
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            self.misses = 0 if ok else self.misses + 1
            before, self.in_rotation = self.in_rotation, self.misses == 0 or (self.in_rotation and self.misses < 2)
            if before != self.in_rotation:
                self.fleet.record.add(f"balancer {self.name} is {'in' if self.in_rotation else 'out of'} rotation")
            await asyncio.sleep(max(0, 0.5 - (now() - started)))


class ClientFlow:
    """A flow of a client: opens, sends requests, closes."""

    def __init__(self, client, route, requests, pause_s, size=0, deadline_s=5.0):
        self.client, self.route = client, route
        self.sport = client.next_port()
        self.cs = random.randrange(1 << 31)
        self.seq = self.cs + 1
        self.ack = 0
        self.echo = 0
        self.state = "syn"
        self.requests, self.pause_s, self.size = requests, pause_s, size
        self.deadline_s = deadline_s
        self.buffer = b""
        self.answered = 0
        self.pending = None
        self.unacked = b""
        self.tries = 0
        self.timers = []
        self.server_seq = None
        self.opened_at = None
        self.done = asyncio.get_running_loop().create_future()
        self.via = []

    def send(self, flags, seq=None, ack=None, data=b""):
        dst, dport = self.route
        packet = Packet(self.seq if seq is None else seq, self.ack if ack is None else ack, flags, self.echo,
                        self.client.ip, self.sport, dst, dport, data)
        self.client.fleet.route_packet(self, packet)

    def later(self, delay, function, *args):
        self.timers.append(asyncio.get_running_loop().call_later(delay, function, *args))

    def start(self):
        self.started = now()
        for copy, at in enumerate((0.0, 0.2, 0.6)):
            self.later(at, self.send_syn, copy)
        self.later(1.4, self.give_up)

    def send_syn(self, copy):
        if self.state == "syn":
            self.send(SYN, seq=self.cs, ack=copy)

    def give_up(self):
        if self.state == "syn":
            self.finish("unopened")

    def finish(self, outcome):
        if self.done.done():
            return
        if outcome in ("unopened", "deadline"):
            self.client.fleet.record.add(f"flow {self.client.name}:{self.sport} ends: {outcome}, "
                                         f"{self.pending or 'no request'} waits")
        self.state = outcome
        for timer in self.timers:
            timer.cancel()
        self.client.flows.pop(self.sport, None)
        self.done.set_result(outcome)

    def on_packet(self, packet):
        if packet.flags & RST:
            system = packet.sum == SYSTEM_RESET_SUM
            if system and self.state == "open":
                distance = (packet.seq - self.ack + 76800) & 0xFFFFFFFF
                if distance > 2 * 76800:
                    return
            self.client.fleet.on_reset(self, packet, system)
            self.finish("reset")
            return
        if packet.sum != packet.checksum():
            self.client.fleet.broke("MIXED", "a client gets a packet that its sender didn't write so")
            return
        if packet.flags & SYN:
            if self.state != "syn":
                return
            self.echo = packet.echo
            self.ack = packet.seq + 1
            self.state = "open"
            self.opened_at = now()
            self.next_request()
            return
        if self.state != "open":
            return
        self.echo = packet.echo
        if packet.flags & ACK and packet.ack == self.seq + len(self.unacked):
            self.seq = packet.ack
            self.unacked = b""
            self.tries = 0
        if packet.data:
            if packet.seq == self.ack:
                self.ack += len(packet.data)
                self.buffer += packet.data
            self.send(ACK)
            self.on_data()
        if packet.flags & FIN and not self.done.done():
            self.finish("closed")

    def next_request(self):
        if self.state != "open":
            return
        self.pending = f"{self.client.name}-{self.sport}-{self.answered}"
        self.sent_at = now()
        body = b"b" * self.size
        method = "POST" if self.size else "GET"
        data = (f"{method} / HTTP/1.1\r\nX-Request-Id: {self.pending}\r\n"
                f"Content-Length: {self.size}\r\n\r\n").encode() + body
        self.unacked = data
        self.tries = 0
        self.client.fleet.record.add(f"sent {self.pending}")
        self.send(ACK, data=data)
        self.later(0.2, self.resend, self.pending)
        self.later(self.deadline_s, self.expire, self.pending)

    def resend(self, request):
        if self.state != "open" or not self.unacked or self.pending != request:
            return
        self.send(ACK, data=self.unacked)
        self.tries += 1
        self.later(min(1.6, 0.2 * 2 ** self.tries), self.resend, request)

    def expire(self, request):
        if self.pending == request and self.state == "open":
            self.finish("deadline")

    def on_data(self):
        head, mark, rest = self.buffer.partition(b"\r\n\r\n")
        if not mark:
            return
        headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        length = int(headers["Content-Length"])
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        if headers["X-Server-Stamp"] != self.pending:
            self.client.fleet.broke("MIXED", f"{self.pending} gets the answer to {headers['X-Server-Stamp']}")
        self.client.fleet.record.add(f"answered {self.pending} by {headers['X-Instance-Id']}")
        self.pending = None
        self.answered += 1
        if self.answered >= self.requests:
            self.send(ACK | FIN)
            self.seq += 1
            self.finish("done")
        else:
            self.later(self.pause_s, self.next_request)


class Client:
    def __init__(self, fleet, name, zone, address):
        self.fleet, self.name, self.zone, self.address = fleet, name, zone, address
        self.ip = ip_number(address)
        self.flows = {}
        self.port = random.randrange(2000, 20000)

    async def start(self):
        self.transport = await udp(self.address, self.fleet.packet_port, self.on_datagram)

    def next_port(self):
        self.port += 1
        return self.port

    def on_datagram(self, raw, _):
        packet = Packet.decode(raw)
        if packet is None or packet.dst != self.ip:
            return
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.on_packet(packet)

    def open(self, route, requests=1, pause_s=0.5, size=0, deadline_s=5.0):
        flow = ClientFlow(self, route, requests, pause_s, size, deadline_s)
        self.flows[flow.sport] = flow
        flow.start()
        return flow


class Fleet:
    def __init__(self, program=None):
        self.program = pathlib.Path(program or PROGRAM)
        self.record = Record()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.balancers, self.hosts, self.clients = [], [], []
        self.broken = []
        self.opens = []         # (time, host, key)
        self.runs = []
        self.resets = []
        self.lost_share = 0.0
        self.packet_port, self.ready_port, self.peer_port, self.store_port = free_ports(4)
        self.store = Store(self.record)
        self.tasks = []
        self.version = 0
        self.configurations = []  # (time, addresses of the routes)

    # -- set-up ------------------------------------------------------------------------------------
    def add_balancer(self, name, zone):
        balancer = Balancer(self, name, zone, f"127.0.1.{len(self.balancers) + 1}")
        self.balancers.append(balancer)
        return balancer

    def add_host(self, name, service, zone, address=None, port=None, **options):
        host = Host(self, name, service, zone, address or f"127.0.2.{len(self.hosts) + 1}",
                    port or self.store_port, **options)
        self.hosts.append(host)
        return host

    async def add_client(self, name, zone):
        client = Client(self, name, zone, f"127.0.3.{len(self.clients) + 1}")
        await client.start()
        self.clients.append(client)
        return client

    async def watch_balancer(self, balancer):
        await self.store.listen(balancer.address, self.store_port)
        self.tasks.append(asyncio.ensure_future(balancer.check_ready()))

    async def start(self, settle_s=4.0):
        self.tasks.append(asyncio.ensure_future(self.store.expire()))
        for host in self.hosts:
            await host.start()
        for balancer in self.balancers:
            await self.watch_balancer(balancer)
            balancer.start(first=True)
        end = now() + 20
        while not all(b.in_rotation for b in self.balancers):
            await asyncio.sleep(0.05)
            if now() > end:
                raise RuntimeError("a balancer isn't ready in 20 s")
        await asyncio.sleep(settle_s)

    def configure(self, routes, services, version=None):
        """routes: list of (name, address, port, service, kind)."""
        self.version = version or self.version + random.randrange(1, 5)
        spec = {"version": self.version,
                "routes": [{"name": n, "hostname": a, "path_prefix": f"/{p}/", "route_type": k, "timeout_ms": 3000,
                            "target_latency_ms": 200, "priority": 1, "service": s, "max_attempts": 2}
                           for n, a, p, s, k in routes],
                "services": [{"name": s, "health_path": "/health", "max_connections": 2000, "protocol": "h1",
                              "tls": False, "slow_start_s": cold[0], "cold_per_s": cold[1]}
                             for s, cold in services.items()],
                "limits": {"idle_timeout_ms": 15000}}
        self.store.put("config", "main", spec)
        self.record.add(f"operator: configuration {self.version} is acknowledged")
        self.configurations.append((now(), {(ip_number(a), p) for _, a, p, _, _ in routes}))
        return spec

    # -- packets -----------------------------------------------------------------------------------
    def route_packet(self, flow, packet):
        zone = [b for b in self.balancers if b.zone == flow.client.zone and not b.stopped]
        ready = [b for b in zone if b.in_rotation]
        choice = ready if 2 * len(ready) >= len(zone) else zone
        if not ready:
            other = [b for b in self.balancers if b.in_rotation]
            choice = other or zone
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        balancer = choice[hash_of(key) % len(choice)]
        if not flow.via or flow.via[-1] is not balancer:
            flow.via.append(balancer)
        if random.random() < self.lost_share:
            return
        flow.client.transport.sendto(packet.encode(), (balancer.address, self.packet_port))

    # -- what is seen ------------------------------------------------------------------------------
    def broke(self, rule, text):
        self.record.add(f"BROKEN {rule}: {text}")
        self.broken.append((rule, text))

    def on_open(self, host, packet):
        self.opens.append((now(), host, (packet.src, packet.sport)))

    def on_established(self, host, flow):
        flow.opened_at = now()
        for client in self.clients:
            if client.ip == flow.client[0]:
                other = client.flows.get(flow.client[1])
                if other is not None:
                    other.host, other.host_flow = host, flow

    def on_run(self, host, flow, request):
        self.runs.append((now(), host.name, request))
        self.record.add(f"run {request} at {host.name}")

    def on_reset(self, flow, packet, system):
        host = getattr(flow, "host", None)
        held = host is not None and host.alive and host.flows.get(flow.host_flow.client) is flow.host_flow
        self.resets.append((now(), flow, system, host, held))
        who = "the system" if system else "a host"
        self.record.add(f"reset by {who} of {flow.client.name}:{flow.sport} in state {flow.state}, host "
                        f"{host.name if host else '-'} ({'holds it' if held else 'does not hold it'}), via {flow.via[-1].name if flow.via else '-'}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for balancer in self.balancers:
            if balancer.process is not None and balancer.process.poll() is None:
                balancer.process.send_signal(signal.SIGCONT)
                balancer.process.kill()
                balancer.process.wait()
        for host in self.hosts:
            if host.alive:
                host.stop()

    def cleanup(self):
        shutil.rmtree(self.folder, ignore_errors=True)


def hash_of(key):
    import zlib
    return zlib.crc32(repr(key).encode())


def free_ports(count):
    """Ports that are free on loopback."""
    found = []
    sockets = []
    while len(found) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        both = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            both.bind(("127.0.0.1", port))
        except OSError:
            tcp.close()
            continue
        sockets += [tcp, both]
        found.append(port)
    for sock in sockets:
        sock.close()
    return found

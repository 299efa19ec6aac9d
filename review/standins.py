"""Stand-ins for the review: the platform's store, its routers, targets, callers, and a TCP proxy.

They follow the users' pages (PROTOCOL, DEPLOY) and use the standard library of Python 3 only. All
addresses are loopback addresses.
"""

import base64
import http.client
import http.server
import json
import os
import queue
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join("target", "release", "dillmill")
BALANCER_ARGS = ["balancer", "--platform", "--metrics-port", "9464"]
AGENT_ARGS = ["agent", "--platform", "--metrics-port", "9464"]
METRICS_PORT = 9464

# Bounds of the small site `accci-cambio`.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4,
    "drain-ms": 3000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 3000,
    "rollback-slack-ms": 250, "max-skew-ms": 12000, "recover-s": 12, "flow-ms": 2000,
    "max-flow-s": 60,
}
HEARTBEAT_MS = 1200

SYN, ACK, FIN, RST, BOUNCED = 16, 1, 32, 4, 8
HEAD = struct.Struct(">HII4sHH4sB3sII")
KEY = b"review"
WRAP = 1 << 32


class CannotRun(Exception):
    """The case could not be set up; its result says nothing."""


# Exit code of a case whose rule was broken. run.sh makes it 1, and any other but 0 (an error of Python, a time-out) 2.
BROKEN = 10


# ---------------------------------------------------------------------------------------- packets

def checksum(buf):
    head = bytearray(buf[:34])
    head[22] &= ~BOUNCED & 0xFF
    head[23:34] = bytes(11)
    return zlib.crc32(bytes(head) + buf[34:], zlib.crc32(KEY)) or 1


def encode(src, dst, flags, seq, ack, data=b""):
    """Encodes a packet; `src` and `dst` are (address, port)."""
    buf = HEAD.pack(len(data), seq % WRAP, ack % WRAP, socket.inet_aton(src[0]), src[1], dst[1],
                    socket.inet_aton(dst[0]), flags, b"\0\0\0", 0, 0) + data
    return buf[:26] + struct.pack(">I", checksum(buf)) + buf[30:]


class Packet:
    def __init__(self, buf):
        (length, self.seq, self.ack, src, sport, dport, dst, self.flags, self.pad, self.sum,
         self.echo) = HEAD.unpack(buf[:34])
        self.buf = buf
        self.src = (socket.inet_ntoa(src), sport)
        self.dst = (socket.inet_ntoa(dst), dport)
        self.data = buf[34:]
        self.whole = length == len(self.data)

    def intact(self):
        """Returns whether an end of the flow wrote the packet as it is."""
        return self.whole and self.sum == checksum(self.buf)


def ahead(a, b):
    """Returns by how much sequence number `a` is ahead of `b`, negative if it is behind."""
    return (a - b + WRAP // 2) % WRAP - WRAP // 2


# ------------------------------------------------------------------------------------------ record

class Record:
    """What was sent, answered and run, with the time in seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


# ------------------------------------------------------------------------------------------- store

class Store:
    """The platform's metadata store."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.rev = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def reply(self, status, body):
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def handle_call(self):
                from urllib.parse import parse_qs, urlsplit
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                length = int(self.headers.get("Content-Length") or 0)
                text = self.rfile.read(length)
                body = json.loads(text) if text else {}
                try:
                    self.reply(*store.call(self.command, parts.path, query, body))
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = handle_call

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def call(self, method, path, query, body):
        name = path.removeprefix("/dillmill/")
        if method == "GET" and name == "kv-key":
            with self.lock:
                item = self.items.get(query["key"])
                return (200, {**item, "current-rev": self.rev}) if item else (404, {})
        if method == "GET" and name == "kv-range":
            with self.lock:
                prefix, after = query.get("path-prefix", ""), query.get("after", "")
                found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
                return 200, {"items": found[:500], "truncated": len(found) > 500, "current-rev": self.rev}
        if method == "GET" and name == "kv-watch":
            return self.watch(query["path-prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        if method == "POST" and name == "kv-txn":
            return self.commit(body)
        if method == "POST" and name == "kv-lease":
            with self.lock:
                self.next_lease += 1
                ttl = max(1000, min(int(body["ttl-ms"]), 600_000))
                self.leases[self.next_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
                return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if method == "POST" and name.startswith("kv-keep/"):
            with self.lock:
                lease = self.leases.get(int(name.split("/")[1]))
                if not lease:
                    return 404, {}
                lease[1] = time.monotonic() + lease[0]
                return 200, {}
        if method == "DELETE" and name.startswith("kv-lease-end/"):
            with self.lock:
                lease = int(name.split("/")[1])
                if lease not in self.leases:
                    return 404, {}
                self.end_lease(lease)
                return 200, {}
        return 404, {}

    def watch(self, prefix, after, wait):
        until = time.monotonic() + min(wait, 30)
        with self.lock:
            while True:
                events = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current-rev": self.rev}
                self.lock.wait(left)

    def commit(self, body):
        with self.lock:
            expected = body.get("expected-rev") or []
            for row in expected:
                item = self.items.get(row["key"])
                if (item["rev"] if item else 0) != row["rev"]:
                    keys = [r["key"] for r in expected]
                    return 412, {"items": [self.items[k] for k in keys if k in self.items]}
            writes = body.get("writes") or []
            for write in writes:
                if write["key"].startswith(("op/", "servers/")):
                    return 403, {}
                if write.get("lease") and write["lease"] not in self.leases:
                    return 404, {}
            self.rev += 1
            for write in writes:
                self.write(write["key"], write["value"], write.get("lease") or 0)
            for key in body.get("remove") or []:
                self.remove(key)
            self.lock.notify_all()
            return 200, {"rev": self.rev}

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.rev
        self.items[key] = {"key": key, "value": value, "rev": self.rev, "created": created, "lease": lease}
        self.events.append(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.events.append({"key": key, "rev": self.rev, "deleted": True})

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self.remove(key)
            self.lock.notify_all()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.lock:
                for lease in [l for l, (_, end) in self.leases.items() if end < time.monotonic()]:
                    self.end_lease(lease)

    def put_config(self, document):
        """Writes the configuration as the operator does; the return is its acknowledgement."""
        with self.lock:
            self.rev += 1
            self.write("op/config", base64.b64encode(json.dumps(document).encode()).decode(), 0)
            self.lock.notify_all()


# ------------------------------------------------------------------------------------------- proxy

class Proxy:
    """A TCP proxy in front of the store, which can make open connections go silent for good."""

    def __init__(self, address, to):
        self.to = to
        self.links = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(address, backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            try:
                server = socket.create_connection(self.to)
            except OSError:
                client.close()
                continue
            for sock in (client, server):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = {"silent": False, "used": time.monotonic(), "peer": client.getpeername(), "open": True,
                    "asked": b"", "waits": False}
            with self.lock:
                self.links.append(link)
            for a, b in ((client, server), (server, client)):
                threading.Thread(target=self.pump, args=(link, a, b, a is client), daemon=True).start()

    def pump(self, link, source, sink, from_client):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            if link["silent"]:
                if not data:
                    return
                continue
            if not data:
                break
            link["used"] = time.monotonic()
            link["waits"] = from_client
            if from_client:
                link["asked"] = data.split(b"\r\n")[0]
            try:
                sink.sendall(data)
            except OSError:
                break
        link["open"] = False
        for sock in (source, sink):
            try:
                sock.close()
            except OSError:
                pass

    def silence(self, waiting_for):
        """Silences the open connections on which a call has waited for its answer for so many seconds; returns
        those, and the other open ones."""
        now = time.monotonic()
        with self.lock:
            links = [l for l in self.links if l["open"] and not l["silent"]]
        hit = [l for l in links if l["waits"] and now - l["used"] >= waiting_for]
        for link in hit:
            link["silent"] = True
        return hit, [l for l in links if l not in hit]


# ------------------------------------------------------------------------------------------ target

class Target:
    """A backend on a `side` machine: one incarnation, from its start to its end."""

    def __init__(self, vm, service, record, work=0.02, hold_heartbeats=False):
        self.vm, self.service, self.record, self.work = vm, service, record, work
        self.id = "i-%08x" % random.getrandbits(32)
        self.state = "ready"
        self.seq = 0
        self.acked = 0
        self.held = [] if hold_heartbeats else None
        self.flows = {}
        self.ended = {}
        self.runs = []
        self.bad = 0
        self.alive = True
        self.lock = threading.RLock()
        self.health = socket.create_server((vm.ip, vm.fleet.ports["app"]), backlog=64)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((vm.ip, vm.fleet.ports["app"]))
        record.add(f"target {self.id} of {service} starts on {vm.name}")
        # The first heartbeat goes before the first packet is taken.
        self.beat()
        for task in (self.serve_health, self.serve_packets, self.beat_on, self.send_again):
            threading.Thread(target=task, daemon=True).start()

    def crash(self):
        """Ends at once, without a word."""
        with self.lock:
            self.alive = False
        for sock in (self.health, self.socket):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
        self.record.add(f"target {self.id} of {self.service} crashes")

    # -- heartbeats

    def heartbeat(self):
        self.seq += 1
        body = {"service": self.service, "address": f"{self.vm.ip}:{self.vm.fleet.ports['app']}",
                "zone": self.vm.zone, "version": "v1", "slots": 5, "state": self.state,
                "cold-left-ms": 0, "seq": self.seq}
        return {"id": self.id, "body": body}

    def send_heartbeat(self, call):
        """Sends a heartbeat to the agent's `control` address; returns the status, or None."""
        try:
            http_call = http.client.HTTPConnection(self.vm.ip, self.vm.fleet.ports["control"], timeout=1)
            http_call.request("PUT", f"/dillmill/backends/{call['id']}", json.dumps(call["body"]),
                              {"Content-Type": "application/json"})
            answer = http_call.getresponse()
            answer.read()
            http_call.close()
            return answer.status
        except (OSError, http.client.HTTPException):
            return None

    def beat(self):
        call = self.heartbeat()
        if self.held is not None:
            self.held.append(call)
            self.record.add(f"heartbeat {self.seq} of {self.id} ({self.service}) is held up by the cut")
            return None
        status = self.send_heartbeat(call)
        if status and 200 <= status < 300:
            self.acked += 1
        if self.seq <= 8 or not status:
            self.record.add(f"heartbeat {self.seq} of {self.id} ({self.service}, {self.state}): {status}")
        return status

    def beat_on(self):
        while True:
            time.sleep(HEARTBEAT_MS / 1000)
            if not self.alive:
                return
            self.beat()

    # -- health

    def serve_health(self):
        while self.alive:
            try:
                conn, _ = self.health.accept()
            except OSError:
                return
            threading.Thread(target=self.answer_health, args=(conn,), daemon=True).start()

    def answer_health(self, conn):
        try:
            conn.settimeout(2)
            if conn.recv(4096).startswith(b"GET "):
                status = b"200 OK" if self.state == "ready" else b"503 Leaving"
                conn.sendall(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nX-Backend-Id: " +
                             self.id.encode() + b"\r\n\r\n")
        except OSError:
            pass
        conn.close()

    # -- packets

    def send(self, buf):
        try:
            self.socket.sendto(buf, (self.vm.ip, self.vm.fleet.ports["outbound"]))
        except OSError:
            pass

    def serve_packets(self):
        while self.alive:
            try:
                buf = self.socket.recv(2048)
            except OSError:
                return
            if len(buf) < 34:
                self.bad += 1
                continue
            with self.lock:
                if self.alive:
                    self.take(Packet(buf))

    def give_back(self, p):
        buf = bytearray(p.buf)
        buf[22] |= BOUNCED
        buf[23:26] = b"\0\0\0"
        self.send(bytes(buf))

    def take(self, p):
        if not p.intact():
            self.bad += 1
            self.record.add(f"target {self.id} gets a packet that its sender did not write so")
            return
        key = (p.src, p.dst)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None or flow["irs"] != p.seq:
                flow = {"irs": p.seq, "iss": random.getrandbits(32), "open": False, "next": p.seq + 1,
                        "unacked": [], "sent": 0, "key": key}
                self.flows[key] = flow
                self.ended.pop(key, None)
            self.send(encode(p.dst, p.src, SYN | ACK, flow["iss"], flow["irs"] + 1))
            return
        if flow is None:
            if key in self.ended:
                flags, seq = self.ended[key]
                if p.flags & FIN:
                    self.send(encode(p.dst, p.src, ACK, seq, p.seq + 1))
                elif p.data:
                    self.send(encode(p.dst, p.src, RST, seq, p.seq))
                return
            return self.give_back(p)
        if not flow["open"]:
            if ahead(p.ack, flow["iss"] + 1) != 0:
                return self.give_back(p)
            flow["open"] = True
            flow["sent"] = flow["iss"] + 1
        if p.flags & RST:
            del self.flows[key]
            return
        flow["unacked"] = [u for u in flow["unacked"] if ahead(u["end"], p.ack) > 0]
        if p.data:
            if ahead(p.seq, flow["next"]) == 0:
                flow["next"] += len(p.data)
                self.run(flow, p.data)
            if ahead(p.seq, flow["next"]) <= 0:
                self.send(encode(p.dst, p.src, ACK, flow["sent"], flow["next"]))
        if p.flags & FIN and ahead(p.seq + len(p.data), flow["next"]) == 0:
            self.send(encode(p.dst, p.src, FIN | ACK, flow["sent"], flow["next"] + 1))
            self.ended[key] = (0, flow["sent"] + 1)
            del self.flows[key]

    def run(self, flow, data):
        head = data.split(b"\r\n\r\n")[0].decode()
        request = next(l.split(": ")[1] for l in head.split("\r\n") if l.startswith("X-Request-Id"))
        self.runs.append((self.record.now(), request, flow["key"][1]))
        self.record.add(f"run: request {request} to {flow['key'][1]} by target {self.id} of {self.service}")
        timer = threading.Timer(self.work, self.answer, (flow, request))
        timer.daemon = True
        timer.start()

    def answer(self, flow, request):
        body = f"{request} done by {self.service}".encode()
        data = (f"HTTP/1.1 200 OK\r\nX-Backend-Signature: {self.id}-{request}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        with self.lock:
            if not self.alive or self.flows.get(flow["key"]) is not flow:
                return
            src, dst = flow["key"]
            seq = flow["sent"]
            flow["sent"] += len(data)
            unacked = {"seq": seq, "end": flow["sent"], "data": data, "due": time.monotonic() + 0.2,
                       "wait": 0.2, "tries": 0}
            flow["unacked"].append(unacked)
            self.send(encode(dst, src, ACK, seq, flow["next"], data))

    def send_again(self):
        while self.alive:
            time.sleep(0.05)
            now = time.monotonic()
            with self.lock:
                for key, flow in list(self.flows.items()):
                    for u in flow["unacked"]:
                        if u["due"] > now:
                            continue
                        u["tries"] += 1
                        u["wait"] = min(1.6, u["wait"] * 2)
                        u["due"] = now + u["wait"]
                        if u["tries"] > 8:
                            self.flows.pop(key, None)
                            break
                        self.send(encode(key[1], key[0], ACK, u["seq"], flow["next"], u["data"]))


# --------------------------------------------------------------------------------- routers, callers

class Router:
    """The platform's routers of one zone: they hash by `mod` over the balancers that are in."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.nodes = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((fleet.ip(250), 0))

    def add(self, ip):
        self.nodes[ip] = {"missed": 2}
        threading.Thread(target=self.ask, args=(ip,), daemon=True).start()

    def ask(self, ip):
        while True:
            try:
                call = http.client.HTTPConnection(ip, self.fleet.ports["readiness"], timeout=0.4)
                call.request("GET", "/dillmill/readyz")
                ok = call.getresponse().status == 200
                call.close()
            except (OSError, http.client.HTTPException):
                ok = False
            self.nodes[ip]["missed"] = 0 if ok else self.nodes[ip]["missed"] + 1
            time.sleep(0.5)

    def ready(self):
        return sorted(ip for ip, node in self.nodes.items() if node["missed"] < 2)

    def send(self, buf, src, dst):
        nodes = self.ready()
        if 2 * len(nodes) < len(self.nodes):
            nodes = sorted(self.nodes)
        pick = zlib.crc32(repr((src, dst)).encode()) % len(nodes)
        try:
            self.socket.sendto(buf, (nodes[pick], self.fleet.ports["datagram"]))
        except OSError:
            pass


class Caller:
    """A client, with an address of its own."""

    def __init__(self, fleet, ip):
        self.fleet, self.ip = fleet, ip
        self.next_port = random.randrange(30000, 40000)
        self.flows = {}
        self.stray = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, fleet.ports["datagram"]))
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while True:
            buf = self.socket.recv(2048)
            p = Packet(buf)
            inbox = self.flows.get((p.dst, p.src))
            if inbox:
                inbox.put(p)
            else:
                self.stray += 1

    def open(self, route):
        """Opens a flow in one attempt; returns it, and why it failed if it did."""
        self.next_port += 1
        flow = Flow(self, (self.ip, self.next_port), route)
        return flow, flow.open()


class Flow:
    def __init__(self, caller, src, dst):
        self.caller, self.src, self.dst = caller, src, dst
        self.inbox = queue.Queue()
        caller.flows[(src, dst)] = self.inbox
        self.iss = random.getrandbits(32)
        self.sent = self.iss + 1
        self.ack = 0
        self.is_open = False
        self.reset_by = None

    def send(self, flags, seq, ack, data=b""):
        self.caller.fleet.router.send(encode(self.src, self.dst, flags, seq, ack, data), self.src, self.dst)

    def get(self, until):
        try:
            return self.inbox.get(timeout=max(0.0, until - time.monotonic()))
        except queue.Empty:
            return None

    def note_reset(self, p):
        """Returns whether a reset is a valid one, and notes who sent it."""
        if self.is_open and abs(ahead(p.seq, self.ack)) > 76_800:
            return False
        self.reset_by = "the system" if p.sum == 0 else "the target"
        return True

    def open(self):
        begun = time.monotonic()
        copies = [0.2, 0.6]
        self.send(SYN, self.iss, 0)
        sent = 0
        while True:
            due = begun + (copies[sent] if sent < len(copies) else 1.4)
            p = self.get(due)
            if p is None:
                if sent >= len(copies):
                    return "no answer"
                sent += 1
                self.send(SYN, self.iss, sent)
                continue
            if p.flags & RST and self.note_reset(p):
                return "reset"
            if p.flags & SYN and p.flags & ACK and p.intact() and ahead(p.ack, self.iss + 1) == 0:
                self.ack = (p.seq + 1) % WRAP
                self.is_open = True
                return None

    def request(self, request, deadline=2.0):
        """Sends a request on the open flow; returns the answer's status or why there is none."""
        body = b"x" * 200
        data = (f"POST /work HTTP/1.1\r\nHost: {self.dst[0]}\r\nX-Request-Id: {request}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        begun = time.monotonic()
        seq = self.sent
        self.sent += len(data)
        wait, due = 0.2, begun + 0.2
        acked = False
        self.send(ACK, seq, self.ack, data)
        while True:
            p = self.get(min(due, begun + deadline))
            now = time.monotonic()
            if p is None:
                if now >= begun + deadline:
                    return "deadline"
                if not acked:
                    self.send(ACK, seq, self.ack, data)
                wait = min(1.6, wait * 2)
                due = now + wait
                continue
            if p.flags & RST:
                if self.note_reset(p):
                    self.is_open = False
                    return "reset"
                continue
            if not p.intact() or p.flags & SYN:
                continue
            if ahead(p.ack, self.sent) >= 0:
                acked = True
            if p.data and ahead(p.seq, self.ack) == 0:
                self.ack = (self.ack + len(p.data)) % WRAP
                self.send(ACK, self.sent, self.ack)
                if f"-{request}\r\n".encode() not in p.data:
                    return "foreign answer"
                return p.data.split(b" ")[1].decode()
            if p.data:
                self.send(ACK, self.sent, self.ack)

    def close(self):
        self.send(FIN | ACK, self.sent, self.ack)
        self.caller.flows.pop((self.src, self.dst), None)


# ------------------------------------------------------------------------------------------- fleet

class Vm:
    def __init__(self, fleet, name, host, service=None):
        self.fleet, self.name, self.ip, self.service = fleet, name, fleet.ip(host), service
        self.zone = "sjo-a"
        self.process = None
        self.starts = 0

    def settings(self):
        ports, side = self.fleet.ports, self.service is not None
        at = lambda name: f"{self.ip}:{ports[name]}"
        listen = {"datagram-addr": at("datagram"), "readiness": at("readiness"), "control": at("control")}
        if side:
            listen["outbound"] = at("outbound")
        settings = {
            "node-name": self.name, "role": "agent" if side else "balancer",
            "machine-class": "side" if side else "front",
            "serves": ["side"] if side else ["front", "control_plane"],
            "ip": self.ip, "zone": self.zone, "region": "gam", "zones": {"sjo-a": "gam"},
            "listen": listen, "internal-ports": [ports["internal"], ports["internal"] + 15],
            "seeds": [f"{self.fleet.ip(10 + i)}:{ports['control']}" for i in range(self.fleet.balancers)],
            "bootstrap": self.starts == 0 and self.fleet.first, "in-fault-budget": False,
            "limits": {"cpu-share": 0.15 if side else 0.055, "cores": 1, "memory-mb": 128 if side else 260,
                       "max-fds": 4096 if side else 4100, "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "local", "entry": "announce", "heartbeat-ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "fault-tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "ecmp-hash": "mod", "forwarding-mode": "agent",
            "platform": {"address": "%s:%d" % self.fleet.platform, "forwarding-mode": "kv",
                         "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
                         "value-bytes": 1048576, "ttl-min-ms": 1000},
        }
        if side:
            settings.update({"app": at("app"), "service": self.service})
        return settings

    def start(self):
        path = os.path.join(self.fleet.dir, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["DILLMILL_CONFIG"] = path
        log = open(os.path.join(self.fleet.dir, f"{self.name}.log"), "ab")
        args = BALANCER_ARGS if self.service is None else AGENT_ARGS
        self.process = subprocess.Popen([PROGRAM, *args], cwd=REPO, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        self.starts += 1
        self.fleet.processes.append(self.process)


class Fleet:
    """Balancers, agents with their targets, and everything around them, on loopback addresses."""

    def __init__(self, record, balancers, targets, proxied=False):
        if not os.path.exists(os.path.join(REPO, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        self.record, self.balancers, self.first = record, balancers, True
        self.processes = []
        self.dir = tempfile.mkdtemp(prefix="dillmill-review-")
        self.take_addresses()
        store = (self.ip(1), self.ports["store"])
        self.store = Store(store)
        self.platform = store
        self.proxy = None
        if proxied:
            self.platform = (self.ip(2), self.ports["store"])
            self.proxy = Proxy(self.platform, store)
        self.router = Router(self)
        self.fronts = [Vm(self, f"front-sjo-a-{i + 1}", 10 + i) for i in range(balancers)]
        names = [service for service, n in targets for _ in range(n)]
        self.sides = [Vm(self, f"side-sjo-a-{i + 1}", 20 + i, s) for i, s in enumerate(names)]
        self.targets = []

    def take_addresses(self):
        for _ in range(50):
            self.net = f"127.{random.randrange(64, 128)}.{random.randrange(1, 255)}"
            base = random.randrange(20000, 29000)
            self.ports = {"control": base, "readiness": base + 1, "outbound": base + 2, "app": base + 3,
                          "datagram": base + 4, "internal": base + 10, "store": base + 40}
            try:
                for host, port in ((1, base + 40), (10, base), (10, base + 4), (20, base + 3), (10, METRICS_PORT)):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((self.ip(host), port))
                return
            except OSError:
                continue
        raise CannotRun("no free ports")

    def ip(self, host):
        return f"{self.net}.{host}"

    def start(self):
        """Starts all processes and targets, and waits until the routers use all balancers."""
        for vm in self.fronts + self.sides:
            vm.start()
        for vm in self.fronts:
            self.router.add(vm.ip)
        time.sleep(0.5)
        self.targets = [Target(vm, vm.service, self.record) for vm in self.sides]
        self.first = False
        until = time.monotonic() + 25
        while len(self.router.ready()) < self.balancers:
            if time.monotonic() > until:
                raise CannotRun("the balancers do not become ready")
            time.sleep(0.1)
        self.record.add(f"{self.balancers} balancers are ready, {len(self.sides)} agents run")

    def running(self):
        return all(p.poll() is None for p in self.processes)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def route(name, port, service, host="127.198.18.1"):
    return {"name": name, "host": host, "path-prefix": f"/{port}/", "type": "non_idempotent",
            "timeout-ms": 2500, "target-latency-ms": 250, "priority": 1, "service": service, "attempts": 2}


def config(version, routes, services, idle_timeout_ms=15000):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health-path": "/healthz", "max-connections": 2000, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": idle_timeout_ms}}


def stop_case(*_):
    raise CannotRun("stopped before the end")


def main(folder, case):
    """Runs `case(record, trouble)`, which returns what broke the rule, and exits with 0, 2 or `BROKEN`."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A stop by `timeout` ends the started processes, too.
    signal.signal(signal.SIGTERM, stop_case)
    record = Record(folder)
    record.add(f"TROUBLE={int(trouble)}")
    try:
        broken = case(record, trouble)
    except CannotRun as e:
        record.add(f"could not run: {e}")
        print("could not run:", e)
        sys.stdout.flush()
        os._exit(2)
    verdict = f"rule broken: {broken}" if broken else "rule held"
    record.add(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(BROKEN if broken else 0)

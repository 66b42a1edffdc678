"""Stand-ins of the users' platform for the cases 6 to 10.

The store, the replicas and the clients run in one process and speak what the
users' page PROTOCOL.md says. The daemons are processes of their own, started
with the command of deploy/system.toml. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464  # deploy/system.toml
PROGRAM = ROOT / "target" / "galenaflow-platform"


def now():
    return time.monotonic()


def trouble_wanted():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def free_ips(count):
    """Loopback addresses whose port for metrics, which the daemon fixes, is free."""
    ips = []
    while len(ips) < count:
        ip = "127.%d.%d.%d" % tuple(random.randrange(1, 255) for _ in range(3))
        try:
            with socket.socket() as s:
                s.bind((ip, METRICS_PORT))
        except OSError:
            continue
        ips.append(ip)
    return ips


class Record:
    """Collects what was sent, answered and run, for record.txt."""

    def __init__(self):
        self.start = now()
        self.lines = []

    def add(self, text, at=None):
        self.lines.append((at if at is not None else now(), text))

    def write(self, path):
        with open(path, "w") as f:
            for at, text in sorted(self.lines, key=lambda it: it[0]):
                f.write("%9.3f %s\n" % (at - self.start, text))


async def read_head(reader):
    """Returns the first line and the headers (names in lower case)."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer):
    """Ends a connection with a reset."""
    s = writer.get_extra_info("socket")
    s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                 b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Store:
    """The platform's metadata store: reads, watches, a single revision."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Returns the time of the acknowledgement."""
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(text.encode()).decode(),
                "rev": self.revision, "created": created, "lease": 0}
        self.items[key] = item
        self._event(item)
        return now()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self._event({"key": key, "rev": self.revision, "removed": True})
        return now()

    def _event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                status, answer = await self.answer(line.split(" ")[1])
                body = json.dumps(answer).encode()
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                              "Content-Length: %d\r\n\r\n" % (status, len(body))).encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if parts.path.endswith("/kv-key"):
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, store_revision=self.revision)) if item else (404, {})
        if parts.path.endswith("/kv-range"):
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:self.PAGE]]
            return 200, {"items": page, "has_more": len(keys) > len(page),
                         "store_revision": self.revision}
        if parts.path.endswith("/kv-watch"):
            after = int(query["after"])
            end = now() + int(query.get("wait_ms", "0")) / 1000
            while True:
                found = [e for e in self.events
                         if e["rev"] > after and e["key"].startswith(prefix)]
                if found or now() >= end:
                    return 200, {"events": found, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Replica:
    """A replica. Subclasses or callers replace `handle` to add a fault."""

    def __init__(self, record, store, id, service, zone="zone-a", slots=2):
        self.record = record
        self.store = store
        self.id = id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.seq = 0
        self.runs = []  # (time, request id, headers)
        self.arrivals = []
        self.work_s = 0.01
        self.running = 0
        self.server = None
        self.port = 0
        self.task = None
        self.born = int(time.time() * 1000)
        self.writers = set()

    async def start(self, port=0, backlog=100):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port,
                                                 backlog=backlog)
        self.port = self.server.sockets[0].getsockname()[1]
        self.report()
        self.task = asyncio.ensure_future(self.beat())

    async def stop(self):
        if self.task:
            self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def entry_text(self):
        return json.dumps({
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born})

    def report(self):
        self.seq += 1
        return self.store.put("servers/" + self.id, self.entry_text())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.report()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                if not await self.handle(method, path, headers, body, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, writer, status, headers, body=b""):
        head = "HTTP/1.1 %d X\r\n" % status
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        head += "X-Server-Load: %d,0,%d\r\n" % (self.running, self.slots)
        head += "Content-Length: %d\r\n\r\n" % len(body)
        data = head.encode() + body
        writer.write(data)
        return data

    def seal(self, request_id):
        return "%s.%s" % (self.id, request_id)

    def note_run(self, headers, path, body):
        self.runs.append((now(), headers.get("x-request-id", ""), dict(headers)))
        self.record.add("run      replica=%s id=%s deadline=%s path=%s" % (
            self.id, headers.get("x-request-id"), headers.get("x-deadline-ms"), path))

    async def handle(self, method, path, headers, body, writer):
        request_id = headers.get("x-request-id", "")
        self.arrivals.append((now(), request_id))
        if headers.get("x-target-instance", self.id) != self.id:
            self.reply(writer, 421, [("X-Instance-Id", self.id)])
            await writer.drain()
            return True
        self.note_run(headers, path, body)
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        self.reply(writer, 200, [("X-Request-Id", request_id),
                                 ("X-Response-Seal", self.seal(request_id))],
                   self.content(request_id))
        await writer.drain()
        return True

    def content(self, request_id):
        return (self.id + " " + request_id).encode().ljust(32, b".")


class Daemon:
    def __init__(self, folder, name, store_port, seeds, peer_port, ip, zone="zone-a",
                 bounds=None, retry_slack=52):
        self.folder = folder
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.front = free_port()
        self.ready = free_port()
        self.settings = pathlib.Path(folder) / (name + ".yaml")
        self.log = pathlib.Path(folder) / (name + ".log")
        all_bounds = {"seed_lag_s": 3, "addr_reuse_s": 2, "stability_ms": 4000,
                      "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
                      "loss_slack_ms": 200, "config_apply_ms": 3000,
                      "rollback_slack_ms": 250, "max_stretch_ms": 12000,
                      "retry_ratio": 0.2, "budget_window_s": 10,
                      "retry_slack": retry_slack, "recovery_s": 12}
        all_bounds.update(bounds or {})
        self.data = {
            "node_name": name, "role": "entry", "machine_class": "front",
            "serves": ["front", "control"], "ip": ip, "zone": zone, "region": "region-a",
            "zones": {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"},
            "listen": {"front": "%s:%d" % (ip, self.front),
                       "ready": "%s:%d" % (ip, self.ready),
                       "control": "%s:%d" % (ip, free_port())},
            "internal_ports": [peer_port, peer_port + 15],
            "seeds": ["%s:%d" % (it, 1) for it in seeds],
            "bootstrap": True, "loss_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "scatter", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": all_bounds,
            "platform": {"address": "127.0.0.1:%d" % store_port, "form": "read",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "min_ttl_ms": 1000},
        }

    def start(self):
        # JSON is also YAML.
        self.settings.write_text(json.dumps(self.data))
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
               "GALENAFLOW_BOOT": str(self.settings)}
        if os.environ.get("DAEMON_LOG_LEVEL"):
            env["GALENAFLOW_LOG_LEVEL"] = os.environ["DAEMON_LOG_LEVEL"]
        self.process = subprocess.Popen(
            [os.environ.get("DAEMON_PROGRAM", str(PROGRAM))], cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=open(self.log, "ab"),
            stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, limit=15):
        end = now() + limit
        while now() < end:
            try:
                status, _, _ = await asyncio.wait_for(
                    request(self.ip, self.ready, "GET", "/galenaflow/ready"), 1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.1)
        return False


async def read_response(reader, method="GET"):
    line, headers = await read_head(reader)
    status = int(line.split(" ")[1])
    body = b"" if method == "HEAD" else await read_body(reader, headers)
    return status, headers, body


class Client:
    """A client connection that is kept for many requests."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.reader = self.writer = None
        self.used_at = now()

    async def send(self, method, path, headers, body=b"", host="search.example"):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)
        text = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, host)
        for name, value in headers.items():
            text += "%s: %s\r\n" % (name, value)
        if body or method in ("POST", "PUT"):
            text += "Content-Length: %d\r\n" % len(body)
        self.writer.write(text.encode() + b"\r\n" + body)
        status, answer, content = await read_response(self.reader, method)
        if answer.get("connection", "").lower() == "close":
            self.close()
        return status, answer, content

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def request(ip, port, method, path, headers=None, body=b"", host="search.example"):
    client = Client(ip, port)
    try:
        return await client.send(method, path, headers or {}, body, host)
    finally:
        client.close()


def route(name, prefix, kind, timeout_ms, objective_ms, attempts, **services):
    return dict({"name": name, "host": "search.example", "prefix": prefix,
                 "route_type": kind, "timeout_ms": timeout_ms,
                 "target_latency_ms": objective_ms, "priority": 1,
                 "max_attempts": attempts}, **services)


def config(version, routes, services, max_conns=34, limits=None):
    return {"version": version, "routes": routes,
            "services": [{"name": it, "health_path": "/health", "max_conns": max_conns,
                          "protocol": "h1", "tls": False} for it in services],
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 262144,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run_case(case, folder):
    """Runs `case(record, temporary_folder)`, which returns 0, 1 or 2."""
    record = Record()
    temporary = tempfile.mkdtemp(prefix="galenaflow-case-")
    daemons = []
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(case(record, temporary, daemons), 110))
    except Exception as e:  # the case couldn't run
        record.add("could not run: %r" % e)
        import traceback
        traceback.print_exc()
    finally:
        for it in daemons:
            it.end()
        record.write(pathlib.Path(folder) / "record.txt")
        if os.environ.get("KEEP_LOGS"):
            print("logs:", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)

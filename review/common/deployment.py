"""A small deployment of the users' platform on loopback addresses.

Holds stand-ins for the platform's store, for replicas and for clients, and
starts the daemon of the deploy file as separate processes. Stand-ins behave
like sound ones; a case changes single replicas, or stops processes.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "shop.example"
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
ZONES = ["zone-a", "zone-b", "zone-c"]


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """Writes record.txt and holds the start of the clock."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class HttpMessage:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader, is_response=False, is_head=False):
    """Reads one HTTP/1.1 message. Returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = [tuple(p.strip() for p in line.split(":", 1)) for line in lines[1:]]
    message = HttpMessage(lines[0], headers, b"")
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n"))[:-2].split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += chunk[:-2]
    elif message.get("content-length") is not None and not is_head:
        message.body = await reader.readexactly(int(message.get("content-length")))
    elif is_response and not is_head and " 204" not in lines[0]:
        message.body = await reader.read()
    return message


def encode_response(status, headers, body):
    text = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Other'}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store: range and watch calls, one revision counter."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.address = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def put(self, key, value):
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "removed": True})

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                url = urllib.parse.urlsplit(request.first.split(" ")[1])
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                answer = None
                if url.path == "/galenaflow/kv-range":
                    answer = self.range(query)
                elif url.path == "/galenaflow/kv-watch":
                    answer = await self.watch(query)
                body = json.dumps(answer).encode()
                headers = [("Content-Type", "application/json")]
                writer.write(encode_response(200 if answer else 404, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def range(self, query):
        keys = sorted(
            k for k in self.items
            if k.startswith(query.get("prefix", "")) and k > query.get("after", "")
        )
        return {
            "items": [self.items[k] for k in keys[:500]],
            "has_more": len(keys) > 500,
            "store_revision": self.revision,
        }

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                e for e in self.events
                if e["rev"] > after and e["key"].startswith(query.get("prefix", ""))
            ]
            if events or time.monotonic() >= end:
                return {"events": events, "store_revision": self.revision}
            await asyncio.sleep(0.02)


class Replica:
    """A sound replica. `on_request` may replace the handling of a request."""

    def __init__(self, deployment, service, name, zone, work_s=0.01, slots=2,
                 keep_alive=None):
        self.deployment, self.service, self.name, self.zone = deployment, service, name, zone
        self.work_s, self.slots, self.keep_alive = work_s, slots, keep_alive
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.on_request = None
        self.address = None
        self.server = None
        self.beat_task = None
        self.writers = set()
        self.runs = []
        self.working = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.beat_task = asyncio.ensure_future(self.beat())

    def register(self):
        self.seq += 1
        self.deployment.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "seq": self.seq, "born": self.born,
        })

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends like a killed process: the system closes its sockets. The store
        removes the entry after three heartbeats of silence."""
        self.beat_task.cancel()
        store, key = self.deployment.store, "servers/" + self.name
        last = store.items[key]["rev"]

        def expire():
            if key in store.items and store.items[key]["rev"] == last:
                store.remove(key)
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, expire)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.answer(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        request_id = request.get("X-Request-Id", "")
        target = request.get("X-Target-Instance")
        if target is not None and target != self.name:
            self.deployment.record.write(f"replica {self.name} got {request_id} for {target}: 421")
            writer.write(encode_response(421, [("X-Instance-Id", self.name)], b""))
            await writer.drain()
            return True
        self.working += 1
        try:
            return await self.run(request, writer)
        finally:
            self.working -= 1

    async def run(self, request, writer):
        if self.on_request is not None:
            return await self.on_request(self, request, writer)
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        writer.write(encode_response(200, self.headers(request), self.body(request)))
        await writer.drain()
        return True

    def note_run(self, request):
        request_id = request.get("X-Request-Id", "")
        self.runs.append((request_id, request))
        self.deployment.record.write(f"run {request_id} at {self.name} ({self.service})")

    def headers(self, request):
        headers = [("X-Request-Id", request.get("X-Request-Id", "")),
                   ("X-Response-Seal", f"{self.name}.{request.get('X-Request-Id', '')}"),
                   ("X-Server-Load", f"1,0,{self.slots}")]
        if self.keep_alive is not None:
            headers.append(("Keep-Alive", f"timeout={self.keep_alive}"))
        return headers

    def body(self, request):
        return f"{self.service} {request.get('X-Request-Id', '')}".encode()


class Daemon:
    """One process of the deploy file's role, on a loopback address."""

    def __init__(self, deployment, index):
        self.deployment, self.index = deployment, index
        self.ip = deployment.ips[index]
        self.zone = ZONES[index % len(ZONES)]
        self.process = None
        ports = deployment.ports
        self.front = (self.ip, ports["front"])
        self.ready = (self.ip, ports["ready"])

    def start(self):
        d, ports = self.deployment, self.deployment.ports
        # The settings file is YAML, of which JSON is a part.
        settings = {
            "node_name": f"front-{self.zone}-{self.index}", "role": "entry",
            "machine_class": "front", "serves": ["front", "control"],
            "ip": self.ip, "zone": self.zone, "region": "region",
            "zones": {zone: "region" for zone in ZONES},
            "listen": {name: f"{self.ip}:{ports[name]}" for name in ("front", "ready", "control")},
            "internal_ports": [ports["internal"], ports["internal"] + 1],
            "seeds": [f"{ip}:{ports['control']}" for ip in d.ips[:3]],
            "bootstrap": True, "loss_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "scatter", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "stability_ms": 4000,
                       "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000,
                       "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
                       "rollback_slack_ms": 250, "max_stretch_ms": 12000,
                       "retry_ratio": 0.2, "budget_window_s": 10,
                       "retry_slack": 56, "recovery_s": 12},
            "platform": {"address": d.store.address, "form": "read",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "min_ttl_ms": 1000},
        }
        path = os.path.join(d.folder, f"node-{self.index}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["GALENAFLOW_BOOT"] = path
        log = open(os.path.join(d.folder, f"node-{self.index}.log"), "ab")
        self.process = subprocess.Popen(
            d.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        d.record.write(f"daemon {self.index} started, front {self.front[0]}:{self.front[1]}")

    def signal(self, number):
        self.deployment.record.write(f"daemon {self.index} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def unread_bytes(self):
        """Bytes that callers have sent and the process has not read yet, as the
        system counts them; None when it doesn't tell."""
        try:
            with open("/proc/net/tcp", encoding="ascii") as file:
                lines = [line.split() for line in file][1:]
        except OSError:
            return None
        address = "%08X:%04X" % (
            int.from_bytes(socket.inet_aton(self.ip), "little"), self.front[1])
        established = "01"
        return sum(int(line[4].split(":")[1], 16) for line in lines
                   if line[1] == address and line[3] == established)

    def log_text(self):
        with open(os.path.join(self.deployment.folder, f"node-{self.index}.log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /galenaflow/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader, is_response=True)
            writer.close()
            return answer is not None and " 200" in answer.first
        except OSError:
            return False


class Deployment:
    def __init__(self, folder_of_case, daemons=1):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        self.command = role["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is missing; run the build of the deploy file")
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        # An own range of loopback addresses, so that ports can be the same on all.
        base = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
        self.ips = [f"{base}.{i + 1}" for i in range(daemons)]
        names = ("front", "ready", "control")
        self.ports = {name: free_port(self.ips[0]) for name in names}
        self.ports["internal"] = free_port(self.ips[0])
        self.store = Store(self.record)
        self.daemons = [Daemon(self, i) for i in range(daemons)]
        self.version = 0
        self.count = 0

    async def start_daemons(self):
        for daemon in self.daemons:
            daemon.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons, limit_s=20):
        end = time.monotonic() + limit_s
        for daemon in daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"daemon {daemon.index} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("all daemons are ready")

    def configure(self, routes, services, max_conns=34):
        """Writes the next version of the configuration; the write is its ack."""
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": s, "health_path": "/health", "max_conns": max_conns,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        })
        self.record.write(f"configuration {self.version} is acknowledged")

    async def request(self, daemon, path, method="GET", deadline_ms=1000, body=b"",
                      limit_s=None):
        """Sends one request on a new connection. Returns (id, status, answer);
        the status is None when the connection ends without an answer."""
        self.count += 1
        request_id = f"{self.count:016x}"
        self.record.write(f"sent {request_id} {method} {path} to daemon {daemon.index}")
        status, answer = None, None
        try:
            reader, writer = await asyncio.open_connection(*daemon.front)
            head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                    f"X-Deadline-Ms: {deadline_ms}\r\n")
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            answer = await asyncio.wait_for(
                read_message(reader, is_response=True), limit_s or deadline_ms / 1000 + 2)
            if answer is not None:
                status = int(answer.first.split(" ")[1])
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            self.record.write(f"failed {request_id} {type(e).__name__}")
        text = answer.body[:60] if answer is not None else b""
        self.record.write(f"answered {request_id} {status} {text!r}")
        return request_id, status, answer

    def stop(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, daemons=1):
    """Plays a case and returns its exit code: 1 when the rule was broken, 0 when
    it held, 2 when the case could not run. `play` returns a text when the rule
    was broken, else None."""
    async def main():
        deployment = Deployment(folder, daemons)
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        deployment.record.write(f"TROUBLE={os.environ.get('TROUBLE', '1')}")
        try:
            broken = await asyncio.wait_for(play(deployment), 112)
            deployment.record.write(f"broken: {broken}" if broken else "held")
            print(f"broken: {broken}" if broken else "held")
            return 1 if broken else 0
        finally:
            deployment.stop()
    try:
        return asyncio.run(main())
    except (Exception, asyncio.CancelledError) as e:  # also a fault of the case
        print(f"could not run: {type(e).__name__} {e}")
        return 2

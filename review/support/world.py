"""Stand-ins for the review's scripts: the platform's store, runners, clients and relay processes.

They follow the users' pages. All sockets are on loopback addresses. Everything but the relay
(target/savoryrelay_edge) runs in this process, on asyncio.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
EDGE = os.path.join(ROOT, "target", "savoryrelay_edge")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_used = set()


def free_port(ip="127.0.0.1"):
    """Returns a free port below the range from which the system draws those of clients, so that
    no client takes it while a stand-in is down."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as s:
            try:
                s.bind((ip, port))
            except OSError:
                continue
        if port not in _used:
            _used.add(port)
            return port


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Headers(list):
    def get(self, name, default=""):
        for key, value in self:
            if key.lower() == name.lower():
                return value
        return default


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readline()
    return data


async def read_body(reader, headers):
    if "chunked" in headers.get("Transfer-Encoding").lower():
        body = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return body
            body += data
    return await reader.readexactly(int(headers.get("Content-Length", "0") or "0"))


def response(status, headers=(), body=b"", length=True):
    head = f"HTTP/1.1 {status} X\r\n"
    for key, value in headers:
        head += f"{key}: {value}\r\n"
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server that serves one request at a time on a connection."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port, self.server, self.open = ip, free_port(ip), None, set()

    async def listen(self):
        self.server = await asyncio.start_server(self._accept, self.ip, self.port,
                                                 reuse_address=True, limit=1 << 22)

    async def _accept(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body), reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            try:
                writer.close()
            except (RuntimeError, OSError):
                pass

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    def crash(self):
        """Ends as a killed process does: the port is closed, and all connections end."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()

    async def close(self):
        self.crash()


class Store(Server):
    """The platform's store: rows, conditional transactions and the feed."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key) -> [value bytes or None, ver]
        self.ver = 0
        self.more_headers = []
        self.changed = asyncio.Condition()
        self.started = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def put(self, table, key, value):
        """Writes as the operator or a runner does. None removes the row."""
        async with self.changed:
            self.ver += 1
            text = None if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
            self.rows[(table, "", key)] = [text, self.ver]
            self.changed.notify_all()

    def row_json(self, name, row):
        out = {"table": name[0], "part": name[1], "key": name[2], "ver": row[1]}
        if row[0] is None:
            out["tombstone"] = True
        else:
            out["value"] = base64.b64encode(row[0]).decode()
        return out

    async def handle(self, request, reader, writer):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        status, answer = 404, {}
        if url.path == "/rows-tx":
            status, answer = await self.transact(json.loads(request.body))
        elif url.path == "/rows-get":
            start, end = query.get("from", ""), query.get("target")
            limit = min(500, int(query.get("limit", 500)))
            found = sorted(n for n, r in self.rows.items()
                           if n[0] == query["table"] and n[1] == query.get("part", "") and
                           r[0] is not None and n[2] >= start and (not end or n[2] < end))
            answer = {"rows": [self.row_json(n, self.rows[n]) for n in found[:limit]],
                      "has_more": len(found) > limit, "ver": self.ver, "now_ms": self.now_ms()}
            status = 200
        elif url.path == "/rows-feed":
            after, wait = int(query["after_rev"]), int(query.get("wait_ms", 0)) / 1000
            end = time.monotonic() + wait

            def newer():
                return sorted((r[1], n) for n, r in self.rows.items()
                              if n[0] == query["table"] and r[1] > after)
            async with self.changed:
                while not newer() and time.monotonic() < end:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        break
                answer = {"rows": [self.row_json(n, self.rows[n]) for _, n in newer()],
                          "has_more": False, "ver": self.ver, "now_ms": self.now_ms()}
            status = 200
        writer.write(response(status, [("Content-Type", "application/json"), *self.more_headers],
                              json.dumps(answer).encode()))

    async def transact(self, body):
        def name(item):
            return (item["table"], item.get("part", ""), item["key"])
        async with self.changed:
            for item in body.get("expected_rev", []):
                row = self.rows.get(name(item))
                current = row[1] if row and row[0] is not None else 0
                if current != item["ver"]:
                    rows = [self.row_json(name(i), self.rows[name(i)])
                            for i in body["expected_rev"] if name(i) in self.rows]
                    return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            self.ver += 1
            for item in body.get("set_keys", []):
                self.rows[name(item)] = [base64.b64decode(item["value"]), self.ver]
            for item in body.get("remove", []):
                self.rows[name(item)] = [None, self.ver]
            self.changed.notify_all()
            return 200, {"ver": self.ver, "now_ms": self.now_ms()}


class Runner(Server):
    """A runner: its entry, its report, orders, and requests of plain and model services."""

    def __init__(self, world, rid, service, slots=6, domain="", zone="zone-a", ip="127.0.0.1"):
        super().__init__(ip)
        self.world, self.rid, self.service, self.slots = world, rid, service, slots
        self.domain, self.zone = domain, zone
        self.state, self.alive, self.born = "ready", False, 0
        self.runs = []          # (time, Attempt-Id) of each request that began to run
        self.reset_life()

    def reset_life(self):
        self.sequence, self.group, self.model, self.staged, self.last_model = 0, None, "", [], ""
        self.active = 0

    def own(self):
        out = {"born": self.born, "stage": "hybrid", "staged": self.staged,
               "models": [{"name": self.model, "version": 1, "adapters": []}] if self.model else []}
        if self.group:
            out["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        if self.domain:
            out["domain"] = self.domain
        return out

    async def write_entry(self, beats=[0]):
        beats[0] += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0, "sequence": beats[0], **self.own()}
        await self.world.store.put("servers", self.rid, entry)

    async def start(self):
        self.reset_life()
        self.born = int(time.time() * 1000)
        self.alive = True
        await self.listen()
        await self.write_entry()

    def die(self):
        self.alive = False
        self.group = None
        self.crash()

    async def handle(self, request, reader, writer):
        expected = request.headers.get("Expect-Instance")
        if expected and expected != self.rid:
            writer.write(response(421, [("Instance-Id", self.rid)]))
            return
        if request.target == "/report":
            report = {**self.own(), "busy": False, "sequence": self.sequence, "queued": 0,
                      "active": self.active, "kv_used": 0, "kv_total": 1400000, "handles": 0,
                      "pace": 1.0}
            writer.write(response(200, [("Content-Type", "application/json")],
                                  json.dumps(report).encode()))
        elif request.target == "/order":
            status = await self.order(json.loads(request.body))
            writer.write(response(status, [("Content-Type", "application/json")], b"{}"))
        elif request.target == "/health":
            writer.write(response(200, [("Instance-Id", self.rid)]))
        else:
            self.active += 1
            try:
                await self.serve(request, reader, writer)
            finally:
                self.active -= 1

    async def order(self, order):
        self.world.record(f"order {self.rid} {json.dumps(order)} sequence={self.sequence}")
        if "expected_rev" in order and order["expected_rev"] != self.sequence:
            return 409
        operation = order["operation"]
        if operation == "join":
            rank = order["members"].index(self.rid)
            self.sequence += 1
            self.model = order["model"]
            group = {"name": order["group"], "epoch": order["epoch"], "rank": rank,
                     "state": "joining", "members": order["members"]}
            delay = 0.2 if self.last_model == self.model else 0.5
            self.group = group
            asyncio.get_running_loop().create_task(self.become(group, "ready", delay))
            await self.write_entry()
            return 202
        if operation == "stage":
            self.sequence += 1
            self.staged = [order["model"]]
            return 202
        if not self.group or self.group["name"] != order["group"] or \
                self.group["epoch"] != order["epoch"]:
            return 409
        if operation == "open":
            if self.group["rank"] != 0 or self.group["state"] != "ready":
                return 409
            self.sequence += 1
            asyncio.get_running_loop().create_task(self.become(self.group, "open", 0.1))
            return 202
        if operation == "close":
            self.sequence += 1
            self.group["state"] = "ready"
            await self.write_entry()
            return 202
        self.sequence += 1
        self.group, self.model = None, ""
        await self.write_entry()
        return 200

    async def become(self, group, state, delay):
        await asyncio.sleep(delay)
        if self.group is group and self.alive:
            group["state"] = state
            self.last_model, self.staged = self.model, [self.model]
            await self.write_entry()

    def run(self, request):
        attempt = request.headers.get("Attempt-Id")
        self.runs.append((self.world.record.now(), attempt))
        self.world.record(f"run {self.rid} {attempt} {request.method} {request.target}")

    def head(self, request, more=()):
        return [("Attempt-Id", request.headers.get("Attempt-Id")),
                ("Server-Seal", f"{self.rid}.{self.born}"), *more]

    async def serve(self, request, reader, writer):
        """Serves a request of a plain service."""
        self.run(request)
        await asyncio.sleep(0.03)
        writer.write(response(200, self.head(request), b"done by " + self.rid.encode()))


class ModelRunner(Runner):
    """A runner of a model service: the head of an open group streams events."""
    events, gap_s, first_s = 8, 0.03, 0.05

    async def serve(self, request, reader, writer):
        if not (self.group and self.group["rank"] == 0 and self.group["state"] == "open"):
            writer.write(response(421, [("Instance-Id", self.rid)]))
            return
        await asyncio.sleep(self.first_s)
        self.run(request)
        last = request.headers.get("Last-Event-Id")
        await self.stream(request, writer, int(last) + 1 if last else 0)

    def begin(self, request, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for key, value in self.head(request):
            head += f"{key}: {value}\r\n"
        writer.write(head.encode() + b"\r\n")

    def event(self, writer, number):
        text = f"id: {number}\ndata: piece{number}\n\n".encode()
        writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")

    async def stream(self, request, writer, first):
        self.begin(request, writer)
        for number in range(first, self.events):
            self.event(writer, number)
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = 0, Headers(), b"", False, ""
        self.sent_at = self.ended_at = 0.0


class Relay:
    """A process of the deploy file's program with settings as its template gives them."""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.callers, self.readiness, self.metrics = free_port(ip), free_port(ip), free_port(ip)
        self.process = None

    def settings(self):
        w = self.world
        seeds = ",".join(f"{r.ip}:1" for r in w.relays[:3])
        return (f'host: "{self.name}"\navailability_zone: "{self.zone}"\n'
                f'callers: "{self.ip}:{self.callers}"\nreadiness: "{self.ip}:{self.readiness}"\n'
                f'metrics: "{self.ip}:{self.metrics}"\nstore: "127.0.0.1:{w.store.port}"\n'
                f'processor_share: 0.25\nfirst_start: {"true" if w.first_start else "false"}\n'
                f'peers:\n  address: "{self.ip}"\n  port: {w.peer_port}\n  seeds: "{seeds}"\n'
                f'bounds:\n  stop_s: 8\n  leave_ms: 2000\n  repeat_ratio: 0.2\n'
                f'  repeat_burst: 134\n  repeat_window_s: 10\n')

    async def start(self):
        path = os.path.join(self.world.folder, self.name + ".yaml")
        with open(path, "w") as f:
            f.write(self.settings())
        log = open(os.path.join(self.world.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(EDGE, "--settings=" + path,
                                                            stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.world.record(f"start {self.name} pid={self.process.pid}")

    def signal(self, number):
        self.world.record(f"signal {self.name} {number.name}")
        self.process.send_signal(number)

    async def ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await self.world.call(self, "GET", "/readiness", port=self.readiness,
                                           quiet=True)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.05)
        return False


class World:
    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.store = Store()
        self.relays, self.runners = [], []
        self.peer_port = free_port()
        self.first_start = True
        self.number = 0
        self.version = 0

    def add_relay(self, zone="zone-a"):
        index = len(self.relays) + 11
        relay = Relay(self, f"edge-{index}", f"127.0.0.{index}", zone)
        self.relays.append(relay)
        return relay

    def add_runner(self, kind, *args, **more):
        runner = kind(self, *args, **more)
        self.runners.append(runner)
        return runner

    async def configure(self, routes, services, **more):
        self.version += 1
        config = {"version": self.version, "routes": routes, "services": services,
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                  "tenants": [{"name": "workshop", "api_keys": ["k1"], "priority": 1}], **more}
        await self.store.put("op", "config", config)
        self.record(f"config {self.version}")

    async def call(self, relay, method, target, headers=(), body=b"", port=None, limit=10,
                   quiet=False, attempt=None, on_bytes=None, deadline_ms=None):
        """Sends one request on a new channel and reads its answer."""
        answer = Answer()
        if not quiet:
            self.number += 1
            attempt = attempt or f"a{self.number:06d}"
            answer.attempt = attempt
            headers = [("Host", "a.example"), ("Attempt-Id", attempt), ("Key", "k1"),
                       ("Deadline-Ms", str(deadline_ms or 5000)), *headers]
            self.record(f"send {attempt} {relay.name} {method} {target}")
        writer = None
        answer.sent_at = self.record.now()
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(relay.ip, port or relay.callers,
                                                               limit=1 << 22)
                head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
                if body or method == "POST":
                    head += f"Content-Length: {len(body)}\r\n"
                writer.write(head.encode() + b"\r\n" + body)
                first, answer.headers = await read_head(reader)
                answer.status = int(first.split(" ")[1])
                if "chunked" in answer.headers.get("Transfer-Encoding").lower():
                    while True:
                        data = await read_chunk(reader)
                        if not data:
                            break
                        if on_bytes is not None:
                            on_bytes(data)
                        else:
                            answer.body += data
                else:
                    answer.body = await read_body(reader, answer.headers)
                answer.complete = True
        except (TimeoutError, asyncio.TimeoutError):
            answer.error = "client gave up"
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
            answer.error = type(error).__name__
        finally:
            if writer is not None:
                reset(writer) if answer.error else writer.close()
        answer.ended_at = self.record.now()
        if not quiet:
            self.record(f"answer {attempt} status={answer.status} complete={answer.complete} "
                        f"{answer.error} after={answer.ended_at - answer.sent_at:.3f} "
                        f"body={answer.body[:120]!r}")
        return answer

    async def close(self):
        for relay in self.relays:
            if relay.process is not None and relay.process.returncode is None:
                try:
                    relay.process.send_signal(signal.SIGCONT)
                    relay.process.kill()
                except ProcessLookupError:
                    pass
                await relay.process.wait()
        for server in [self.store, *self.runners]:
            server.crash()
        self.record.close()


ENGINE = {"slots": 26, "kv_capacity": 1400000, "kv_token_bytes": 35136, "stride": 5,
          "models": [{"name": "gold", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 1.0,
                      "warmup_s": 0.5}],
          "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0,
          "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 50.0,
          "loads_at_once": 6, "usual": {"prompt": 100, "answer": 40}, "keeps": 1, "form_ms": 100.0}


def routes(resume=True, ask_timeout_ms=6000):
    return [
        {"name": "ask", "host": "a.example", "path_prefix": "/ask/", "kind": "streaming",
         "timeout_ms": ask_timeout_ms, "latency_target_ms": 500, "gap_target_ms": 300,
         "priority": 1, "max_attempts": 2, "session_affinity": True, "stream_resume": resume,
         "service": "model"},
        {"name": "book", "host": "a.example", "path_prefix": "/book/", "kind": "non_idempotent",
         "timeout_ms": 3000, "latency_target_ms": 150, "priority": 2, "max_attempts": 1,
         "service": "orders"},
        {"name": "look", "host": "a.example", "path_prefix": "/look/", "kind": "idempotent",
         "timeout_ms": 3000, "latency_target_ms": 150, "priority": 2, "max_attempts": 2,
         "service": "orders"}]


SERVICES = [{"name": "model", "health_path": "/health", "max_connections": 474, "engine": ENGINE},
            {"name": "orders", "health_path": "/health", "max_connections": 110}]

MODEL_HEADERS = [("Model", "gold"), ("Token-Counts", "100,40")]


def main(folder, scenario, limit=110):
    """Runs `scenario(world)`, which returns the number of breaches, or None if it couldn't run."""
    async def run():
        world = World(folder)
        result = None
        try:
            async with asyncio.timeout(limit):
                await world.store.listen()
                result = await scenario(world)
        except Exception as error:  # reported as a case that could not run
            world.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            if os.environ.get("DEBUG"):
                raise
        finally:
            if os.environ.get("KEEP_LOGS"):
                print("logs:", world.folder)
            await world.close()
            if not os.environ.get("KEEP_LOGS"):
                for name in os.listdir(world.folder):
                    os.unlink(os.path.join(world.folder, name))
                os.rmdir(world.folder)
        return result
    result = asyncio.run(run())
    if result is None:
        sys.exit(2)
    sys.exit(1 if result else 0)

"""Stand-ins of the platform's store, of runners and of clients, and the start of entry hosts.

The stand-ins follow PROTOCOL.md. All of them run in the one process of a script; the entry
hosts are processes of their own, built and configured as `deploy/system.toml` says.
"""

import asyncio
import base64
import json
import os
import re
import secrets
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
EDGE_PROGRAM = os.path.join(ROOT, "target", "savoryrelay_edge")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml.template")


def free_addresses(count):
    """Returns `count` loopback addresses that no other run of a script uses, as is most likely."""
    network = f"127.{secrets.randbelow(250) + 2}.{secrets.randbelow(250) + 2}"
    return [f"{network}.{10 + index}" for index in range(count)]


TAKEN_PORTS = set()


def free_port():
    """Returns a port that is free on all addresses now, below those of outgoing connections."""
    while True:
        port = 10000 + secrets.randbelow(20000)
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            return port


class Record:
    """Writes `record.txt`: a line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


class Connection:
    """One accepted connection of a stand-in."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def read_request(self):
        """Returns (method, target, headers, body), or None at the end of the connection."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = b""
        try:
            if "content-length" in headers:
                body = await self.reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return method, target, headers, body

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, status, body=b"", headers=()):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reset(self):
        """Closes the connection with a TCP reset."""
        if self.writer.transport.is_closing():
            return
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self):
        self.writer.close()


class Server:
    """A listener whose connections are handled by `handle(connection)`. `listen` returns its port."""

    def __init__(self):
        self.open = set()
        self.tasks = set()  # of the open connections
        self.listener = None

    async def listen(self, address, port, handle):
        async def accept(reader, writer):
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(reader, writer)
            self.open.add(connection)
            self.tasks.add(asyncio.current_task())
            try:
                await handle(connection)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.open.discard(connection)
                self.tasks.discard(asyncio.current_task())
                if not writer.transport.is_closing():
                    writer.close()

        while True:
            try:
                self.listener = await asyncio.start_server(accept, address, port, limit=1 << 20)
                return port
            except OSError:  # another process has taken the port meanwhile
                port = free_port()

    def stop(self):
        """Ends the listener and resets all connections, as the end of a process does."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.open):
            connection.reset()
        for task in list(self.tasks):
            task.cancel()


class Store:
    """The platform's metadata store. Keeps its whole history."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = free_port()
        self.version = 0
        self.rows = {}  # (table, part, key) -> [value in base64, version, is removed]
        self.changed = asyncio.Event()
        self.server = Server()

    async def start(self):
        self.port = await self.server.listen(self.address, self.port, self.handle)

    def put(self, table, key, value):
        """Writes a row as the operator or a runner does; None removes it."""
        self.version += 1
        text = "" if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = [text, self.version, value is None]
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def listed(self, table, after, with_removed, start="", limit=500):
        found = []
        for (name, part, key), (value, version, removed) in sorted(self.rows.items()):
            if name == table and key >= start and version > after and (with_removed or not removed):
                row = {"table": table, "part": part, "key": key, "value": value, "ver": version}
                if removed:
                    row["tombstone"] = True
                found.append(row)
        return found[:limit], len(found) > limit

    def transact(self, body):
        conflicts = []
        for row in body.get("expected_rev", []):
            held = self.rows.get((row["table"], row["part"], row["key"]))
            if (0 if held is None or held[2] else held[1]) != row["ver"]:
                conflicts.append(row)
        if conflicts:
            rows = [dict(row, ver=self.rows.get((row["table"], row["part"], row["key"]), ["", 0])[1])
                    for row in conflicts]
            return 412, {"rows": rows, "ver": self.version}
        self.version += 1
        for row in body.get("set_keys", []):
            self.rows[(row["table"], row["part"], row["key"])] = [row["value"], self.version, False]
        for row in body.get("remove", []):
            self.rows[(row["table"], row["part"], row["key"])] = ["", self.version, True]
        self.wake()
        return 200, {"ver": self.version}

    async def handle(self, connection):
        while (request := await connection.read_request()) is not None:
            _, target, _, body = request
            path, _, query = target.partition("?")
            fields = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
            await asyncio.sleep(0.004)
            if path == "/rows-tx":
                status, answer = self.transact(json.loads(body))
            elif path == "/rows-get":
                rows, more = self.listed(fields["table"], 0, False, fields.get("from", ""))
                status, answer = 200, {"rows": rows, "has_more": more, "ver": self.version}
            elif path == "/rows-feed":
                after = int(fields["after_rev"])
                end = time.monotonic() + int(fields["wait_ms"]) / 1000
                rows, _ = self.listed(fields["table"], after, True, limit=10**6)
                while not rows and time.monotonic() < end:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
                    rows, _ = self.listed(fields["table"], after, True, limit=10**6)
                status, answer = 200, {"rows": rows, "ver": self.version}
            else:
                status, answer = 404, {}
            await connection.answer(status, answer, [("Content-Type", "application/json")])


class Runner:
    """One runner. Without a model it serves plain requests, with one it serves in groups.

    `serve(runner, connection, method, target, headers, body)` runs a request; it returns False
    when the connection is to be closed.
    """

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, name, service, zone, serve, domain="", slots=26, port=None,
                 staged=(), warmup_s=1.0):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.domain = domain
        self.slots = slots
        self.serve = serve
        self.port = port or free_port()
        self.warmup_s = warmup_s
        self.born = int(time.time() * 1000)
        self.server = Server()
        self.is_alive = False
        self.beats = 0
        self.state = "ready"
        self.orders = 0
        self.staged = list(staged)
        self.model = ""
        self.last_model = ""
        self.group = None  # name, epoch, rank, state, members
        self.ready_groups = set()  # (name, epoch, members) under which it has been ready
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self):
        self.port = await self.server.listen("127.0.0.1", self.port, self.handle)
        self.is_alive = True
        self.spawn(self.beat())

    async def beat(self):
        while self.is_alive:
            self.write_entry()
            await asyncio.sleep(self.HEARTBEAT_S)

    def said_of_itself(self):
        said = {"born": self.born, "domain": self.domain, "staged": self.staged,
                "models": [{"name": self.model, "version": 1, "adapters": []}] if self.model else []}
        if self.group:
            said["group"] = {name: self.group[name] for name in ("name", "epoch", "rank", "state")}
        return said

    def write_entry(self):
        self.beats += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": 1, "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                 "sequence": self.beats}
        if self.domain:
            entry.update(self.said_of_itself())
        else:
            entry["born"] = self.born
        self.store.put("servers", self.name, entry)

    def die(self):
        """Ends the process of the runner; it says nothing more."""
        self.is_alive = False
        for task in list(self.tasks):
            task.cancel()
        self.server.stop()

    async def lapse(self):
        """Removes the entry after three intervals of silence."""
        await asyncio.sleep(3 * self.HEARTBEAT_S)
        if not self.is_alive:
            self.store.put("servers", self.name, None)

    async def come_back(self):
        """Starts the runner again under its id and address."""
        self.__init__(self.store, self.record, self.name, self.service, self.zone, self.serve,
                      self.domain, self.slots, self.port, self.staged, self.warmup_s)
        await self.start()

    def is_open_head(self):
        return bool(self.group) and self.group["rank"] == 0 and self.group["state"] == "open"

    def receive_order(self, order):
        if "expected_rev" in order and order["expected_rev"] != self.orders:
            return 409
        operation = order["operation"]
        if operation == "stage":
            self.orders += 1
            self.staged = [order["model"]]
            return 202
        name, epoch = order["group"], order["epoch"]
        if operation == "join":
            if self.group and (epoch < self.group["epoch"] or
                               (name, epoch) == (self.group["name"], self.group["epoch"])):
                return 412
            self.orders += 1
            self.group = {"name": name, "epoch": epoch, "rank": order["members"].index(self.name),
                          "state": "joining", "members": tuple(order["members"])}
            self.model = order["model"]
            self.spawn(self.finish_join(self.group))
            return 202
        if not self.group or (self.group["name"], self.group["epoch"]) != (name, epoch):
            return 409
        if operation == "open":
            if self.group["rank"] != 0 or self.group["state"] != "ready":
                return 409
            self.orders += 1
            self.spawn(self.finish_open(self.group))
            return 202
        self.orders += 1
        if operation == "close":
            self.group["state"] = "closing" if order["mode"] == "queue" else "ready"
            if order["mode"] == "abort":
                self.abort_work()
            else:
                self.spawn(self.finish_close(self.group))
            self.write_entry()
            return 202
        self.group = None
        self.abort_work()
        self.write_entry()
        return 200

    def abort_work(self):
        """Ends the work of the runner; a script that runs long work replaces it."""

    def has_work(self):
        return False

    async def finish_join(self, group):
        await asyncio.sleep(0.2 if self.last_model == self.model else self.warmup_s)
        if self.group is group:
            self.last_model = self.model
            self.staged = [self.model]
            group["state"] = "ready"
            self.ready_groups.add((group["name"], group["epoch"], group["members"]))
            self.write_entry()

    async def finish_open(self, group):
        await asyncio.sleep(0.3)
        if self.group is group:
            group["state"] = "open"
            self.write_entry()

    async def finish_close(self, group):
        while self.group is group and self.has_work():
            await asyncio.sleep(0.02)
        if self.group is group:
            group["state"] = "ready"
            self.write_entry()

    def report(self):
        said = {"stage": "hybrid", "busy": bool(self.group) and self.group["state"] == "joining",
                "sequence": self.orders, "queued": 0, "active": 0, "kv_used": 0,
                "kv_total": 1400000, "handles": 0, "pace": 1.0}
        said.update(self.said_of_itself())
        return said

    async def handle(self, connection):
        while (request := await connection.read_request()) is not None:
            method, target, headers, body = request
            if headers.get("expect-instance", self.name) != self.name:
                await connection.answer(421, b"{}", [("At-Server", self.name)])
                continue
            if target == "/report":
                await connection.answer(200, self.report())
            elif target == "/order":
                await connection.answer(self.receive_order(json.loads(body)), b"{}")
            elif not await self.serve(self, connection, method, target, headers, body):
                return


class Host:
    """An entry host process on its own loopback address."""

    PORTS = {}  # the same on all hosts

    def __init__(self, store, name, zone, address, folder, seeds, bounds=None):
        if not Host.PORTS:
            Host.PORTS.update({name: free_port() for name in ("front", "ready", "peers", "relay")})
        self.name = name
        self.address = address
        self.log_path = os.path.join(folder, name + ".log")
        self.settings_path = os.path.join(folder, name + ".yaml")
        values = {"node_name": name, "zone": zone, "ip": address,
                  "listen.front": f"{address}:{Host.PORTS['front']}",
                  "listen.ready": f"{address}:{Host.PORTS['ready']}",
                  "platform.address": f"{store.address}:{store.port}",
                  "limits.cpu_share": "0.25", "limits.memory_mb": "260", "limits.max_fds": "4100",
                  "first_start": "true", "internal_ports.0": str(Host.PORTS["peers"]),
                  "internal_ports.1": str(Host.PORTS["relay"]),
                  "seeds": ",".join(f"{seed}:1" for seed in seeds),
                  "bounds.grace_s": "8", "bounds.drain_ms": "2000",
                  "bounds.retry_budget_ratio": "0.2", "bounds.retry_burst": "134",
                  "bounds.retry_window_s": "10"}
        values.update(bounds or {})
        self.values = values
        self.process = None

    async def start(self, is_first=True):
        self.values["first_start"] = "true" if is_first else "false"
        with open(TEMPLATE, encoding="utf-8") as file:
            text = re.sub(r"\{\{(.+?)\}\}", lambda found: self.values[found[1]], file.read())
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                EDGE_PROGRAM, "--settings=" + self.settings_path, stdout=log, stderr=log)

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def wait_until_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            answer = await ask(self.address, Host.PORTS["ready"], "GET", "/readiness", {}, b"", 1)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(self, method, target, headers, body=b"", limit_s=10):
        return await ask(self.address, Host.PORTS["front"], method, target, headers, body, limit_s)


class Answer:
    """What a client has got: `is_complete` says whether the answer ended as HTTP has it."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.problem = ""


async def ask(address, port, method, target, headers, body, limit_s):
    """Sends one request on a new connection and reads its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(address, port)
            lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
            if "Host" not in headers:
                lines.append(f"Host: {address}")
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await read_answer(reader, answer)
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        answer.problem = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.is_complete = True


def run_script(main, folder, has_trouble):
    """Runs `main(record, temporary folder, has trouble)` and exits with its result."""
    async def limited():
        work = asyncio.ensure_future(main(record, temporary, has_trouble))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, work.cancel)  # `main` ends its processes
        return await asyncio.wait_for(work, 110)

    record = Record(os.path.join(folder, "record.txt"))
    result = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            result = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.note(f"not run: {type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}")
    record.note(f"exit {result}")
    record.close()
    raise SystemExit(result)

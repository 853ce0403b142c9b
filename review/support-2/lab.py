"""Stand-ins and helpers of the cases: the platform's store, runners, clients, a proxy.

Everything runs on loopback addresses. Stand-ins follow PROTOCOL.md; what a case makes them
do beyond sound behaviour is set by the case and named in its claim.
"""
import asyncio
import base64
import json
import logging
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SUPPORT = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def note(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self._file.close()


# --- HTTP ----------------------------------------------------------------------------------

class Head:
    def __init__(self, first_line, fields):
        self.first_line = first_line
        self.fields = fields

    def get(self, name, fallback=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return fallback


async def read_head(reader):
    """Returns the next head, or None at the end of the connection."""
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return Head(lines[0], fields)


async def read_chunks(reader):
    """Yields the chunks of a body until its end."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield chunk[:-2]


async def read_body(reader, head):
    if head.get("Transfer-Encoding").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.get("Content-Length", "0")))


def encode_head(first_line, fields):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


REASONS = {200: "OK", 202: "Accepted", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           503: "Service Unavailable"}


def encode_answer(status, fields, body):
    if isinstance(body, str):
        body = body.encode()
    head = encode_head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                       list(fields) + [("Content-Length", len(body))])
    return head + body


async def serve(address, port, handle):
    """Calls handle(head, body, writer) for each request until it returns False."""
    async def connected(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if await handle(head, body, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(connected, address, port, backlog=1024)


# --- The platform's store ------------------------------------------------------------------

class Store:
    def __init__(self):
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._began = time.monotonic()

    async def start(self, address):
        self._server = await serve(address, 0, self._handle)
        self.address = address
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """A write of the operator or a runner; None removes the row."""
        self._version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self._rows[(table, "", key)] = (text, self._version)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key):
        text, version = self._rows[key]
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        row.update({"tombstone": True} if text is None else {"value": text})
        return row

    def _answer(self, **more):
        return json.dumps({"ver": self._version,
                           "now_ms": int(1000 * (time.monotonic() - self._began)), **more})

    def _transact(self, text):
        body = json.loads(text)
        name = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        writes = body.get("set_keys", []) + body.get("remove", [])
        if any(entry["table"] in ("op", "servers") for entry in writes):
            return 403, "{}"
        conflicts = []
        for entry in body.get("expected_rev", []):
            text, version = self._rows.get(name(entry), (None, 0))
            if (0 if text is None else version) != entry["ver"]:
                conflicts.append(name(entry))
        if conflicts:
            return 412, self._answer(rows=[self._row(key) for key in conflicts
                                           if key in self._rows])
        self._version += 1
        for entry in body.get("set_keys", []):
            self._rows[name(entry)] = (entry["value"], self._version)
        for entry in body.get("remove", []):
            self._rows[name(entry)] = (None, self._version)
        self._wake()
        return 200, self._answer()

    async def _handle(self, head, body, writer):
        target = head.first_line.split(" ")[1]
        path, _, query = target.partition("?")
        values = {}
        for pair in query.split("&"):
            key, _, value = pair.partition("=")
            values[key] = urllib.parse.unquote(value)
        table, part = values.get("table", ""), values.get("part", "")
        status, text = 404, "{}"
        if path == "/rows-tx":
            status, text = self._transact(body)
        elif path == "/rows-get":
            keys = sorted(key for key, (value, _) in self._rows.items()
                          if key[:2] == (table, part) and value is not None
                          and key[2] >= values.get("from", ""))
            limit = min(500, int(values.get("limit", "500")))
            status, text = 200, self._answer(rows=[self._row(key) for key in keys[:limit]],
                                             has_more=len(keys) > limit)
        elif path == "/rows-feed":
            after = int(values["after_rev"])
            until = time.monotonic() + int(values["wait_ms"]) / 1000
            while True:
                rows = [self._row(key) for key, (_, version) in
                        sorted(self._rows.items(), key=lambda item: item[1][1])
                        if key[0] == table and version > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            status, text = 200, self._answer(rows=rows)
        writer.write(encode_answer(status, [("Content-Type", "application/json")], text))
        await writer.drain()


# --- A proxy -------------------------------------------------------------------------------

class Proxy:
    """Forwards connections. While it is cut, it holds all bytes in both directions."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    async def start(self, address, to):
        self._to = to
        self._server = await asyncio.start_server(self._connected, address, 0, backlog=1024)
        self.address, self.port = address, self._server.sockets[0].getsockname()[1]

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def _connected(self, reader, writer):
        try:
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(*self._to)
            await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


# --- Entry hosts ---------------------------------------------------------------------------

def free_addresses(count):
    """Returns loopback addresses on which the ports of entry hosts are free."""
    found = []
    while len(found) < count:
        address = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        try:
            for port in HOST_PORTS:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
        except OSError:
            continue
        found.append(address)
    return found


FRONT, READY, CONTROL, INTERNAL, METRICS = 8227, 8220, 8229, 7340, 9464
HOST_PORTS = (FRONT, READY, CONTROL, INTERNAL, METRICS)


class EntryHost:
    """An entry host, started with the command and the template of the deploy file."""

    def __init__(self, name, zone, address, store, seeds, folder, max_fds=4100,
                 first_start=False):
        self.name, self.address = name, address
        self._folder, self._max_fds = folder, max_fds
        values = {"node_name": name, "zone": zone, "listen.front": f"{address}:{FRONT}",
                  "listen.ready": f"{address}:{READY}", "ip": address,
                  "platform.address": f"{store[0]}:{store[1]}", "limits.cpu_share": "0.25",
                  "first_start": str(first_start).lower(), "internal_ports.0": str(INTERNAL),
                  "seeds": ",".join(f"{seed}:{CONTROL}" for seed in seeds),
                  "bounds.grace_s": "8", "bounds.drain_ms": "2000",
                  "bounds.retry_budget_ratio": "0.2", "bounds.retry_burst": "134",
                  "bounds.retry_window_s": "10", "limits.memory_mb": "260",
                  "limits.max_fds": str(max_fds)}
        with open(os.path.join(REPOSITORY, "deploy", "settings.yaml.template"),
                  encoding="utf-8") as template:
            text = template.read()
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        if "{{" in text:
            raise CannotRun("the template has a placeholder that the case does not know")
        self._settings = os.path.join(folder, f"{name}.yaml")
        with open(self._settings, "w", encoding="utf-8") as settings:
            settings.write(text)
        self.process = None

    def start(self):
        program = os.path.join(REPOSITORY, "target", "savoryrelay_edge")
        if not os.path.exists(program):
            raise CannotRun("the build of the deploy file is missing")
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        if most != resource.RLIM_INFINITY and most < self._max_fds:
            raise CannotRun("this machine allows fewer descriptors than the site's machines have")

        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (self._max_fds, self._max_fds))
        self.log_path = os.path.join(self._folder, f"{self.name}.log")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [program, f"--settings={self._settings}"], cwd=REPOSITORY, stdout=log, stderr=log,
                preexec_fn=limit, env={"PATH": os.environ["PATH"], "SAVORYRELAY_BOOT":
                                       self._settings})

    async def wait_until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                status, _ = await exchange((self.address, READY), "GET", "/readiness", [])
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def log_lines(self, event):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return [line for line in log if f"event={event} " in line or
                    line.rstrip().endswith(f"event={event}")]


async def exchange(address, method, target, fields, body=b""):
    """Sends one request on a new connection. Returns its status and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = list(fields) + [("Content-Length", len(body))]
        if not any(name == "Host" for name, _ in fields):
            fields.insert(0, ("Host", "case.example"))
        writer.write(encode_head(f"{method} {target} HTTP/1.1", fields) + body)
        head = await read_head(reader)
        return int(head.first_line.split(" ")[1]), await read_body(reader, head)
    finally:
        writer.close()


class Children:
    """The processes that a case has started. Ends them, and no others."""

    def __init__(self):
        self._all = []

    def add(self, process):
        self._all.append(process)
        return process

    def end(self):
        for process in self._all:
            if process.poll() is None:
                process.kill()
        for process in self._all:
            process.wait()


def run_case(play, folder):
    """Runs `play(record, temporary folder, children)` and exits with its verdict."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(folder)
    children = Children()
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable = 8192 if most == resource.RLIM_INFINITY else min(8192, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (usable, most))

    def stop(*_):
        raise CannotRun("the case was stopped or took too long")
    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(115)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(play(record, temporary, children))
        except CannotRun as reason:
            record.note(f"could not run: {reason}")
            print(f"could not run: {reason}")
            verdict = NOT_RUN
        except Exception as error:  # a fault of the case says nothing about the rule
            record.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            verdict = NOT_RUN
        finally:
            signal.alarm(0)
            children.end()
    record.note(f"verdict {verdict}")
    record.close()
    sys.exit(verdict)

"""A small deployment of model runners in groups, on top of `standins`."""

import asyncio
import collections

import standins

STALL_S = 6.0
SIZES = {"m0": 4, "m1": 2}


def configuration(version, routes, services, limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 10000, "idle_timeout_ms": 30000, **(limits or {})},
            "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"]}]}


def model_service(name="vane-model"):
    """The service of the model runners, with the figures of a small deployment's sheet."""
    return {"name": name, "health_path": "/health", "max_connections": 474, "cold_start_s": 0,
            "cold_per_s": 38,
            "engine": {"slots": 26, "step_ms": 6.07, "per_seq_ms": 0.241,
                       "context_per_k": 0.00488, "read_per_s": 46000, "pairs_per_m": 0.7,
                       "chunk": 2048, "stride": 5, "loads_at_once": 6, "loads_per_s": 4,
                       "form_ms": 300, "report_lag_ms": 200,
                       "usual": {"prompt": 1420, "answer": 134},
                       "models": [{"name": "m0", "size": SIZES["m0"], "pace": 1.0, "load_s": 16,
                                   "warmup_s": 1.6, "share": 0.67},
                                  {"name": "m1", "size": SIZES["m1"], "pace": 0.6, "load_s": 12,
                                   "warmup_s": 1.1, "share": 0.33}]}}


def stream_route(path="/lohu930/", max_attempts=2, target_ms=300, gap_ms=200, timeout_ms=8000):
    return {"name": "plan", "host": "ficu95.example", "path_prefix": path, "kind": "streaming",
            "service": "vane-model", "timeout_ms": timeout_ms, "latency_target_ms": target_ms,
            "gap_target_ms": gap_ms, "max_attempts": max_attempts, "priority": 1,
            "session_affinity": True, "stream_resume": True}


def stream_headers(request_id, model="m0", prefix="5c1e07a2:40,91bd3f06:1380", deadline_ms=8000):
    return {"Host": "ficu95.example", "Attempt-Id": request_id, "Model": model,
            "Token-Counts": "1420,200", "Prompt-Prefix": prefix,
            "Deadline-Ms": str(deadline_ms), "Key": "n2ctnfzs989anu6wsjnb"}


class ModelRunner(standins.Runner):
    """A runner that, as the head of an open group, streams `events` events for each request.

    While a member of its group is not alive or has left, nothing moves. After STALL_S the group
    is broken. Work that ends early is reset; work that has not begun is answered 503.
    """

    FIRST_S = 0.12
    GAP_S = 0.06
    EVENTS = 30
    IS_FRAMED = True

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.fleet = {}  # of all runners, by id
        self.work = {}  # connection -> whether the work has begun

    def lost_member(self):
        """Returns the id of a member on which the work waits, or None."""
        for member in self.group["members"] if self.group else ():
            other = self.fleet[member]
            if not other.is_alive or not other.group or other.group["name"] != self.group["name"]:
                return member
        return None

    def has_work(self):
        return bool(self.work)

    def abort_work(self):
        for connection, has_begun in list(self.work.items()):
            if has_begun:
                connection.reset()
        self.aborted.set()
        self.aborted = asyncio.Event()

    async def start(self):
        self.aborted = asyncio.Event()
        await super().start()
        self.spawn(self.watch_members())

    async def come_back(self):
        fleet = self.fleet
        await super().come_back()
        self.fleet = fleet

    async def watch_members(self):
        stalled_s = 0.0
        while self.is_alive:
            await asyncio.sleep(0.05)
            is_stalled = (bool(self.group) and self.group["rank"] == 0 and
                          self.group["state"] in ("open", "closing") and self.lost_member())
            stalled_s = stalled_s + 0.05 if is_stalled else 0.0
            if stalled_s >= STALL_S:
                self.group["state"] = "broken"
                self.abort_work()
                self.write_entry()

    async def refuse(self, connection, headers, status):
        fields = [("Attempt-Id", headers.get("attempt-id", "")), ("Not-Executed", "1")]
        member = self.lost_member()
        if member:
            fields.append(("At-Server", member))
        self.record.note(f"runner {self.name} refuses {headers.get('attempt-id')} with {status}")
        await connection.answer(status, b"{}", fields)
        return True

    async def advance(self, seconds, aborted):
        """Waits until work of `seconds` is done. Returns False if it was ended before."""
        while True:
            try:
                await asyncio.wait_for(aborted.wait(), seconds)
                return False
            except asyncio.TimeoutError:
                pass
            if not self.lost_member():
                return True
            seconds = 0.02

    async def serve_stream(self, connection, headers):
        if not self.is_open_head():
            return await self.refuse(connection, headers, 421)
        request_id = headers["attempt-id"]
        aborted = self.aborted
        self.work[connection] = False
        try:
            if not await self.advance(self.FIRST_S, aborted):
                return await self.refuse(connection, headers, 503)
            first = int(headers.get("last-event-id", "-1")) + 1
            self.work[connection] = True
            self.record.note(f"runner {self.name} runs {request_id} from event {first}")
            fields = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                      f"Attempt-Id: {request_id}", f"Server-Seal: {self.name}.{request_id}"]
            fields.append("Transfer-Encoding: chunked" if self.IS_FRAMED else "Connection: close")
            await connection.send("\r\n".join(fields).encode() + b"\r\n\r\n")
            for event in range(first, self.EVENTS):
                if event > first and not await self.advance(self.GAP_S, aborted):
                    self.record.note(f"runner {self.name} cuts {request_id} off at event {event}")
                    connection.reset()
                    return False
                if not await self.send_event(connection, request_id, event):
                    return False
            self.record.note(f"runner {self.name} ends {request_id}")
            if self.IS_FRAMED:
                await connection.send(b"0\r\n\r\n")
                return True
            connection.close()
            return False
        finally:
            self.work.pop(connection, None)

    async def send_event(self, connection, request_id, event):
        text = f"id: {event}\ndata: {request_id} {event} of {self.EVENTS}\n\n".encode()
        await connection.send(f"{len(text):x}\r\n".encode() + text + b"\r\n"
                              if self.IS_FRAMED else text)
        return True


async def serve(runner, connection, method, target, headers, body):
    if target == "/health":
        await connection.answer(200, b"", [("Instance-Id", runner.name)])
        return True
    return await runner.serve_stream(connection, headers)


def event_ids(body):
    return [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]


class Deployment:
    """A store, `domains` x 8 model runners in three zones, and entry hosts."""

    def __init__(self, record, folder, hosts=3, domains=3, runner_type=ModelRunner, bounds=None):
        self.record = record
        self.store = standins.Store()
        self.runners = {}
        self.zones = ["pos-a", "pos-b", "pos-c"]
        for index in range(8 * domains):
            domain = index // 8
            runner = runner_type(self.store, record, f"i-{index:04x}", "vane-model",
                                 self.zones[domain % 3], serve, domain=f"d{domain}")
            runner.fleet = self.runners
            self.runners[runner.name] = runner
        self.hosts = []
        addresses = standins.free_addresses(hosts)
        for index, address in enumerate(addresses):
            self.hosts.append(standins.Host(self.store, f"edge-{index}", self.zones[index % 3],
                                            address, folder, addresses[:3], bounds))

    async def start(self, routes, services):
        await self.store.start()
        for runner in self.runners.values():
            await runner.start()
        self.store.put("op", "config", configuration(7, routes, services))
        await asyncio.gather(*(host.start() for host in self.hosts))
        for host in self.hosts:
            if not await host.wait_until_ready():
                raise RuntimeError(f"{host.name} is not ready")

    def groups(self):
        """Returns the heads of the open groups, by model."""
        heads = collections.defaultdict(list)
        for runner in self.runners.values():
            if runner.is_alive and runner.is_open_head():
                heads[runner.model].append(runner)
        return heads

    async def wait_for_groups(self, wanted, limit_s=30):
        """Waits until the open groups number `wanted`, by model."""
        for _ in range(int(limit_s * 10)):
            heads = self.groups()
            if all(len(heads[model]) >= count for model, count in wanted.items()):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"open groups: { {m: len(h) for m, h in self.groups().items()} }")

    async def stop(self):
        for host in self.hosts:
            host.kill()
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        for runner in self.runners.values():
            runner.die()
        self.store.server.stop()

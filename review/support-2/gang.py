"""Model runners that work in groups, as PROTOCOL.md describes them.

A `Machine` keeps what lasts (address, staged weights); a `Life` is one start of its runner. All
machines of a `Fabric` know each other, which stands for the connections inside a group.
"""
import asyncio
import json
import time

import lab

LOAD_S, WARM_UP_S, REJOIN_S, FORM_S, STALL_S, HEARTBEAT_S = 12.0, 1.1, 0.2, 0.3, 6.0, 1.2
EVENTS, EVENT_S = 12, 0.04


class Life:
    def __init__(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.group = None          # name, epoch, rank, state, members
        self.model = ""            # of the last group
        self.highest_epoch = 0
        self.is_busy = False
        self.incomplete_since = None


class Fabric:
    def __init__(self):
        self.machines = {}

    def head_of(self, life):
        """Returns the life of the head of the group that `life` is in, if it is in that group."""
        head = self.machines[life.group["members"][0]].life
        if head is None or head.group is None or head.group["name"] != life.group["name"]:
            return None
        return head

    def is_complete(self, life):
        group = life.group
        for identity in group["members"]:
            other = self.machines[identity].life
            if other is None or other.group is None or \
                    (other.group["name"], other.group["epoch"]) != (group["name"], group["epoch"]):
                return False
        return True


class Machine:
    def __init__(self, fabric, identity, zone, domain, store, record):
        self.identity, self.zone, self.domain = identity, zone, domain
        self._fabric, self._store, self._record = fabric, store, record
        fabric.machines[identity] = self
        self.staged = []
        self.life = None
        self.writes = 0
        self.take_order = None     # hook of the case: may withhold an order from the runner
        self.on_join = None        # hook of the case: called before a join is applied
        self._writers = set()
        self._beats = None

    async def bind(self, address):
        self.address = address
        self._server = await lab.serve(address, 0, self._handle)
        self.port = self._server.sockets[0].getsockname()[1]

    async def start(self):
        if self._server is None:
            self._server = await lab.serve(self.address, self.port, self._handle)
        self.life = Life()
        self._record.note(f"{self.identity} starts, born {self.life.born}")
        self._beats = asyncio.create_task(self._beat(self.life))

    def crash(self):
        """The process ends: its connections are reset, its address refuses others."""
        self._record.note(f"{self.identity} crashes")
        self.life = None
        self._beats.cancel()
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self, life):
        while self.life is life:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _state(self):
        life = self.life
        group = {key: life.group[key] for key in ("name", "epoch", "rank", "state")} \
            if life.group else None
        models = [{"name": life.model, "version": 1, "adapters": []}] if life.model else []
        return {"born": life.born, "models": models, "domain": self.domain,
                "staged": [{"name": name, "version": 1, "adapters": []} for name in self.staged],
                "group": group}

    def write_entry(self):
        self.writes += 1
        self._store.put("servers", self.identity, {
            "service": "model", "address": f"{self.address}:{self.port}", "zone": self.zone,
            "version": 1, "slots": 26, "state": "ready", "cold_remaining_ms": 0,
            "sequence": self.writes, **self._state()})

    def _later(self, life, delay, action):
        """Runs `action` after `delay` unless the life has ended."""
        def act():
            if self.life is life:
                action()
                self.write_entry()
        asyncio.get_running_loop().call_later(delay, act)

    def apply(self, order):
        """Carries out an order that has reached the runner. Returns its status."""
        life = self.life
        if order.get("expected_rev", life.sequence) != life.sequence:
            return 409
        operation = order["operation"]
        if operation == "stage":
            return self._stage(life, order["model"])
        group = life.group
        is_member = group is not None and \
            (group["name"], group["epoch"]) == (order["group"], order["epoch"])
        if operation == "join":
            return self._join(life, order, is_member)
        if not is_member:
            return 409
        if operation == "leave":
            life.sequence += 1
            life.group = None
            self.write_entry()
            return 200
        if operation == "open":
            if group["rank"] != 0 or group["state"] != "ready":
                return 200 if group["state"] == "open" else 409
            life.sequence += 1
            self._later(life, FORM_S, lambda: self._set_state(life, group, "open"))
            return 202
        if operation == "close":
            if group["state"] != "open":
                return 200 if group["state"] == "ready" else 409
            life.sequence += 1
            self._set_state(life, group, "ready")
            self.write_entry()
            return 202
        return 400

    def _set_state(self, life, group, state):
        if life.group is group:
            group["state"] = state
            self._record.note(f"{self.identity} is {state} in {group['name']}, "
                              f"sequence {life.sequence}")

    def _stage(self, life, model):
        if model in self.staged:
            return 200
        life.sequence += 1
        life.is_busy = True

        def staged():
            self.staged = [model]
            life.is_busy = False
        self._later(life, LOAD_S, staged)
        return 202

    def _join(self, life, order, is_member):
        if order["epoch"] < life.highest_epoch:
            return 412
        if is_member:
            return 200 if life.group["members"] == order["members"] else 412
        if self.on_join is not None:
            self.on_join(self, life, order)
        model = order["model"]
        wait = REJOIN_S if life.model == model else \
            WARM_UP_S if model in self.staged else LOAD_S
        life.sequence += 1
        life.highest_epoch = order["epoch"]
        group = {"name": order["group"], "epoch": order["epoch"], "state": "joining",
                 "rank": order["members"].index(self.identity), "members": order["members"]}
        life.group = group
        life.model = model
        self._record.note(f"{self.identity} joins {group['name']} of {group['members']}, "
                          f"sequence {life.sequence}")

        def joined():
            if model not in self.staged:
                self.staged = [model]
            self._set_state(life, group, "ready")
        self._later(life, wait, joined)
        self.write_entry()
        return 202

    async def _handle(self, head, body, writer):
        self._writers.add(writer)
        life = self.life
        if life is None:
            return False
        method, target = head.first_line.split(" ")[:2]
        if head.get("Expect-Instance") not in ("", self.identity):
            writer.write(lab.encode_answer(421, [("Instance-Id", self.identity)], b""))
            return True
        if target == "/report":
            text = json.dumps({"stage": "hybrid", "busy": life.is_busy, "sequence": life.sequence,
                               "queued": 0, "active": 0, "kv_used": 0, "kv_total": 1400000,
                               "handles": 0, "pace": 1.0, **self._state()})
            writer.write(lab.encode_answer(200, [("Content-Type", "application/json")], text))
            return True
        if target == "/order" and method == "POST":
            order = json.loads(body)
            if self.take_order is not None and not self.take_order(self, order):
                await asyncio.sleep(30)    # no answer
                return False
            status = self.apply(order)
            self._record.note(f"{self.identity} answers {status} to {body.decode()}")
            writer.write(lab.encode_answer(status, [], b""))
            return True
        return await self._stream(life, head, writer)

    async def _stream(self, life, head, writer):
        attempt = head.get("Attempt-Id")
        fields = [("Attempt-Id", attempt)]
        group = life.group
        if group is None or group["rank"] != 0 or group["state"] != "open":
            writer.write(lab.encode_answer(421, fields + [("Instance-Id", self.identity)], b""))
            return True
        writer.write(lab.encode_head("HTTP/1.1 200 OK", fields + [
            ("Server-Seal", f"{self.identity}.{attempt}"), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"), ("Weight-Versions", "1")]))
        last = head.get("Last-Event-Id")
        for number in range(int(last) + 1 if last else 0, EVENTS):
            await asyncio.sleep(EVENT_S)
            if not self._fabric.is_complete(life):
                await asyncio.sleep(STALL_S)   # the work stalls, then it is cut off
                return False
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

"""Runners of plain services, and the configuration that names them."""
import asyncio
import time

from lab import encode_answer, serve


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 10000, "idle_timeout_ms": 30000}}


def route(name, kind, service, **more):
    values = {"name": name, "host": "case.example", "path_prefix": f"/{name}/", "kind": kind,
              "service": service, "timeout_ms": 3000, "latency_target_ms": 200,
              "max_attempts": 1, "priority": 1}
    values.update(more)
    return values


class PlainRunner:
    """A runner of a plain service. `arrivals` holds (time, id) of the requests that it ran."""

    def __init__(self, identity, service, zone, work_ms=30, slots=6):
        self.identity, self.service, self.zone = identity, service, zone
        self.work_ms, self.slots = work_ms, slots
        self.arrivals = []
        self.born = int(time.time() * 1000)
        self._writers = set()
        self.is_open = False

    async def start(self, address):
        self._server = await serve(address, 0, self._handle)
        self.address, self.port = address, self._server.sockets[0].getsockname()[1]
        self.is_open = True

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": 1, "slots": self.slots, "state": state,
                "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    def exit(self):
        self.is_open = False
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _handle(self, head, body, writer):
        self._writers.add(writer)
        expected = head.get("Expect-Instance")
        if expected not in ("", self.identity):
            writer.write(encode_answer(421, [("Instance-Id", self.identity)], b""))
            return True
        attempt = head.get("Attempt-Id")
        self.arrivals.append((time.monotonic(), attempt))
        await asyncio.sleep(self.work_ms / 1000)
        if not self.is_open:
            return False
        writer.write(encode_answer(200, [("Attempt-Id", attempt), ("Keep-Alive", "timeout=10"),
                                         ("Server-Seal", f"{self.identity}.{attempt}")],
                                   f"{attempt} done"))
        await writer.drain()
        return True

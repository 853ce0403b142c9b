"""A runner in trouble sends bytes that are no answer, without end, in the body of a stream."""
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
from world import *

TIMEOUT_S = 1.5        # timeout_ms of the route
SLACK_S = 0.5          # "0.5 s after it"
CLIENT_GAP_S = 2.4     # clients abandon a stream without an event after eight times the pause
REQUESTS = 12
# Text in paragraphs, as of a log file that is sent by mistake.
BLOCK = (b"2026-12-05 worker state dump\n" + b"0123456789abcdef " * 12 + b"\n\n") * 1000


class TroubledRunner(ModelRunner):
    in_trouble = False

    async def stream(self, request, writer, first):
        if not TroubledRunner.in_trouble:
            await super().stream(request, writer, first)
            return
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for key, value in self.head(request):
            head += f"{key}: {value}\r\n"
        writer.write(head.encode() + b"\r\n")
        await writer.drain()
        sock = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        sock.setblocking(True)
        ended = asyncio.Event()
        loop = asyncio.get_running_loop()

        def send_until_closed():
            try:
                while True:
                    sock.sendall(BLOCK)
            except OSError:
                pass
            sock.close()
            loop.call_soon_threadsafe(ended.set)
        threading.Thread(target=send_until_closed, daemon=True).start()
        await ended.wait()
        self.world.record(f"closed by the relay {request.headers.get('Attempt-Id')}")
        raise ConnectionError


async def scenario(world):
    for i in range(4):
        await world.add_runner(TroubledRunner, f"m{i}", "model", slots=26, domain="d0").start()
    await world.configure(routes(ask_timeout_ms=int(TIMEOUT_S * 1000)), SERVICES)
    for zone in ("zone-a", "zone-b"):
        await world.add_relay(zone).start()
    for relay in world.relays:
        if not await relay.ready():
            return None
    end = time.monotonic() + 20
    while True:
        if time.monotonic() > end:
            return None
        answers = [await world.call(relay, "POST", "/ask/1", MODEL_HEADERS, b"warm up")
                   for relay in world.relays]
        if all(a.complete and a.status == 200 for a in answers):
            break
        await asyncio.sleep(0.2)
    await asyncio.sleep(4)

    TroubledRunner.in_trouble = TROUBLE
    late = lasted = served = 0
    for number in range(REQUESTS):
        answer = await world.call(world.relays[number % 2], "POST", "/ask/1", MODEL_HEADERS,
                                  b"prompt", limit=CLIENT_GAP_S, deadline_ms=6000,
                                  on_bytes=lambda data: None)
        took = answer.ended_at - answer.sent_at
        lasted += took > TIMEOUT_S
        late += took > TIMEOUT_S + SLACK_S
        served += answer.complete and answer.status == 200
    print(f"requests that lasted longer than timeout_ms: {lasted}; of them without a final answer "
          f"0.5 s later: {late} (fewer than 8, or a quarter of them, allowed); served: {served}")
    world.record(f"lasted={lasted} late={late} served={served}")
    if not TROUBLE and served < REQUESTS:
        return None
    return 1 if late >= 8 and late > lasted / 4 else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)

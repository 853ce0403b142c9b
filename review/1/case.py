"""One of three runners of the orders service, in good health, fails a part of the bookings that it
has run. It answers 503 without Not-Executed."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
from world import *

FAIL_SHARE = 0.45
ORDERS = 90


class FailingRunner(Runner):
    is_faulty = False

    async def serve(self, request, reader, writer):
        self.run(request)
        self.world.booked.append((request.body.decode(), request.headers.get("Attempt-Id")))
        await asyncio.sleep(0.03)
        if self.is_faulty and random.random() < FAIL_SHARE:
            self.world.record(f"fails {self.rid} {request.headers.get('Attempt-Id')} 503")
            writer.write(response(503, self.head(request), b"the booking was made, its receipt failed"))
            return
        writer.write(response(200, self.head(request), b"booked"))


async def order(world, number, refused):
    """A client books once. After a 503, which promises that the attempt has not run and never
    will, it tries once more, as the pages say, at another node."""
    body = b"order %d" % number
    for attempt in range(2):
        relay = world.relays[(number + attempt) % len(world.relays)]
        answer = await world.call(relay, "POST", f"/book/{number}", body=body, deadline_ms=2000)
        if answer.status not in (408, 421, 429, 503):
            return
        refused.append(answer.attempt)
        pause = float(answer.headers.get("Retry-After") or 0.05)
        await asyncio.sleep(min(pause, 0.6))


async def scenario(world):
    random.seed(1)
    world.booked = []
    for i in range(3):
        await world.add_runner(FailingRunner, f"p{i}", "orders").start()
    await world.configure(routes(), SERVICES)
    for zone in ("zone-a", "zone-b", "zone-c"):
        await world.add_relay(zone).start()
    for relay in world.relays:
        if not await relay.ready():
            return None
    await asyncio.sleep(3.5)
    world.runners[0].is_faulty = TROUBLE
    refused, tasks = [], []
    for number in range(ORDERS):
        tasks.append(asyncio.create_task(order(world, number, refused)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    ran = {attempt for _, attempt in world.booked}
    broken = [attempt for attempt in refused if attempt in ran]
    bodies = [body for body, _ in world.booked]
    twice = sorted({body for body in bodies if bodies.count(body) > 1})
    for attempt in broken:
        world.record(f"answered as not run, but has run: {attempt}")
    world.record(f"orders booked twice: {twice}")
    print(f"orders: {ORDERS}; attempts answered 503 that had run: {len(broken)} (0 allowed); "
          f"orders that were booked twice: {len(twice)}")
    if not TROUBLE and len(set(bodies)) < ORDERS:
        return None
    return 1 if broken else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)

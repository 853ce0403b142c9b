"""One of three runners of the orders service hands out wrong bytes in one of twenty answers: one
byte of the head is wrong, in the name of the field Server-Seal."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
from world import *

EVERY = 20           # spoils one answer of so many: x = 0.05
REQUESTS = 450


class SpoilingRunner(Runner):
    is_faulty = False
    answers = 0

    async def serve(self, request, reader, writer):
        self.run(request)
        await asyncio.sleep(0.03)
        answer = response(200, self.head(request), b"booked by " + self.rid.encode())
        if self.is_faulty:
            self.answers += 1
            if self.answers % EVERY == 0:
                self.world.record(f"spoils {self.rid} {request.headers.get('Attempt-Id')}")
                self.world.spoiled += 1
                answer = answer.replace(b"Server-Seal:", b"Server-Se\x61\x6d:", 1)
        writer.write(answer)


async def scenario(world):
    world.spoiled = 0
    for i in range(3):
        await world.add_runner(SpoilingRunner, f"p{i}", "orders").start()
    await world.configure(routes(), SERVICES)
    for zone in ("zone-a", "zone-b", "zone-c"):
        await world.add_relay(zone).start()
    for relay in world.relays:
        if not await relay.ready():
            return None
    await asyncio.sleep(3.5)
    world.runners[0].is_faulty = TROUBLE
    tasks = []
    for number in range(REQUESTS):
        method, path = ("GET", "/look/") if number % 2 else ("POST", "/book/")
        tasks.append(asyncio.create_task(world.call(world.relays[number % 3], method,
                                                    f"{path}{number}", deadline_ms=2000)))
        await asyncio.sleep(0.04)
    answers = await asyncio.gather(*tasks)
    served = [a for a in answers if a.complete and 200 <= a.status < 300]
    broken = [a for a in served if not a.headers.get("Server-Seal")]
    for answer in broken:
        world.record(f"success without a receipt: {answer.attempt}")
    print(f"requests: {REQUESTS}, answered with 2xx: {len(served)}; answers spoiled by the runner: "
          f"{world.spoiled}; successes without Server-Seal that reached a client: {len(broken)} "
          f"(0 allowed)")
    if not TROUBLE and len(served) < REQUESTS:
        return None
    return 1 if broken else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)

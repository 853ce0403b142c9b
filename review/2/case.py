"""A part of a prompt crashes each runner that begins to write an answer on it: the runner has
sent the head and the first event when its process ends."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
from world import *

CONTACT_S = 3.0
BACK_AFTER_S = 3.0   # "the runner is back after some seconds"
SENDING_S = 40.0
SEND_EVERY_S = 0.15
CRASHING_PART = "dead01"
crashes = []


class CrashingRunner(ModelRunner):
    async def stream(self, request, writer, first):
        parts = request.headers.get("Prompt-Prefix").split(",")[:-1]
        if CRASHING_PART not in [part.split(":")[0] for part in parts]:
            await super().stream(request, writer, first)
            return
        self.begin(request, writer)
        self.event(writer, first)
        await writer.drain()
        await asyncio.sleep(0.005)
        if self.alive:
            crashes.append(self.world.record.now())
            self.world.record(f"crash {self.rid}")
            self.die()
            asyncio.get_running_loop().create_task(self.come_back())
        raise ConnectionError

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.start()


async def scenario(world):
    for i in range(16):
        await world.add_runner(CrashingRunner, f"m{i:02d}", "model", slots=26,
                               domain=f"d{i // 8}").start()
    await world.configure(routes(), SERVICES)
    for zone in ("zone-a", "zone-b", "zone-c"):
        await world.add_relay(zone).start()
    for relay in world.relays:
        if not await relay.ready():
            return None
    end = time.monotonic() + 20
    served = set()
    while len(served) < len(world.relays):
        if time.monotonic() > end:
            return None
        for relay in world.relays:
            answer = await world.call(relay, "POST", "/ask/1", MODEL_HEADERS, b"warm up")
            if answer.complete and answer.status == 200:
                served.add(relay.name)
        await asyncio.sleep(0.2)
    await asyncio.sleep(3)

    crashing, tasks = set(), []
    start = world.record.now()
    number = 0
    while world.record.now() - start < SENDING_S:
        number += 1
        is_crashing = number % 5 == 0 and TROUBLE
        attempt = f"{'crash' if is_crashing else 'sound'}{number}"
        if is_crashing:
            crashing.add(attempt)
        part = CRASHING_PART if is_crashing else "50017d"
        headers = MODEL_HEADERS + [("Prompt-Prefix", f"c0ffee:40,{part}:40,{number:x}:20")]
        tasks.append(asyncio.create_task(
            world.call(world.relays[number % 3], "POST", "/ask/1", headers,
                       b"prompt %d" % number, attempt=attempt)))
        await asyncio.sleep(SEND_EVERY_S)
    answers = await asyncio.gather(*tasks)

    sound = [a for a in answers if a.attempt.startswith("sound")]
    served = sum(a.complete and a.status == 200 for a in sound)
    late = []
    if len(crashes) >= 5:
        limit = crashes[4] + CONTACT_S
        late = [(at, attempt) for runner in world.runners for at, attempt in runner.runs
                if attempt in crashing and at > limit]
    world.record(f"crashes={len(crashes)} late_arrivals={len(late)} sound_served={served}/{len(sound)}")
    print(f"crashes of runners: {len(crashes)}; requests with the crashing part that reached runners "
          f"later than contact_ms after the fifth: {len(late)} (3 allowed); "
          f"sound requests served: {served} of {len(sound)}")
    if not TROUBLE and served < 0.95 * len(sound):
        return None
    return 1 if len(late) > 3 else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)

"""Runners of a service are replaced in turn while one entry host regains the store."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
import lab
import runners

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ("pos-a", "pos-b", "pos-c")
DRAIN_S = 2.0
CUT_S = 5.5            # the site's longest core_cut
LINGER_S = 0.15        # "and a little longer"
REPLACEMENTS = 3       # of 6 runners: half of the service
GAP_S = 0.35           # between replacements
ROUNDS = 3
ROUND_S = 16.0
CONTACT_S = 3.0
CLIENTS = 8
WORK_MS = 100


async def play(record, folder, children):
    store = lab.Store()
    addresses = lab.free_addresses(5)
    await store.start(addresses[3])
    cut_path = lab.Proxy()
    await cut_path.start(addresses[4], (store.address, store.port))
    store.put("op", "config", runners.configuration(
        1, [runners.route("order", "non_idempotent", "orders")], [{"name": "orders"}]))

    service = []
    everyone = []

    async def add_runner():
        runner = runners.PlainRunner(f"i-{len(everyone):03d}", "orders", ZONES[len(everyone) % 3],
                                     WORK_MS)
        await runner.start(addresses[3])
        store.put("servers", runner.identity, runner.entry())
        service.append(runner)
        everyone.append(runner)

    for _ in range(6):
        await add_runner()
    hosts = []
    for i in range(3):
        path = cut_path if i == 2 else store
        host = lab.EntryHost(f"edge-{i}", ZONES[i], addresses[i], (path.address, path.port),
                             addresses[:3], folder)
        host.start()
        children.add(host.process)
        hosts.append(host)
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(4)

    sent = {}      # id -> (time, host)
    answers = {}   # id -> status
    is_over = False

    async def client(number):
        host = hosts[number % 2]   # hosts that are in touch all the time
        reader = writer = None
        count = 0
        while not is_over:
            attempt = f"c{number}-{count}"
            count += 1
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(host.address, lab.FRONT)
                sent[attempt] = (time.monotonic(), host.name)
                writer.write(lab.encode_head("POST /order/1 HTTP/1.1", [
                    ("Host", "case.example"), ("Attempt-Id", attempt), ("Deadline-Ms", 1000),
                    ("Content-Length", 4)]) + b"leaf")
                head = await lab.read_head(reader)
                await lab.read_body(reader, head)
                answers[attempt] = int(head.first_line.split(" ")[1])
            except (OSError, asyncio.IncompleteReadError):
                answers[attempt] = 0
                writer = None
            await asyncio.sleep(0.03)
        if writer is not None:
            writer.close()

    clients = [asyncio.create_task(client(i)) for i in range(CLIENTS)]
    left = {}  # runner -> time of the acknowledgement that it is gone

    async def leave(runner):
        store.put("servers", runner.identity, None)
        left[runner] = time.monotonic()
        record.note(f"the store acknowledges that {runner.identity} is gone")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        runner.exit()

    leaving = []
    for number in range(ROUNDS):
        began = time.monotonic()
        if lab.TROUBLE:
            record.note("edge-2 is cut off from the store")
            cut_path.cut()
        await asyncio.sleep(CUT_S - GAP_S)
        release = REPLACEMENTS
        healed = False
        for i in range(release):
            if i == 1 and lab.TROUBLE:
                record.note("edge-2 reaches the store again")
                cut_path.heal()
            await add_runner()
            leaving.append(asyncio.create_task(leave(service.pop(0))))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(began + ROUND_S - time.monotonic())
    is_over = True
    await asyncio.gather(*clients, *leaving)

    late = []
    for runner, at in left.items():
        for arrived, attempt in runner.arrivals:
            sent_at, host = sent[attempt]
            if arrived > at + DRAIN_S:
                late.append(attempt)
                record.note(f"{attempt}, sent by its client to {host} {sent_at - at:.3f} s after "
                            f"the acknowledgement, reached {runner.identity} {arrived - at:.3f} s "
                            f"after it; answered {answers.get(attempt)}")
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    for host in hosts[:2]:
        if host.process.poll() is not None or host.log_lines("store_lost"):
            raise lab.CannotRun(f"{host.name} was not in touch")
    lost = [attempt for attempt in late if answers.get(attempt) != 200]
    summary = f"{len(sent)} requests, answers {statuses}, {len(late)} after drain_ms, " \
              f"{len(lost)} of these without a success"
    record.note(summary)
    print(summary)
    if statuses.get(200, 0) < len(sent) / 2:
        raise lab.CannotRun("too few requests were served")
    return lab.BROKEN if late else lab.HELD


lab.run_case(play, FOLDER)

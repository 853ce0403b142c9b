"""All groups of a model lose a member; streams without a length must not look complete."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "support-3"))
sys.dont_write_bytecode = True

import models  # noqa: E402
import standins  # noqa: E402

CLIENTS = 12
LOSSES = 3
DOWN_S = 4.5
BETWEEN_S = 14.0


class Runner(models.ModelRunner):
    IS_FRAMED = False  # answers end with their channels


async def client(index, deployment, record, results, end):
    number = 0
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        request_id = f"c{index:02d}-{number:04d}"
        number += 1
        host = deployment.hosts[(index + number) % len(deployment.hosts)]
        answer = await host.ask("POST", "/lohu930/2f", models.stream_headers(request_id),
                                b"prompt " + request_id.encode(), 10)
        ids = models.event_ids(answer.body)
        is_whole = ids == list(range(Runner.EVENTS))
        is_wrong = answer.status == 200 and answer.is_complete and not is_whole
        record.note(f"client {request_id} at {host.name}: {answer.status} "
                    f"{'complete' if answer.is_complete else 'cut off ' + answer.problem}, "
                    f"{len(ids)} events{', WRONG: ' + str(ids[-3:]) if is_wrong else ''}")
        results.append((request_id, answer.status, is_whole, is_wrong))
        await asyncio.sleep(0.05 if answer.status == 200 else 0.3)


async def lose_members(deployment, record):
    """One member of each group of m0 crashes; it is back after DOWN_S."""
    lost = []
    for head in deployment.groups()["m0"]:
        member = deployment.runners[head.group["members"][-1]]
        lost.append(member)
    for member in lost:
        member.die()
        record.note(f"runner {member.name} crashes")
    await asyncio.sleep(DOWN_S)
    for member in lost:
        await member.come_back()
        record.note(f"runner {member.name} is back")


async def main(record, folder, has_trouble):
    deployment = models.Deployment(record, folder, runner_type=Runner)
    try:
        await deployment.start([models.stream_route(gap_ms=200)], [models.model_service()])
        await deployment.wait_for_groups({"m0": 3})
        record.note(f"groups: { {m: [h.name for h in hs] for m, hs in deployment.groups().items()} }")
        results = []
        end = asyncio.get_running_loop().time() + 4 + LOSSES * BETWEEN_S
        clients = [asyncio.ensure_future(client(i, deployment, record, results, end))
                   for i in range(CLIENTS)]
        await asyncio.sleep(4)
        for _ in range(LOSSES if has_trouble else 0):
            loss = asyncio.ensure_future(lose_members(deployment, record))
            await asyncio.sleep(BETWEEN_S)
            await loss
        await asyncio.gather(*clients)
    finally:
        await deployment.stop()
        for host in deployment.hosts:
            if os.environ.get("KEEP_LOGS"):
                os.system(f"cp {host.log_path} {os.environ['KEEP_LOGS']}")
    served = sum(1 for _, status, is_whole, _ in results if status == 200 and is_whole)
    wrong = [request_id for request_id, _, _, is_wrong in results if is_wrong]
    text = f"{len(results)} requests, {served} whole answers, {len(wrong)} truncated ones that look complete: {wrong[:10]}"
    record.note(text)
    print(text)
    if served < 20:
        return 2
    return 1 if wrong else 0


standins.run_script(main, FOLDER, os.environ.get("TROUBLE", "1") != "0")

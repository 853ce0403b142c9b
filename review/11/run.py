"""Entry hosts crash by themselves while runners end their answers with their channels."""

import asyncio
import collections
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "support-3"))
sys.dont_write_bytecode = True

import models  # noqa: E402
import standins  # noqa: E402

DURATION_S = 90.0
CLIENT_PROCESSES = 3
CHANNELS = 27  # kept ones of each client process, spread over the hosts
WORK_S = 0.05
RUNNER_PROCESSES = 3
ORDERS = 3  # runners of the plain service in each of these processes
TURNED_AWAY = 15  # with the disruption, a runner turns away one request in this many
RETRY_AFTER = "0.05"  # of these answers
PAUSE_S = 0.05  # of a client between an answer and its next request
ALLOWED = 3
ROUTE = {"name": "look", "host": "ficu95.example", "path_prefix": "/puxa403/",
         "kind": "idempotent", "service": "vane-orders", "timeout_ms": 1000,
         "latency_target_ms": 150, "max_attempts": 2, "priority": 2}
SERVICE = {"name": "vane-orders", "health_path": "/health", "max_connections": 110}


class Orders:
    """What the runners of the plain service do."""

    def __init__(self, ends_channels):
        self.ends_channels = ends_channels
        self.received = collections.Counter()  # requests, by runner
        self.reached = collections.Counter()  # requests that runners have taken, by id

    async def serve(self, runner, connection, method, target, headers, body):
        if target == "/health":
            await connection.answer(200, b"", [("Instance-Id", runner.name)])
            return True
        request_id = headers["attempt-id"]
        self.received[runner.name] += 1
        if self.ends_channels and self.received[runner.name] % TURNED_AWAY == 0:
            await connection.answer(503, b"{}", [("Attempt-Id", request_id), ("Not-Executed", "1"),
                                                 ("At-Server", runner.name),
                                                 ("Retry-After", RETRY_AFTER)])
            return True
        self.reached[request_id] += 1
        await asyncio.sleep(WORK_S)
        fields = [("Attempt-Id", request_id), ("Server-Seal", f"{runner.name}.{request_id}")]
        if not self.ends_channels:
            await connection.answer(200, b"booked " + request_id.encode(), fields)
            return True
        lines = ["HTTP/1.1 200 OK", "Connection: close"] + [f"{n}: {v}" for n, v in fields]
        await connection.send("\r\n".join(lines).encode() + b"\r\n\r\nbooked " + request_id.encode())
        connection.close()
        return False


async def keep_channel(index, addresses, port, results, cut, end):
    """Sends requests on one kept channel; opens another when it ends."""
    loop = asyncio.get_running_loop()
    address = addresses[index % len(addresses)]
    number = 0
    while loop.time() < end:
        writer = None
        request_id = ""
        try:
            reader, writer = await asyncio.open_connection(address, port)
            while loop.time() < end:
                number += 1
                request_id = f"k{index:02d}-{number:05d}"
                writer.write((f"GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
                              f"{request_id}\r\nDeadline-Ms: 1000\r\nKey: n2ctnfzs989anu6wsjnb\r\n"
                              f"\r\n").encode())
                answer = standins.Answer()
                await asyncio.wait_for(standins.read_answer(reader, answer), 5)
                results[answer.status] += 1
                request_id = ""
                await asyncio.sleep(PAUSE_S)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if request_id:
                cut.append(request_id)
            await asyncio.sleep(0.2)
        finally:
            if writer is not None:
                writer.close()


async def run_client(first, port, addresses):
    """The work of a client process. Prints its counts and the requests without an answer."""
    results = collections.Counter()
    cut = []
    end = asyncio.get_running_loop().time() + DURATION_S
    await asyncio.gather(*(keep_channel(first + index, addresses, port, results, cut, end)
                           for index in range(CHANNELS)))
    print(json.dumps([results, cut]))


class Elsewhere(standins.Runner):
    """A runner whose requests another process serves; here it only writes its entry."""

    async def start(self):
        self.is_alive = True
        self.spawn(self.beat())


async def serve_orders(names, ends_channels):
    """The work of a process of runners. Prints their ports, and when its input has ended the ids
    of the requests that have reached them."""
    orders = Orders(ends_channels)
    store = standins.Store()  # not started: the other process writes the entries
    runners = [standins.Runner(store, None, name, SERVICE["name"], "", orders.serve)
               for name in names]
    for runner in runners:
        await runner.start()
    print(json.dumps([runner.port for runner in runners]), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(json.dumps(list(orders.reached)))


async def start_orders(number, deployment, record, ends_channels):
    """Starts a process of runners and enters them into the deployment."""
    names = [f"o-{number * ORDERS + index}" for index in range(ORDERS)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, os.path.abspath(__file__), "runners", str(int(ends_channels)), *names,
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
    for index, (name, port) in enumerate(zip(names, json.loads(await process.stdout.readline()))):
        deployment.runners[name] = Elsewhere(deployment.store, record, name, SERVICE["name"],
                                             deployment.zones[index % 3], None, slots=6, port=port)
    return process


async def start_client(number, deployment):
    return await asyncio.create_subprocess_exec(
        sys.executable, os.path.abspath(__file__), "client", str(number * CHANNELS),
        str(standins.Host.PORTS["front"]), *(host.address for host in deployment.hosts),
        stdout=asyncio.subprocess.PIPE)


async def watch(host, record, ended):
    """Starts the host again when its process ends by itself, as the platform does."""
    while True:
        code = await host.process.wait()
        ended.append((host.name, code))
        record.note(f"the process of {host.name} has ended by itself: {code}")
        await asyncio.sleep(0.5)
        await host.start(is_first=False)


async def main(record, folder, has_trouble):
    deployment = models.Deployment(record, folder, domains=21)
    watches = []
    servers = []
    clients = []
    ended = []
    results = collections.Counter()
    cut = []  # ids of requests whose channels ended without an answer
    reached = set()  # ids of requests that have reached a runner
    try:
        for number in range(RUNNER_PROCESSES):
            servers.append(await start_orders(number, deployment, record, has_trouble))
        await deployment.start([models.stream_route(), ROUTE], [models.model_service(), SERVICE])
        watches = [asyncio.ensure_future(watch(host, record, ended)) for host in deployment.hosts]
        clients = [await start_client(number, deployment) for number in range(CLIENT_PROCESSES)]
        for output, _ in await asyncio.gather(*(client.communicate() for client in clients)):
            counts, without_answer = json.loads(output)
            results.update({int(status): count for status, count in counts.items()})
            cut += without_answer
        for output, _ in await asyncio.gather(*(server.communicate(b"") for server in servers)):
            reached.update(json.loads(output))
    finally:
        for task in watches:
            task.cancel()
        for process in clients + servers:
            if process.returncode is None:
                process.kill()
        await deployment.stop()
    lost = [request_id for request_id in cut if request_id in reached]
    record.note(f"reached a runner and got no answer: {lost}")
    text = (f"answers by status: {dict(results)}; processes that ended by themselves: {ended}; "
            f"{len(lost)} requests on kept channels reached runners and got no answer")
    record.note(text)
    print(text)
    if results[200] < 1000:
        return 2
    return 1 if len(lost) > ALLOWED else 0


if sys.argv[1:2] == ["runners"]:
    asyncio.run(serve_orders(sys.argv[3:], sys.argv[2] == "1"))
elif sys.argv[1:2] == ["client"]:
    asyncio.run(run_client(int(sys.argv[2]), int(sys.argv[3]), sys.argv[4:]))
else:
    standins.run_script(main, FOLDER, os.environ.get("TROUBLE", "1") != "0")

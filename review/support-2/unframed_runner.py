"""A runner of a plain service, as a process of its own. Its answers have neither a length nor
chunks and end with their connections. Prints its port, and a line for each request that it runs.

Usage: unframed_runner.py ID ADDRESS WORK_MS
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lab

BODY_BYTES = 800
PIECES = 8


def whole_body(identity, attempt):
    return (f"{attempt} by {identity} ".encode() * BODY_BYTES)[:BODY_BYTES]


async def main(identity, address, work_ms):
    async def handle(head, body, writer):
        if head.get("Expect-Instance") not in ("", identity):
            writer.write(lab.encode_answer(421, [("Instance-Id", identity)], b""))
            return True
        attempt = head.get("Attempt-Id")
        print(f"runs {attempt}", flush=True)
        writer.write(lab.encode_head("HTTP/1.1 200 OK", [
            ("Attempt-Id", attempt), ("Server-Seal", f"{identity}.{attempt}"),
            ("Connection", "close")]))
        answer = whole_body(identity, attempt)
        for begin in range(0, BODY_BYTES, BODY_BYTES // PIECES):
            await asyncio.sleep(work_ms / 1000 / PIECES)
            writer.write(answer[begin:begin + BODY_BYTES // PIECES])
            await writer.drain()
        return False

    server = await lab.serve(address, 0, handle)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))

"""A runner that answers with event streams, as a process of its own. Prints its port.

Usage: stream_runner.py ID ADDRESS EVENTS EVENT_MS [FIELD_SEPARATOR]

An event of a stream is text/event-stream: the field `id`, the field `data`, an empty line. A
field's name is followed by FIELD_SEPARATOR, ":" by default; the space after the colon is optional
in that format. A request with Last-Event-Id goes on after that event.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lab


async def main(identity, address, events, event_ms, separator=":"):
    async def handle(head, body, writer):
        if head.get("Expect-Instance") not in ("", identity):
            writer.write(lab.encode_answer(421, [("Instance-Id", identity)], b""))
            return True
        attempt = head.get("Attempt-Id")
        writer.write(lab.encode_head("HTTP/1.1 200 OK", [
            ("Attempt-Id", attempt), ("Server-Seal", f"{identity}.{attempt}"),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        last = head.get("Last-Event-Id")
        for number in range(int(last) + 1 if last else 0, events):
            await asyncio.sleep(event_ms / 1000)
            event = f"id{separator}{number}\ndata{separator}{attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    server = await lab.serve(address, 0, handle)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), *sys.argv[5:]))

"""HTTP/1.1 on asyncio for the stand-ins: one call, and a small server."""

import asyncio
import json

MAX_HEADERS_BYTES = 64 * 1024


async def read_message(reader):
    """Returns the start line, the headers in lower case and the body of a
    message, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode().strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().strip(), headers, body


async def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Makes one call; returns (status, headers, body), or None if there is no
    response."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        payload = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Connection: close",
                 "Content-Type: application/json",
                 f"Content-Length: {len(payload)}"]
        fields = {"Host": address, **(headers or {})}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return None
        return int(message[0].split()[1]), message[1], message[2]

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return None
    finally:
        if writer:
            writer.close()


def encode_response(status, body):
    payload = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n").encode() + payload

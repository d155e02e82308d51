"""Small HTTP/1.1 calls for the stand-ins."""

import asyncio
import json


async def read_message(reader):
    """Returns the start line, the headers in lower case and the body of an
    HTTP/1.1 message, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while header := (await reader.readline()).decode().strip():
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().strip(), headers, body


async def call(address, method, path, body, headers=None, timeout_s=1.0):
    """Makes one call; returns (status, headers, body), or None without a
    response in time."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        payload = b"" if body is None else json.dumps(body).encode()
        fields = {"Host": address, "Connection": "close",
                  "Content-Type": "application/json",
                  "Content-Length": str(len(payload)), **(headers or {})}
        lines = [f"{method} {path} HTTP/1.1"]
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

"""A TCP link that a partition can cut. Bytes that are sent into the cut arrive
with their first retransmission after it, as TCP does it: 0.2 s after they were
sent, and then each time after twice the time before. Opening packets are sent
again after 1 s, 3 s and 7 s."""

import asyncio
import time


def first_after(sent, healed, first_s):
    """When a packet that was sent at `sent` gets through."""
    at, gap = sent, first_s
    while at < healed:
        at += gap
        gap *= 2
    return at


class Link:
    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.healed = 0.0
        self.server = None

    async def open(self):
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def close(self):
        self.server.close()

    def cut(self, for_s):
        self.healed = time.monotonic() + for_s

    async def pass_at(self, first_s):
        now = time.monotonic()
        at = first_after(now, self.healed, first_s) if now < self.healed else now
        if at > now:
            await asyncio.sleep(at - now)

    async def serve(self, reader, writer):
        other = None
        try:
            await self.pass_at(1.0)
            host, _, port = self.target.rpartition(":")
            target_reader, other = await asyncio.open_connection(
                host, int(port))
            await asyncio.gather(self.copy(reader, other),
                                 self.copy(target_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()
            if other:
                other.close()

    async def copy(self, reader, writer):
        while data := await reader.read(65536):
            await self.pass_at(0.2)
            writer.write(data)
            await writer.drain()
        writer.write_eof()

"""A loopback proxy whose links can be delayed, reset, cut one way or silenced."""

import asyncio

CHUNK = 16 * 1024


class Proxy:
    """Forwards connections to a listener. Faults hold for all connections:
    `delay_s` holds bytes back, `hold_to_target` and `hold_to_caller` keep the
    bytes of one direction until the fault ends, `refuses` closes new
    connections at once."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.connections = set()
        self.server = None
        self.heal()

    def heal(self):
        self.delay_s = 0.0
        self.hold_to_target = False
        self.hold_to_caller = False
        self.refuses = False

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def reset(self):
        """Breaks all connections."""
        for writer in list(self.connections):
            writer.transport.abort()

    def mute(self):
        """Silences the connections of this moment for good; new ones work."""
        for writer in list(self.connections):
            writer.is_muted = True

    async def serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.connections |= {writer, target_writer}
        await asyncio.gather(
            self.pump(reader, target_writer, lambda: self.hold_to_target),
            self.pump(target_reader, writer, lambda: self.hold_to_caller))
        self.connections -= {writer, target_writer}

    async def pump(self, reader, writer, is_held):
        try:
            while data := await reader.read(CHUNK):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while is_held():
                    await asyncio.sleep(0.02)
                if getattr(writer, "is_muted", False):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()

"""A loopback proxy that can delay, reset, hold, refuse or blackhole
connections."""

import asyncio

CHUNK = 16 * 1024


class Proxy:
    """Forwards connections to a listener. These faults apply to all
    connections until heal(): `delay_s` delays bytes, `hold_to_target` and
    `hold_to_caller` hold the bytes of one direction until the fault ends,
    `refuses` closes new connections immediately."""

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
        """Aborts all connections."""
        for writer in list(self.connections):
            writer.transport.abort()

    def blackhole(self):
        """Drops all further bytes of the current connections; new ones work."""
        for writer in list(self.connections):
            writer.is_blackholed = True

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
            self.forward(reader, target_writer, lambda: self.hold_to_target),
            self.forward(target_reader, writer, lambda: self.hold_to_caller))
        self.connections -= {writer, target_writer}

    async def forward(self, reader, writer, is_held):
        try:
            while data := await reader.read(CHUNK):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while is_held():
                    await asyncio.sleep(0.02)
                if getattr(writer, "is_blackholed", False):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()

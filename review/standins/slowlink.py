"""A machine's link to the store: a proxy with a rate, which can also be cut without a reset."""

import asyncio

SLICE_S = 0.01


class SlowLink:
    def __init__(self, record, address, port, target, mbps):
        self.record = record
        self.address, self.port, self.target = address, port, target
        self.bytes_per_slice = int(mbps * 1e6 / 8 * SLICE_S)
        self.turn = asyncio.Lock()  # All connections share the link.
        self.open = asyncio.Event()
        self.open.set()
        self.born_in_cut = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, self.port)

    def cut(self):
        self.record.say(f"the link {self.address} is cut")
        self.open.clear()

    def heal(self):
        self.record.say(f"the link {self.address} is whole again")
        for writer in self.born_in_cut:
            writer.transport.abort()  # Their opening packets were lost.
        self.born_in_cut.clear()
        self.open.set()

    async def _serve(self, reader, writer):
        if not self.open.is_set():
            self.born_in_cut.add(writer)
            return
        try:
            upstream = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._copy(reader, upstream[1], False),
                             self._copy(upstream[0], writer, True), return_exceptions=True)

    async def _copy(self, reader, writer, limited):
        try:
            while True:
                data = await reader.read(self.bytes_per_slice)
                if not data:
                    break
                if limited:
                    async with self.turn:
                        await asyncio.sleep(SLICE_S * len(data) / self.bytes_per_slice)
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

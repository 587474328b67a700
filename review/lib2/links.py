"""A link between two hosts that can be interrupted: packets are held and delivered in order afterwards, also when the
sender has closed the connection meanwhile."""

import asyncio


class Link:
    def __init__(self, port, to):
        self.port, self.to = port, to
        self.up = asyncio.Event()
        self.up.set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", self.port)

    async def connection(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.forward(reader, far_writer), self.forward(far_reader, writer))
        far_writer.close()
        writer.close()

    async def forward(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.up.wait()
                if not data:
                    # The end of the connection was sent later than the data, and arrives later.
                    await asyncio.sleep(0.1)
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

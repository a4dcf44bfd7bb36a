"""A relay on loopback that passes bytes on unchanged and in order, each after a delay."""

from __future__ import annotations

import asyncio
import contextlib

HOST = "127.0.0.1"


class DelayRelay:
    """Listens on a port of its own and passes each connection on to another port.

    Args:
        target: The port to which connections are passed on.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.delay = 0.0  # seconds from the target to the caller
        self.connection_count = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start it."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.close()
            return
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        tasks = [
            asyncio.create_task(self._collect(target_reader, queue)),
            asyncio.create_task(self._deliver(queue, writer)),
            asyncio.create_task(self._forward(reader, target_writer)),
        ]
        _, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        writer.close()
        target_writer.close()

    async def _collect(self, reader: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                queue.put_nowait((loop.time() + self.delay, data))
        queue.put_nowait((loop.time() + self.delay, b""))
        await asyncio.Event().wait()

    async def _deliver(self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while True:
                due_at, data = await queue.get()
                await asyncio.sleep(max(0.0, due_at - loop.time()))
                if not data:
                    return
                writer.write(data)
                await writer.drain()

    @staticmethod
    async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()

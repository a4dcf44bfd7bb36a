"""A compute node that can hang: it reads nothing meanwhile, and its connections stay open and silent.

Its sockets have a receive buffer of 64 KB, so that it does not depend on the machine how much arrives unread.
"""

from __future__ import annotations

import array
import asyncio
import fcntl
import socket
import struct
import termios
from typing import Any

from world import HOST, Handler, Node, Record, encode_array

NO_LINGER = struct.pack("ii", 1, 0)
RECEIVE_BUFFER_BYTES = 65_536


class RawConnection:
    """The compute node's side of one connection, on a plain socket."""

    def __init__(self, peer: socket.socket) -> None:
        self.peer = peer

    def answer(self, *elements: bytes) -> None:
        """Send one answer."""
        if self.peer.fileno() >= 0:
            self.peer.send(encode_array(*elements))

    def serve(self, rid: bytes, page: bytes = b"a\tb\tc\n") -> None:
        """Send a good answer of one page."""
        self.answer(rid, b"DONE", b"sheets=1,toil=5.0,room=7.0", page)

    def reset(self) -> None:
        """Reset the connection."""
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.peer.close()


class HangingNode(Node):
    """A compute node that reads nothing between `hang` and `resume`."""

    def __init__(self, name: str, record: Record, run: Handler | Any) -> None:
        super().__init__(name, record, run)
        self._may_read = asyncio.Event()
        self._may_read.set()
        self._listener = socket.socket()
        self._loops: set[asyncio.Task[None]] = set()
        self._peers: set[socket.socket] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener.setblocking(False)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._listener.bind((HOST, self.port))
        self._listener.listen(64)
        self.port = self._listener.getsockname()[1]
        self._spawn(self._accept())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._loops.add(task)
        task.add_done_callback(self._loops.discard)

    async def _accept(self) -> None:
        while True:
            peer, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            self._spawn(self._read(peer))

    async def _read(self, peer: socket.socket) -> None:
        connection = RawConnection(peer)
        self._peers.add(peer)
        buffer = b""
        loop = asyncio.get_running_loop()
        while peer.fileno() >= 0:
            await self._may_read.wait()
            try:
                # Ready bytes are not taken while the node hangs, also if they came after this wait began.
                data = await self._receive(loop, peer)
            except OSError:
                break
            if data is None:
                continue
            if not data:
                break
            buffer += data
            while (command := split(buffer)) is not None:
                buffer = buffer[command[0] :]
                self._on_command(connection, command[1])  # type: ignore[arg-type]
        self._peers.discard(peer)
        peer.close()

    async def _receive(self, loop: asyncio.AbstractEventLoop, peer: socket.socket) -> bytes | None:
        while self._may_read.is_set() and peer.fileno() >= 0:
            try:
                return peer.recv(65_536)
            except BlockingIOError:
                await asyncio.sleep(0.001)
        return None

    def waiting_bytes(self) -> int:
        """Return how many bytes have arrived at this machine on all connections and are not read yet."""
        total = 0
        for peer in self._peers:
            if peer.fileno() >= 0:
                count = array.array("i", [0])
                fcntl.ioctl(peer.fileno(), termios.FIONREAD, count)
                total += count[0]
        return total

    def hang(self) -> None:
        """Read nothing from now on."""
        self.record("hangs", node=self.name)
        self._may_read.clear()

    def resume(self) -> None:
        """Read again."""
        self.record("reads again", node=self.name)
        self._may_read.set()

    def close(self) -> None:
        """Stop listening and close all connections."""
        for task in self._loops:
            task.cancel()
        self._listener.close()


def split(buffer: bytes) -> tuple[int, list[bytes]] | None:
    """Return the size and the elements of the first command in a buffer; None if it is not complete."""
    position = buffer.find(b"\r\n")
    if position < 0:
        return None
    count, position = int(buffer[1:position]), position + 2
    elements = []
    for _ in range(count):
        end = buffer.find(b"\r\n", position)
        if end < 0:
            return None
        length, position = int(buffer[position + 1 : end]), end + 2
        if len(buffer) < position + length + 2:
            return None
        elements.append(buffer[position : position + length])
        position += length + 2
    return position, elements

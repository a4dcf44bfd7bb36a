"""The daemon: sockets, signals and the engine list around one Executor and its Dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
import time
from typing import BinaryIO

import structlog

from . import dispatch
from .config import Config, EngineRecord
from .dispatch.recording import RecordingWriter
from .engines import Executor
from .engines.flight import FlightTransport, FlightTransportLimits
from .engines.pool import PoolLimits
from .flight import FlightFront
from .gossip_transport import GossipTransport
from .http2 import ConnectionLimits
from .http2.transport import local_sockets
from .interface import PeerMessage
from .members import FileSource, View
from .rpc import Server
from .state_directory import StateDirectory

log = structlog.get_logger()
LAST_WORDS = 1.0  # seconds that answers already given have to reach their clients at the end


class Daemon:
    """One gateway process. `start`, then `run` until `stop`."""

    def __init__(self, config: Config, share_port: bool = False) -> None:
        self.config = config
        seed = config.seed if config.seed is not None else secrets.randbits(32)
        self._loop = asyncio.get_running_loop()
        self.folder = None if config.knowledge is None else StateDirectory(config, self._loop)
        memory = self.folder.restored_state if self.folder is not None else None
        self._record: BinaryIO | None = None
        recording = None
        if config.record is not None:
            path = config.record
            if share_port:
                path = path.with_name(f"{path.name}.{config.settings.gateway_index}")
            self._record = path.open("wb")
            recording = RecordingWriter(self._record, config.settings, seed, config.most_owed, memory)
        self.view = View(self._loop.time, time.time)
        self.dispatcher = dispatch.Dispatcher(
            config.settings, seed, recording, config.most_owed, memory, is_persistent=memory is not None
        )
        http = ConnectionLimits(max_streams=config.max_streams, keepalive_after=config.keepalive)
        limits = FlightTransportLimits(
            max_buffered_bytes=config.max_buffered_bytes,
            cancel_ack_timeout=config.cancel_ack_timeout,
            pool=PoolLimits(config.connect_timeout, config.per_engine),
        )
        self.peers = None
        if config.peer_listen is not None:
            self.peers = GossipTransport(
                config.peer_listen, config.peer_addresses, config.settings.gateway_index, self._on_peer
            )
        self.transport = FlightTransport(limits, self.view.address, str(config.settings.gateway_index))
        self.executor = Executor(
            self.dispatcher,
            self.transport,
            self.peers.send if self.peers is not None else None,
            self.folder.persist if self.folder is not None else None,
        )
        self.front = FlightFront(config, self.executor, self.transport)
        self.server = Server(self.front.handlers, http, config.max_connections, config.max_message)
        self.source = FileSource(config, self._on_list)
        self._share_port = share_port
        self._watch: asyncio.Task[None] | None = None
        self._stopping: asyncio.Task[None] | None = None
        self.ended = asyncio.Event()
        self.port = 0

    def _on_list(self, version: int, records: tuple[EngineRecord, ...]) -> None:
        before = self.view.snapshot
        self.executor.feed(self.view.replace(version, records))
        for engine in before:
            if engine not in self.view.snapshot:
                self.transport.remove_engine(engine)
        states = [r.state.name.lower() for r in records]
        log.info("engine list", version=version, engines=len(records), ready=states.count("ready"))

    def _on_peer(self, sender: int, data: bytes) -> None:
        self.executor.feed(PeerMessage(sender, data))

    def start(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen. OSError where the address cannot be had."""
        if self.folder is not None:
            self.folder.unsaved_count = lambda: self.executor.non_durable_count
            self.folder.on_attach = lambda memory: self.executor.feed(dispatch.AttachLearnedState(memory))
            self.folder.on_purge = lambda what: self.executor.feed(dispatch.PurgeLearnedState(what))
            self.folder.start(self.dispatcher)
        if not self.source.look():
            log.warning("no engine list yet", file=str(self.config.engine_file))
        sockets = sockets or local_sockets(self.config.host, self.config.port, self._share_port)
        self.port = sockets[0].getsockname()[1]
        self.server.listen(sockets)
        if self.peers is not None:
            self.peers.start()
        self._watch = self._loop.create_task(self.source.watch())
        log.info(
            "listening",
            flight_sql=f"grpc://{self.config.host}:{self.port}",
            host=self.config.host,
            port=self.port,
            position=self.config.settings.gateway_index,
        )

    def stop(self) -> None:
        """The first call drains; a second one ends at once."""
        if self._stopping is None:
            log.info("stopping", owed=self.dispatcher.pending_count, grace=self.config.grace)
            self._stopping = self._loop.create_task(self._drain())
        else:
            log.warning("ended at once", owed=self.dispatcher.pending_count)
            self._close()

    async def _drain(self) -> None:
        """Refuse what is new, let what runs end, and give every client its answer before the end."""
        self.executor.feed(dispatch.BeginDrain(self.config.grace))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.config.grace):
                await self._nothing_owed()
        self.executor.feed(dispatch.FinishDrain())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_WORDS):
                await self._nothing_owed()
                self.server.drain()
                while self.server.open_call_count:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # the last frames leave in the turns after they were queued
        self._close()

    async def _nothing_owed(self) -> None:
        await asyncio.sleep(0)
        while self.dispatcher.pending_count:
            await asyncio.sleep(0.01)

    def _close(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
        if self.peers is not None:
            self.peers.close()
        self.front.close()
        self.executor.close()
        self.server.close()
        if self.folder is not None:
            self.folder.stop(self.dispatcher)
        if self._record is not None:
            self._record.close()
            self._record = None
        self.ended.set()

    async def run(self) -> None:
        await self.ended.wait()


async def serve(config: Config, share_port: bool = False) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    import signal

    daemon = Daemon(config, share_port)
    daemon.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    await daemon.run()

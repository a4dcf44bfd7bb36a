"""One gateway process: a dispatcher with its executor, sockets, engine list and state directory."""

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
from .flight import FlightSqlService
from .gossip_transport import GossipTransport
from .http2 import ConnectionLimits
from .http2.transport import local_sockets
from .interface import PeerMessage
from .members import EngineListView, FileSource
from .rpc import Server
from .state_directory import StateDirectory

log = structlog.get_logger()
FINAL_ANSWER_TIMEOUT = 1.0  # seconds for the last answers to reach their clients at shutdown


class Daemon:
    """One gateway process. `stop` begins to drain it, and `run` returns when it has stopped.

    Args:
        config: The configuration of the gateway.
        share_port: Whether other processes listen on the same port.

    Attributes:
        state_directory: The directory of the learned state, or None if it is not persisted.
        engine_list_view: The newest engine list.
        dispatcher: The dispatcher, which makes the scheduling decisions.
        gossip: Exchanges messages with peers. None if the settings name no peers.
        transport: Runs attempts on the connections to engines.
        executor: Feeds events to the dispatcher and carries out its effects.
        flight_service: The handlers of client calls.
        server: The gRPC server for clients.
        engine_list_source: Reads the engine list from its file.
        stopped: Set when the gateway has stopped.
        port: The port on which clients are accepted, after `start`.
    """

    def __init__(self, config: Config, share_port: bool = False) -> None:
        self.config = config
        seed = config.seed if config.seed is not None else secrets.randbits(32)
        self._loop = asyncio.get_running_loop()
        self.state_directory = (
            None if config.state_directory_path is None else StateDirectory(config, self._loop)
        )
        restored_state = self.state_directory.restored_state if self.state_directory is not None else None
        self._recording_file: BinaryIO | None = None
        recording = None
        if config.recording_path is not None:
            path = config.recording_path
            if share_port:
                path = path.with_name(f"{path.name}.{config.settings.gateway_index}")
            self._recording_file = path.open("wb")
            recording = RecordingWriter(
                self._recording_file, config.settings, seed, config.max_pending_requests, restored_state
            )
        self.engine_list_view = EngineListView(self._loop.time, time.time)
        self.dispatcher = dispatch.Dispatcher(
            config.settings,
            seed,
            recording,
            config.max_pending_requests,
            restored_state,
            is_persistent=restored_state is not None,
        )
        http_limits = ConnectionLimits(max_streams=config.max_streams, keepalive_after=config.keepalive_after)
        transport_limits = FlightTransportLimits(
            max_buffered_bytes=config.max_buffered_bytes,
            cancel_ack_timeout=config.cancel_ack_timeout,
            pool=PoolLimits(config.connect_timeout, config.connections_per_engine),
        )
        self.gossip = None
        if config.peer_listen is not None:
            self.gossip = GossipTransport(
                config.peer_listen,
                config.peer_addresses,
                config.settings.gateway_index,
                self._on_peer_message,
            )
        self.transport = FlightTransport(
            transport_limits, self.engine_list_view.address, str(config.settings.gateway_index)
        )
        self.executor = Executor(
            self.dispatcher,
            self.transport,
            self.gossip.send if self.gossip is not None else None,
            self.state_directory.persist if self.state_directory is not None else None,
        )
        self.flight_service = FlightSqlService(config, self.executor, self.transport)
        self.server = Server(
            self.flight_service.handlers, http_limits, config.max_connections, config.max_message_bytes
        )
        self.engine_list_source = FileSource(config, self._on_engine_list)
        self._share_port = share_port
        self._watch_task: asyncio.Task[None] | None = None
        self._drain_task: asyncio.Task[None] | None = None
        self.stopped = asyncio.Event()
        self.port = 0

    def _on_engine_list(self, version: int, records: tuple[EngineRecord, ...]) -> None:
        previous_engines = self.engine_list_view.snapshot
        self.executor.feed(self.engine_list_view.replace(version, records))
        for engine in previous_engines:
            if engine not in self.engine_list_view.snapshot:
                self.transport.remove_engine(engine)
        states = [record.state.name.lower() for record in records]
        log.info("engine list updated", version=version, engines=len(records), ready=states.count("ready"))

    def _on_peer_message(self, sender: int, data: bytes) -> None:
        self.executor.feed(PeerMessage(sender, data))

    def start(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept clients.

        Args:
            sockets: Sockets on which to listen in place of new ones at the configured address.

        Raises:
            OSError: The address is not available.
        """
        if self.state_directory is not None:
            self.state_directory.unsaved_count = lambda: self.executor.non_durable_count
            self.state_directory.on_attach = lambda state: self.executor.feed(
                dispatch.AttachLearnedState(state)
            )
            self.state_directory.on_purge = lambda categories: self.executor.feed(
                dispatch.PurgeLearnedState(categories)
            )
            self.state_directory.start(self.dispatcher)
        if not self.engine_list_source.reload_if_changed():
            log.warning("engine list not available yet", file=str(self.config.engine_file))
        sockets = sockets or local_sockets(self.config.host, self.config.port, self._share_port)
        self.port = sockets[0].getsockname()[1]
        self.server.listen(sockets)
        if self.gossip is not None:
            self.gossip.start()
        self._watch_task = self._loop.create_task(self.engine_list_source.watch())
        log.info(
            "listening",
            flight_sql=f"grpc://{self.config.host}:{self.port}",
            host=self.config.host,
            port=self.port,
            position=self.config.settings.gateway_index,
        )

    def stop(self) -> None:
        """Drain the gateway and stop it. A second call stops it at once."""
        if self._drain_task is None:
            log.info("stopping", owed=self.dispatcher.pending_count, grace=self.config.drain_grace_period)
            self._drain_task = self._loop.create_task(self._drain())
        else:
            log.warning("stopped without draining", owed=self.dispatcher.pending_count)
            self._close()

    async def _drain(self) -> None:
        """Reject new requests, wait for the pending ones, and close the gateway.

        Requests that are still pending after the grace period are answered with an error.
        """
        self.executor.feed(dispatch.BeginDrain(self.config.drain_grace_period))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.config.drain_grace_period):
                await self._wait_until_none_pending()
        self.executor.feed(dispatch.FinishDrain())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_ANSWER_TIMEOUT):
                await self._wait_until_none_pending()
                self.server.drain()
                while self.server.open_call_count:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # queued frames are written in later turns of the event loop
        self._close()

    async def _wait_until_none_pending(self) -> None:
        await asyncio.sleep(0)
        while self.dispatcher.pending_count:
            await asyncio.sleep(0.01)

    def _close(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self.gossip is not None:
            self.gossip.close()
        self.flight_service.close()
        self.executor.close()
        self.server.close()
        if self.state_directory is not None:
            self.state_directory.stop(self.dispatcher)
        if self._recording_file is not None:
            self._recording_file.close()
            self._recording_file = None
        self.stopped.set()

    async def run(self) -> None:
        """Wait until the gateway has stopped."""
        await self.stopped.wait()


async def serve(config: Config, share_port: bool = False) -> None:
    """Run a gateway until SIGTERM or SIGINT has stopped it.

    Args:
        config: The configuration of the gateway.
        share_port: Whether other processes listen on the same port.
    """
    import signal

    daemon = Daemon(config, share_port)
    daemon.start()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    await daemon.run()

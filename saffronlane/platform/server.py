"""The dispatcher's server process: assembles its parts and runs them from start to shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from pathlib import Path
from random import Random

import structlog

from .. import dispatch
from ..engines import Executor
from ..gossip_transport import GossipTransport
from ..interface import PeerMessage
from .config import DispatcherConfig, EndpointList
from .descriptors import DescriptorExhaustion, allocate_descriptors
from .discovery.endpoints import EndpointTable
from .discovery.watch import DiscoveryWatch
from .downstream import DownstreamServer
from .lifecycle import ConnectionLimits, Phase, ProcessLifecycle
from .lifecycle.process import shutdown_grace_period
from .memory_budget import MemoryBudget
from .memory_plan import plan_memory, resident_bytes, return_freed_buffers
from .reload import reload_config
from .shutdown import GracefulShutdown
from .stats import StatsReporter
from .upstream import UpstreamLimits, UpstreamTransport

log = structlog.get_logger()
DEFAULT_ENGINE_IDLE_TIMEOUT = 30.0  # seconds
BYTES_PER_MB = 1e6


class DispatcherServer:
    """One dispatcher process: `start` begins to serve, and `run` returns when the shutdown is complete.

    Args:
        config: The configuration.
        path: The path of the configuration file, which `reload` reads again; None if there is no file.
        resident_bytes: The part of the memory limit that the process uses before it serves clients.
    """

    def __init__(
        self, config: DispatcherConfig, path: Path | None = None, resident_bytes: float = 0.0
    ) -> None:
        self.config = config
        self._path = path
        self._loop = asyncio.get_running_loop()
        settings = config.settings
        allocation = allocate_descriptors(config.max_sockets)
        exhaustion = DescriptorExhaustion()
        self.endpoints = EndpointTable(settings, self._loop.time, time.time)
        self.dispatcher = dispatch.Dispatcher(settings, config.seed)
        plan = plan_memory(config.memory_mb * BYTES_PER_MB, resident_bytes)
        self.memory = MemoryBudget(plan.kept_bytes)
        self.upstream = UpstreamTransport(
            _upstream_limits(config, allocation.engines), self.endpoints.address, exhaustion, self.memory
        )
        self.peers = self._gossip_transport()
        self.executor = Executor(self.dispatcher, self.upstream, self.peers.send if self.peers else None)
        self.downstream = DownstreamServer(
            self.executor,
            settings,
            allocation.clients,
            self._is_healthy,
            exhaustion,
            plan,
            self.memory,
        )
        self.discovery = DiscoveryWatch(
            config.feed, config.last_sequence, self._on_endpoints, Random(config.seed), exhaustion
        )
        max_deadline = max((query_class.deadline for query_class in settings.classes), default=0.0)
        self.process = ProcessLifecycle(
            ConnectionLimits().linger_timeout, shutdown_grace_period(max_deadline)
        )
        self._shutdown = GracefulShutdown(self.process, self.dispatcher, self.executor, self.downstream)
        self._stats = StatsReporter(self.dispatcher, self.downstream, self.upstream)

    def _gossip_transport(self) -> GossipTransport | None:
        config = self.config
        if not config.settings.limits.gossip_enabled or config.peer_listen is None:
            return None
        return GossipTransport(
            config.peer_listen,
            config.peers,
            config.settings.gateway_index,
            self._on_peer_message,
            config.broadcast_address,
        )

    def _is_healthy(self) -> bool:
        return len(self.endpoints) > 0 and self.process.phase is Phase.SERVING

    def _on_endpoints(self, endpoints: EndpointList) -> None:
        update, removed_engines = self.endpoints.apply(endpoints)
        self.executor.feed(update)
        for engine in removed_engines:
            self.upstream.remove_engine(engine)
        self.upstream.leave_former_addresses()
        changed = []
        if not endpoints.is_complete:
            changed = [
                f"{endpoint.engine} {endpoint.state} {endpoint.started_at_ms:.0f}"
                for endpoint in endpoints.endpoints
            ]
        log.info(
            "endpoints updated",
            revision=endpoints.revision,
            endpoints=len(self.endpoints),
            changed=changed,
        )

    def _on_peer_message(self, sender: int, data: bytes) -> None:
        self.executor.feed(PeerMessage(sender, data))

    def start(self) -> None:
        """Listen and serve.

        Raises:
            OSError: The address cannot be bound.
        """
        for endpoints in self.config.known_events:
            self._on_endpoints(endpoints)
        self.downstream.listen(self.config.listen)
        if self.peers is not None:
            self.peers.start()
        self.discovery.start()
        self._stats.start()
        log.info(
            "listening",
            host=self.config.listen[0],
            port=self.downstream.port,
            name=self.config.name,
            sockets=self.config.max_sockets,
            memory_mb=self.config.memory_mb,
            cores=self.config.cores,
        )

    def reload(self) -> None:
        """Load the configuration again and watch its control feed; an invalid configuration has no effect."""
        if self._path is None:
            return
        config = reload_config(self._path, self.config)
        if config is not None:
            self.discovery.change_address(config.feed)

    def stop(self) -> None:
        """Shut down gracefully. A second call answers all pending requests immediately."""
        self._shutdown.request()

    async def run(self) -> None:
        """Serve until the shutdown is complete."""
        await self._shutdown.ended.wait()
        self.close()
        log.info("shutdown complete", requests=self.downstream.request_count)

    def close(self) -> None:
        """Close everything immediately."""
        self._stats.close()
        self._shutdown.close()
        self.discovery.close()
        if self.peers is not None:
            self.peers.close()
        self.downstream.close()
        self.executor.close()


def _upstream_limits(config: DispatcherConfig, max_connections: int) -> UpstreamLimits:
    limits = config.settings.limits
    return UpstreamLimits(
        max_streams=limits.max_concurrent_streams,
        connect_timeout=limits.connect_timeout,
        idle_timeout=config.engine_idle_timeout or DEFAULT_ENGINE_IDLE_TIMEOUT,
        max_connections=max_connections,
    )


async def serve(config: DispatcherConfig, path: Path) -> None:
    """Run a dispatcher until SIGTERM or SIGINT."""
    return_freed_buffers()
    server = DispatcherServer(config, path, resident_bytes())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, server.reload)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, server.stop)
    server.start()
    with contextlib.suppress(asyncio.CancelledError):
        await server.run()

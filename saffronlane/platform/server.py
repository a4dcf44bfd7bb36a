"""One node: dispatcher, front, links, feed and peers, from the start to the last answer."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import time
from pathlib import Path
from random import Random

import structlog

from .. import dispatch as d
from ..engines import Executor
from ..errors import told
from ..gossip_transport import Peers
from ..interface import PeerMessage
from .config import Members, NodeConfig, load
from .descriptors import Shortage, allot
from .discovery.endpoints import Fleet
from .discovery.watch import Feed
from .downstream import Front
from .errors import ConfigError
from .lifecycle import ConnectionLimits, Phase, ProcessLifecycle
from .lifecycle.process import OutstandingWork, shutdown_grace_period
from .upstream import UpstreamLimits, UpstreamTransport

log = structlog.get_logger()
LOOK_EVERY = 0.02  # seconds between looks at what is owed, once the process ends
REPORT_EVERY = 5.0
LAG_STEP = 0.25  # seconds; each is a wake with nothing to do, on every node of a fleet
CONNECT_TIMEOUT, IDLE_CLOSE = 0.25, 30.0  # seconds, where the settings tell none


class Node:
    """One dispatcher process. `start`, then `run` until it has ended."""

    def __init__(self, config: NodeConfig, path: Path | None = None) -> None:
        self.config, self._path = config, path
        self._loop = asyncio.get_running_loop()
        settings = config.settings
        self.fleet = Fleet(settings, self._loop.time, time.time)
        self.dispatcher = d.Dispatcher(settings, config.seed)
        shares, shortage = allot(config.sockets), Shortage()
        limits = UpstreamLimits(
            max_streams=settings.limits.max_concurrent_streams,
            connect_timeout=settings.limits.connect_timeout or CONNECT_TIMEOUT,
            idle_timeout=config.idle_close or IDLE_CLOSE,
            max_connections=shares.nodes,
        )
        self.links = UpstreamTransport(limits, self.fleet.address, shortage)
        self.peers: Peers | None = None
        if settings.limits.gossip and config.peer_listen is not None:
            self.peers = Peers(
                config.peer_listen, config.peers, settings.gateway_index, self._on_peer, config.peers_all
            )
        self.executor = Executor(self.dispatcher, self.links, self.peers.send if self.peers else None)
        memory = config.memory_mb * 1e6
        self.front = Front(self.executor, settings, shares.clients, self._well, shortage, memory)
        self.feed = Feed(config.feed, config.last, self._on_members, Random(config.seed), shortage)
        longest = max((cls.deadline for cls in settings.classes), default=0.0)
        self.process = ProcessLifecycle(ConnectionLimits().linger_timeout, shutdown_grace_period(longest))
        self._hurrying = False
        self._ending: asyncio.Task[None] | None = None
        self._report_at = self._lag = 0.0
        self._reports: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()

    def _well(self) -> bool:
        return len(self.fleet) > 0 and self.process.phase is Phase.SERVING

    def _on_members(self, members: Members) -> None:
        update, gone = self.fleet.take(members)
        self.executor.feed(update)
        for engine in gone:
            self.links.remove_engine(engine)
        changed = [f"{m.id} {m.phase} {m.up_since_ms:.0f}" for m in members.members if not members.complete]
        log.info("list", revision=members.revision, nodes=len(self.fleet), changed=changed)

    def _on_peer(self, sender: int, data: bytes) -> None:
        self.executor.feed(PeerMessage(sender, data))

    def start(self) -> None:
        """Listen. OSError where the address cannot be had."""
        for members in self.config.known:
            self._on_members(members)
        self.front.listen(self.config.listen)
        if self.peers is not None:
            self.peers.start()
        self.feed.start()
        self._report_at = self._loop.time()
        self._watch_lag()
        log.info(
            "listening",
            host=self.config.listen[0],
            port=self.front.port,
            name=self.config.name,
            sockets=self.config.sockets,
            memory_mb=self.config.memory_mb,
            cores=self.config.cores,
        )

    def reload(self) -> None:
        """Read the file again and follow the feed where it is now. What cannot be read changes nothing."""
        if self._path is None:
            return
        try:
            config = load(self._path)
        except ConfigError as error:
            log.error("configuration kept as it was", **told(error))
            return
        if config.name != self.config.name:
            # Guards against another node's file in this place: its feed need not tell of our fleet.
            log.error("configuration kept as it was", why="it is another's", name=config.name)
            return
        log.info("configuration read again", feed=config.feed, kept=self._kept(config))
        self.feed.move(config.feed)

    def _kept(self, config: NodeConfig) -> list[str]:
        """What another start would take of a file, and this process does not."""
        names = ("listen", "sockets", "peer_listen", "peers", "peers_all", "settings", "idle_close")
        return [name for name in names if getattr(config, name) != getattr(self.config, name)]

    def stop(self) -> None:
        """Take what still comes, give every answer, end. A second call answers what is owed at once."""
        self.process.terminate(self._loop.time())
        log.info("stopping", owed=self.dispatcher.pending_count, hurried=self.process.is_expedited)
        if self._ending is None:
            self._ending = self._loop.create_task(self._finish())
        self._hurry()

    def _hurry(self) -> None:
        """Answer all that is owed, once, when there is no more time for it."""
        if self.process.is_expedited and not self._hurrying:
            self._hurrying = True
            log.warning("answering what is owed", owed=self.dispatcher.pending_count)
            self.executor.feed(d.FinishDrain())

    async def _finish(self) -> None:
        try:
            while self.process.phase is not Phase.ENDED:
                await asyncio.sleep(LOOK_EVERY)
                # Two more turns of the loop: what had come by now is read, or handed over to be.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                # From here to `drain` nothing else runs: what is not there now crosses the close.
                before = self.process.phase
                if self.process.advance(self._loop.time(), self._debts()) is Phase.CLOSING is not before:
                    self.front.drain()
                self._hurry()
        except Exception:
            log.exception("the end failed")
        finally:  # guards against a process that was told to end and never does
            self.ended.set()

    def _debts(self) -> OutstandingWork:
        front = self.front
        owed = bool(self.dispatcher.pending_count or self.executor.has_unprocessed_input or front.owed)
        unread = self.process.phase is Phase.DRAINING and not owed and front.unread()
        # Guards against an end while connections are full: the system has taken those that wait outside,
        # and what they sent is owed. Room is made in some hundredths of a second, if the end can wait.
        unread = unread or (front.listener.paused and not self.process.is_expedited)
        return OutstandingWork(front.last_taken, owed, unread, len(front.clients))

    async def run(self) -> None:
        await self.ended.wait()
        self.close()
        log.info("ended", taken=self.front.taken)

    def close(self) -> None:
        if self._reports is not None:
            self._reports.cancel()
        if self._ending is not None:
            self._ending.cancel()
        self.feed.close()
        if self.peers is not None:
            self.peers.close()
        self.front.close()
        self.executor.close()

    def _watch_lag(self) -> None:
        """How late the loop runs what is due: a lag here must not be taken for slow nodes."""
        now = self._loop.time()
        if self._reports is not None:
            self._lag = max(self._lag, now - self._reports.when())
        if now >= self._report_at + REPORT_EVERY:
            self._report_at = now
            gateway = self.dispatcher.gateway
            now, cold_time = gateway.batch.now, gateway.batch.guarantees.slow_start_duration
            log.info(
                "report",
                lag_ms=round(self._lag * 1000.0, 1),
                cpu_s=round(time.process_time(), 2),
                memory_mb=_resident_mb(),
                clients=len(self.front.clients),
                taken=self.front.taken,
                faults=self.front.faults,
                accepted=self.front.accepted,
                displaced=self.front.displaced,
                pauses=self.front.listener.pauses,
                owed=self.dispatcher.pending_count,
                held=self.dispatcher.queued_count,
                out=self.dispatcher.in_flight_count,
                crowd=round(gateway.concurrency_limit.latency_inflation, 2),
                ill=sum(engine.is_ejected for engine in gateway.fleet.ready),
                cold=sum(engine.warmup_remaining(now, cold_time) > 0.0 for engine in gateway.fleet.ready),
                ready=len(gateway.fleet.ready),
                threads=round(gateway.in_flight.threads, 1),
                limit=round(min(gateway.concurrency_limit.limit, 1e6), 1),
            )
            self._lag = 0.0
        self._reports = self._loop.call_later(LAG_STEP, self._watch_lag)


def _resident_mb() -> float:
    """0 where the system does not tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return round(pages * resource.getpagesize() / 1e6, 1)


async def serve(config: NodeConfig, path: Path) -> None:
    """Run a node until SIGTERM or SIGINT."""
    import signal

    node = Node(config, path)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    node.start()
    with contextlib.suppress(asyncio.CancelledError):
        await node.run()

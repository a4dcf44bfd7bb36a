"""The node's configuration: JSON, read once at the start and again on SIGHUP."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..interface import Settings
from ..simulator import settings as params
from .errors import ConfigError

Address = tuple[str, int]


class _Limits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 192.0
    cores: float = 1.0


class Member(msgspec.Struct):
    """One compute node as the control feed tells it."""

    id: str
    host_port: str
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: str = "up"
    size: float = 1.0
    up_since_ms: float = 0.0


class Members(msgspec.Struct):
    members: list[Member]
    revision: int = 0
    complete: bool = False


class FeedEvent(msgspec.Struct):
    n: int
    members: Members | None = None


class _Event(msgspec.Struct):
    members: Members | None = None
    n: int | None = None


class _Known(msgspec.Struct):
    n: int = 0
    events: list[_Event] = []


class _File(msgspec.Struct):
    name: str
    listen: str
    settings: dict[str, object]
    feed: str
    seed: str = "0"
    limits: _Limits = msgspec.field(default_factory=_Limits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    known: _Known = msgspec.field(default_factory=_Known)


@dataclass(frozen=True, slots=True)
class DispatcherConfig:
    name: str
    listen: Address
    feed: Address
    seed: int
    max_sockets: int
    memory_mb: float
    cores: float
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    last_sequence: int  # number of the last event that is known
    known_events: tuple[Members, ...]
    settings: Settings
    engine_idle_timeout: float  # seconds after which nodes close idle connections; 0: not told


def address(text: str, pointer: str) -> Address:
    host, mark, port = text.rpartition(":")
    if not mark or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{pointer}: no host:port: {text!r}")
    return host, int(port)


_WHERE = re.compile(r" - at `\$(?P<path>[^`]*)`$")


def _pointer(error: msgspec.ValidationError) -> str:
    text = str(error)
    where = _WHERE.search(text)
    path = where["path"] if where else ""
    return "/" + re.sub(r"[.\[]+", "/", path.replace("]", "")).strip("/") + ": " + _WHERE.sub("", text)


def parse(data: bytes) -> DispatcherConfig:
    """Read a configuration. ConfigError says what is wrong and where."""
    try:
        file = msgspec.json.decode(data, type=_File)
    except msgspec.ValidationError as error:
        raise ConfigError(_pointer(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"/: {error}") from None
    try:
        told = params.Params.of_object(file.settings)
        settings, idle_close = params.read_settings(told), told.number("limits.idleClose", 0.0)
    except params.SettingsError as error:
        raise ConfigError(f"/settings/{error.path.replace('.', '/')}: {error}") from None
    except (ValueError, OverflowError) as error:
        raise ConfigError(f"/settings: {error}") from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"/seed: no hexadecimal number: {file.seed!r}") from None
    if file.limits.sockets < 64:
        raise ConfigError(f"/limits/sockets: {file.limits.sockets} is too few, 64 are needed")
    return DispatcherConfig(
        name=file.name,
        listen=address(file.listen, "/listen"),
        feed=address(file.feed, "/feed"),
        seed=seed,
        max_sockets=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        cores=file.limits.cores,
        peer_listen=address(file.peer_listen, "/peer_listen") if file.peer_listen else None,
        peers=tuple(address(peer, f"/peers/{n}") for n, peer in enumerate(file.peers)),
        peers_all=address(file.peers_all, "/peers_all") if file.peers_all else None,
        last_sequence=max([file.known.n, *(event.n or 0 for event in file.known.events)]),
        known_events=tuple(event.members for event in file.known.events if event.members is not None),
        settings=settings,
        engine_idle_timeout=idle_close,
    )


def load(path: Path) -> DispatcherConfig:
    """Read a file. ConfigError as above, also where it cannot be read."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    return parse(data)

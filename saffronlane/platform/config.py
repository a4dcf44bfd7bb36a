"""The dispatcher's configuration: a JSON file that is read at startup and again on SIGHUP.

The structures map the names in this file and in the control feed to the names that all other modules use.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from ..interface import Settings
from ..simulator import settings as simulator_settings
from .errors import ConfigError

Address = tuple[str, int]
MIN_SOCKETS = 64
DEFAULT_CONNECT_TIMEOUT = 0.25  # seconds; applies if the settings name none
MAX_PORT = 65_535
_ERROR_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`$")


class ListedEngine(msgspec.Struct):
    """One engine as listed by the control feed."""

    engine: str = msgspec.field(name="id")
    address: str = msgspec.field(name="host_port")
    zone: str = msgspec.field(name="locality", default="")
    machine_type: str = msgspec.field(name="flavor", default="")
    cell: int = 0
    state: str = msgspec.field(name="phase", default="up")
    size: float = 1.0
    started_at_ms: float = msgspec.field(name="up_since_ms", default=0.0)


class EndpointList(msgspec.Struct):
    """The endpoints that changed, or all endpoints if the list is complete."""

    endpoints: list[ListedEngine] = msgspec.field(name="members")
    revision: int = 0
    is_complete: bool = msgspec.field(name="complete", default=False)


class WatchEvent(msgspec.Struct):
    """One event of the control feed."""

    sequence: int = msgspec.field(name="n")
    endpoint_list: EndpointList | None = msgspec.field(name="members", default=None)


class _KnownEvent(msgspec.Struct):
    endpoint_list: EndpointList | None = msgspec.field(name="members", default=None)
    sequence: int | None = msgspec.field(name="n", default=None)


class _KnownEvents(msgspec.Struct):
    sequence: int = msgspec.field(name="n", default=0)
    events: list[_KnownEvent] = []


class _ResourceLimits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 192.0
    cores: float = 1.0


class _ConfigFile(msgspec.Struct):
    name: str
    listen: str
    settings: dict[str, object]
    feed: str
    seed: str = "0"
    limits: _ResourceLimits = msgspec.field(default_factory=_ResourceLimits)
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    known: _KnownEvents = msgspec.field(default_factory=_KnownEvents)


@dataclass(frozen=True, slots=True)
class DispatcherConfig:
    """A valid configuration.

    Attributes:
        name: The name of this dispatcher.
        listen: The address that clients connect to.
        feed: The address of the control feed.
        seed: The seed of the random number generators.
        max_sockets: The maximum number of descriptors.
        memory_mb: The memory that the process may use, in MB.
        cores: The number of cores that the process may use.
        peer_listen: The address that receives gossip; None if there is no gossip.
        peers: The gossip addresses of all dispatchers, in the order of their gateway indexes.
        broadcast_address: The address that reaches all peers; None if each peer is sent its own message.
        last_sequence: The sequence number of the last known event.
        known_events: The endpoint lists known at startup, in order.
        settings: The settings of the scheduling policy.
        engine_idle_timeout: The seconds after which engines close idle connections; 0 if unknown.
    """

    name: str
    listen: Address
    feed: Address
    seed: int
    max_sockets: int
    memory_mb: float
    cores: float
    peer_listen: Address | None
    peers: tuple[Address, ...]
    broadcast_address: Address | None
    last_sequence: int
    known_events: tuple[EndpointList, ...]
    settings: Settings
    engine_idle_timeout: float


def parse_address(text: str, pointer: str) -> Address:
    """Parse `host:port`.

    Raises:
        ConfigError: The text has another form; the message begins with `pointer`.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{pointer}: expected host:port, got {text!r}")
    return host, int(port)


def _optional_address(text: str, pointer: str) -> Address | None:
    return parse_address(text, pointer) if text else None


def _with_pointer(error: msgspec.ValidationError) -> str:
    """Return the text of an error, preceded by the JSON pointer to the invalid value."""
    text = str(error)
    path_match = _ERROR_PATH.search(text)
    path = path_match["path"] if path_match else ""
    pointer = re.sub(r"[.\[]+", "/", path.replace("]", "")).strip("/")
    return f"/{pointer}: {_ERROR_PATH.sub('', text)}"


def _decode_file(data: bytes) -> _ConfigFile:
    try:
        return msgspec.json.decode(data, type=_ConfigFile)
    except msgspec.ValidationError as error:
        raise ConfigError(_with_pointer(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"/: {error}") from error


def _read_settings(values: dict[str, object]) -> tuple[Settings, float]:
    """Return the settings and the engines' idle timeout in seconds."""
    try:
        params = simulator_settings.Params.from_object(values)
        settings = simulator_settings.read_settings(params)
        return _with_connect_timeout(settings), params.number("limits.idleClose", 0.0)
    except simulator_settings.SettingsError as error:
        raise ConfigError(f"/settings/{error.path.replace('.', '/')}: {error}") from error
    except (ValueError, OverflowError) as error:
        raise ConfigError(f"/settings: {error}") from error


def _with_connect_timeout(settings: Settings) -> Settings:
    """Fill in the default, so that the policy expects the same delay as the connections cause."""
    connect_timeout = settings.limits.connect_timeout or DEFAULT_CONNECT_TIMEOUT
    return replace(settings, limits=replace(settings.limits, connect_timeout=connect_timeout))


def _read_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError(f"/seed: expected a hexadecimal number, got {text!r}") from error


def parse_config(data: bytes) -> DispatcherConfig:
    """Parse a configuration.

    Raises:
        ConfigError: The configuration is invalid; the message begins with a JSON pointer.
    """
    file = _decode_file(data)
    settings, engine_idle_timeout = _read_settings(file.settings)
    seed = _read_seed(file.seed)
    if file.limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"/limits/sockets: expected at least {MIN_SOCKETS}, got {file.limits.sockets}")
    events = file.known.events
    return DispatcherConfig(
        name=file.name,
        listen=parse_address(file.listen, "/listen"),
        feed=parse_address(file.feed, "/feed"),
        seed=seed,
        max_sockets=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        cores=file.limits.cores,
        peer_listen=_optional_address(file.peer_listen, "/peer_listen"),
        peers=tuple(parse_address(peer, f"/peers/{index}") for index, peer in enumerate(file.peers)),
        broadcast_address=_optional_address(file.peers_all, "/peers_all"),
        last_sequence=max([file.known.sequence, *(event.sequence or 0 for event in events)]),
        known_events=tuple(event.endpoint_list for event in events if event.endpoint_list is not None),
        settings=settings,
        engine_idle_timeout=engine_idle_timeout,
    )


def load_config(path: Path) -> DispatcherConfig:
    """Read a configuration file.

    Raises:
        ConfigError: The file cannot be read or is invalid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    return parse_config(data)

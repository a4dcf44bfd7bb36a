"""Client sessions: who asks, and what was said once for all statements."""

from __future__ import annotations

import base64
import binascii
import secrets
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from http.cookies import CookieError, SimpleCookie

from ..rpc import Code, Metadata
from ..rpc.status import error

COOKIE = "arrow_flight_session_id"
Option = str | bool | int | float | tuple[str, ...]


@dataclass(slots=True, eq=False)
class Session:
    id: str
    user: str = ""
    options: dict[str, Option] = field(default_factory=dict)
    seen: float = 0.0

    @property
    def short(self) -> str:
        """For logs: enough to tell sessions apart, not enough to use one."""
        return self.id[:6]


class Sessions:
    """All sessions, the idle ones first. Bounded in number; idle ones end after a while."""

    def __init__(self, idle: float, most: int, clock: Callable[[], float]) -> None:
        self._idle, self._most, self._clock = idle, most, clock
        self._sessions: OrderedDict[str, Session] = OrderedDict()

    def __len__(self) -> int:
        return len(self._sessions)

    def open(self, user: str = "") -> Session:
        """RpcError RESOURCE_EXHAUSTED while there are too many, none of them idle."""
        self._sweep()
        if len(self._sessions) >= self._most:
            raise error(Code.RESOURCE_EXHAUSTED, f"there are {self._most} sessions already", "SESSIONS")
        session = Session(secrets.token_urlsafe(18), user, seen=self._clock())
        self._sessions[session.id] = session
        return session

    def find(self, metadata: Metadata) -> Session | None:
        """The session that a call names by cookie or bearer token; None: it names none.

        RpcError UNAUTHENTICATED for one that has ended: what was set in it must not silently count no more.
        """
        token = _token(metadata)
        if not token:
            return None
        self._sweep()
        session = self._sessions.get(token)
        if session is None:
            raise error(Code.UNAUTHENTICATED, "the session has ended or never was", "SESSION_UNKNOWN")
        session.seen = self._clock()
        self._sessions.move_to_end(token)
        return session

    def close(self, session: Session) -> None:
        self._sessions.pop(session.id, None)

    def _sweep(self) -> None:
        limit = self._clock() - self._idle
        while self._sessions:
            oldest = next(iter(self._sessions.values()))
            if oldest.seen > limit:
                break
            del self._sessions[oldest.id]


def _token(metadata: Metadata) -> str:
    for header in metadata.all("cookie"):
        jar = SimpleCookie()
        try:
            jar.load(header)
        except CookieError:
            continue
        if COOKIE in jar:
            return jar[COOKIE].value
    scheme, _, rest = metadata.text("authorization").partition(" ")
    return rest.strip() if scheme.lower() == "bearer" else ""


def user_of(metadata: Metadata) -> str:
    """The name of a Basic `authorization` header; RpcError where it does not decode."""
    scheme, _, rest = metadata.text("authorization").partition(" ")
    if scheme.lower() != "basic":
        return ""
    try:
        decoded = base64.b64decode(rest, validate=True).decode()
    except (binascii.Error, UnicodeDecodeError):
        raise error(
            Code.UNAUTHENTICATED, "header authorization is not Basic base64", "AUTHORIZATION"
        ) from None
    return decoded.partition(":")[0]


def set_cookie(session: Session) -> tuple[str, str]:
    return ("set-cookie", f"{COOKIE}={session.id}; HttpOnly")


def clear_cookie() -> tuple[str, str]:
    return ("set-cookie", f"{COOKIE}=; Max-Age=0")

"""Client sessions, which store the user and the options that apply to all statements of the session."""

from __future__ import annotations

import base64
import binascii
import secrets
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from http.cookies import CookieError, SimpleCookie

from ..rpc import Code, Metadata
from ..rpc.status import rpc_error

COOKIE_NAME = "arrow_flight_session_id"
OptionValue = str | bool | int | float | tuple[str, ...]


@dataclass(slots=True, eq=False)
class Session:
    """The session of a client.

    Attributes:
        id: The secret id, which the client sends as cookie or bearer token.
        user: The name of the user, or empty if the client has not logged in.
        options: The session options by name.
        last_used_at: The time of the last call, by the clock of `Sessions`.
    """

    id: str
    user: str = ""
    options: dict[str, OptionValue] = field(default_factory=dict)
    last_used_at: float = 0.0

    @property
    def log_id(self) -> str:
        """The start of the id for logs. It distinguishes sessions but does not give access to one."""
        return self.id[:6]


class Sessions:
    """All open sessions, ordered by their last use.

    Args:
        idle_timeout: The seconds without a call after which a session ends.
        max_sessions: The maximum number of open sessions.
        clock: A function that returns the current time in seconds.
    """

    def __init__(self, idle_timeout: float, max_sessions: int, clock: Callable[[], float]) -> None:
        self._idle_timeout, self._max_sessions, self._clock = idle_timeout, max_sessions, clock
        self._sessions: OrderedDict[str, Session] = OrderedDict()

    def __len__(self) -> int:
        return len(self._sessions)

    def open(self, user: str = "") -> Session:
        """Open a session.

        Raises:
            RpcError: RESOURCE_EXHAUSTED if the maximum number of sessions is open.
        """
        self._close_idle()
        if len(self._sessions) >= self._max_sessions:
            raise rpc_error(
                Code.RESOURCE_EXHAUSTED, f"the limit of {self._max_sessions} sessions is reached", "SESSIONS"
            )
        session = Session(secrets.token_urlsafe(18), user, last_used_at=self._clock())
        self._sessions[session.id] = session
        return session

    def find(self, metadata: Metadata) -> Session | None:
        """Return the session that a call names by cookie or bearer token, or None if it names none.

        Raises:
            RpcError: UNAUTHENTICATED if no open session has this id. The call is rejected because it must
                not run without the options that the client has set in the session.
        """
        token = _session_token(metadata)
        if not token:
            return None
        self._close_idle()
        session = self._sessions.get(token)
        if session is None:
            raise rpc_error(
                Code.UNAUTHENTICATED, "the session has ended or has never existed", "SESSION_UNKNOWN"
            )
        session.last_used_at = self._clock()
        self._sessions.move_to_end(token)
        return session

    def close(self, session: Session) -> None:
        """End a session. Has no effect if the session has already ended."""
        self._sessions.pop(session.id, None)

    def _close_idle(self) -> None:
        idle_cutoff = self._clock() - self._idle_timeout
        while self._sessions:
            oldest = next(iter(self._sessions.values()))
            if oldest.last_used_at > idle_cutoff:
                break
            del self._sessions[oldest.id]


def _session_token(metadata: Metadata) -> str:
    """Return the session id in the cookie or bearer token of a call, or an empty string without either."""
    for header in metadata.all("cookie"):
        cookies = SimpleCookie()
        try:
            cookies.load(header)
        except CookieError:
            continue
        if COOKIE_NAME in cookies:
            return cookies[COOKIE_NAME].value
    scheme, _, token = metadata.text("authorization").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def basic_auth_user(metadata: Metadata) -> str:
    """Return the user name of the Basic `authorization` header, or an empty string without such a header.

    Raises:
        RpcError: UNAUTHENTICATED if the credentials cannot be decoded.
    """
    scheme, _, credentials = metadata.text("authorization").partition(" ")
    if scheme.lower() != "basic":
        return ""
    try:
        decoded = base64.b64decode(credentials, validate=True).decode()
    except (binascii.Error, UnicodeDecodeError):
        raise rpc_error(
            Code.UNAUTHENTICATED,
            "header authorization: the Basic credentials are not base64-encoded UTF-8",
            "AUTHORIZATION",
        ) from None
    return decoded.partition(":")[0]


def set_cookie_header(session: Session) -> tuple[str, str]:
    """Return the response header that sets the session cookie."""
    return ("set-cookie", f"{COOKIE_NAME}={session.id}; HttpOnly")


def clear_cookie_header() -> tuple[str, str]:
    """Return the response header that deletes the session cookie."""
    return ("set-cookie", f"{COOKIE_NAME}=; Max-Age=0")

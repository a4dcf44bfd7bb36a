"""One attempt under way, and the pages of its result."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...engines.executor import Attempt
from ..errors import InvalidResponse
from ..statement import Statement

if TYPE_CHECKING:
    from .connection import UpstreamConnection

MAX_PAGE_BYTES, MAX_RESULT_BYTES = 6_000, 48_000  # bytes, as the protocol has it
MAX_OUTSTANDING_PAGES = 8  # pages asked for at once: a result is about that many
_CONTENTS = bytes(byte for byte in range(256) if byte not in b"\t\n")


@dataclass(slots=True, eq=False)
class UpstreamAttempt(Attempt):
    """One attempt under way."""

    connection: UpstreamConnection | None = None
    sent_at: float = 0.0  # when it was handed to its connection; 0: it still waits for that
    end_offset: int = 0  # bytes of its connection up to its last one
    is_ended: bool = False
    deferral_count: int = 0  # times that it waited for its client to be read
    was_reassigned: bool = False  # its first connection closed before it left
    timeout_timer: asyncio.TimerHandle | None = None
    pages: dict[int, bytes] = field(default_factory=dict)
    page_count: int = 0  # pages of the whole result; 0: its first one has not come
    requested_page_count: int = 0
    result_bytes: int = 0
    page_timer: asyncio.TimerHandle | None = None
    work_s: float = 0.0
    memory_mb: float = 0.0

    @property
    def statement(self) -> Statement:
        statement: Statement = self.request.work
        return statement

    @property
    def may_have_run(self) -> bool:
        """Whether its node can have it whole: only then can it have run there."""
        return (
            bool(self.sent_at)
            and self.connection is not None
            and self.connection.stream.bytes_written >= self.end_offset
        )

    @property
    def is_complete(self) -> bool:
        return bool(self.page_count) and len(self.pages) == self.page_count

    def add_first_page(self, named: dict[bytes, bytes], body: bytes) -> None:
        """Its answer: the first page, and what the whole is."""
        sheets = parse_count(named.get(b"sheets", b"1"), MAX_RESULT_BYTES)
        if not sheets or (sheets > 1 and not body):
            raise InvalidResponse(f"{sheets} pages")
        check_page(body)
        self.work_s, self.memory_mb = (
            parse_measurement(named.get(b"toil")) / 1000.0,
            parse_measurement(named.get(b"room")),
        )
        self.page_count, self.requested_page_count = sheets, 1
        self._store_page(0, body)

    def add_page(self, number: int, body: bytes) -> bool:
        """A further page; false: a second copy, or one that nobody asked for."""
        if number in self.pages or not 0 < number < self.requested_page_count:
            return False
        check_page(body)
        if not body:
            raise InvalidResponse("an empty page")
        self._store_page(number, body)
        return True

    def _store_page(self, number: int, body: bytes) -> None:
        self.pages[number] = body
        self.result_bytes += len(body)
        if self.result_bytes > MAX_RESULT_BYTES:
            raise InvalidResponse("a result of more bytes than any has")

    def next_page_to_request(self) -> int | None:
        """The number of a page to ask for now."""
        if (
            self.requested_page_count < self.page_count
            and self.requested_page_count - len(self.pages) < MAX_OUTSTANDING_PAGES
        ):
            self.requested_page_count += 1
            return self.requested_page_count - 1
        return None

    def missing_pages(self) -> list[int]:
        """Pages that were asked for and have not come."""
        return [number for number in range(1, self.requested_page_count) if number not in self.pages]

    def result(self) -> bytes:
        return b"".join(self.pages[number] for number in range(self.page_count))


def parse_fields(word: bytes) -> dict[bytes, bytes]:
    if word in (b"-", b""):
        return {}
    return dict(part.partition(b"=")[::2] for part in word.split(b","))


def parse_count(value: bytes | None, most: int) -> int:
    if value is None or not value.isdigit() or len(value) > 9 or int(value) > most:
        raise InvalidResponse(f"no count: {value!r}")
    return int(value)


def parse_measurement(value: bytes | None) -> float:
    """A figure that teaches; what makes no sense teaches nothing."""
    try:
        number = float(value or b"0")
    except ValueError:
        return 0.0
    return number if 0.0 <= number < math.inf else 0.0


def check_page(page: bytes) -> None:
    """Whole rows of three columns, as text. What is left of them without the columns' contents tells."""
    marks = page.translate(None, _CONTENTS)
    if len(page) > MAX_PAGE_BYTES or marks != b"\t\t\n" * (len(marks) // 3) or page[-1:] not in (b"\n", b""):
        raise InvalidResponse("a page that is no whole rows")
    try:
        page.decode()
    except UnicodeDecodeError:
        raise InvalidResponse("a page that is no text") from None

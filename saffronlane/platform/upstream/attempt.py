"""One attempt under way, and the pages of its result."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...engines.executor import Attempt
from ..errors import Spoilt
from ..statement import Statement

if TYPE_CHECKING:
    from .connection import NodeConnection

MOST_PAGE, MOST_RESULT = 6_000, 48_000  # bytes, as the protocol has it
AHEAD = 8  # pages asked for at once: a result is about that many
_CONTENTS = bytes(byte for byte in range(256) if byte not in b"\t\n")


@dataclass(slots=True, eq=False)
class Sending(Attempt):
    """One attempt under way."""

    link: NodeConnection | None = None
    left_at: float = 0.0  # when it was handed to its connection; 0: it still waits for that
    ends_at: int = 0  # bytes of its connection up to its last one
    over: bool = False
    put_off: int = 0  # times that it waited for its client to be read
    relinked: bool = False  # its first connection closed before it left
    timer: asyncio.TimerHandle | None = None
    pages: dict[int, bytes] = field(default_factory=dict)
    sheets: int = 0  # pages of the whole result; 0: its first one has not come
    asked: int = 0
    size: int = 0
    pages_timer: asyncio.TimerHandle | None = None
    work: float = 0.0
    memory_mb: float = 0.0

    @property
    def statement(self) -> Statement:
        statement: Statement = self.request.work
        return statement

    @property
    def may_have_run(self) -> bool:
        """Whether its node can have it whole: only then can it have run there."""
        return bool(self.left_at) and self.link is not None and self.link.stream.bytes_written >= self.ends_at

    @property
    def whole(self) -> bool:
        return bool(self.sheets) and len(self.pages) == self.sheets

    def first(self, named: dict[bytes, bytes], body: bytes) -> None:
        """Its answer: the first page, and what the whole is."""
        sheets = count(named.get(b"sheets", b"1"), MOST_RESULT)
        if not sheets or (sheets > 1 and not body):
            raise Spoilt(f"{sheets} pages")
        check_page(body)
        self.work, self.memory_mb = figure(named.get(b"toil")) / 1000.0, figure(named.get(b"room"))
        self.sheets, self.asked = sheets, 1
        self._keep(0, body)

    def further(self, number: int, body: bytes) -> bool:
        """A further page; false: a second copy, or one that nobody asked for."""
        if number in self.pages or not 0 < number < self.asked:
            return False
        check_page(body)
        if not body:
            raise Spoilt("an empty page")
        self._keep(number, body)
        return True

    def _keep(self, number: int, body: bytes) -> None:
        self.pages[number] = body
        self.size += len(body)
        if self.size > MOST_RESULT:
            raise Spoilt("a result of more bytes than any has")

    def next_page(self) -> int | None:
        """The number of a page to ask for now."""
        if self.asked < self.sheets and self.asked - len(self.pages) < AHEAD:
            self.asked += 1
            return self.asked - 1
        return None

    def missing(self) -> list[int]:
        """Pages that were asked for and have not come."""
        return [number for number in range(1, self.asked) if number not in self.pages]

    def result(self) -> bytes:
        return b"".join(self.pages[number] for number in range(self.sheets))


def fields(word: bytes) -> dict[bytes, bytes]:
    if word in (b"-", b""):
        return {}
    return dict(part.partition(b"=")[::2] for part in word.split(b","))


def count(value: bytes | None, most: int) -> int:
    if value is None or not value.isdigit() or len(value) > 9 or int(value) > most:
        raise Spoilt(f"no count: {value!r}")
    return int(value)


def figure(value: bytes | None) -> float:
    """A figure that teaches; what makes no sense teaches nothing."""
    try:
        number = float(value or b"0")
    except ValueError:
        return 0.0
    return number if 0.0 <= number < math.inf else 0.0


def check_page(page: bytes) -> None:
    """Whole rows of three columns, as text. What is left of them without the columns' contents tells."""
    marks = page.translate(None, _CONTENTS)
    if len(page) > MOST_PAGE or marks != b"\t\t\n" * (len(marks) // 3) or page[-1:] not in (b"\n", b""):
        raise Spoilt("a page that is no whole rows")
    try:
        page.decode()
    except UnicodeDecodeError:
        raise Spoilt("a page that is no text") from None

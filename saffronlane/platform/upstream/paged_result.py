"""A result that arrives in pages, checked page by page."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import InvalidResponse

MAX_PAGE_BYTES = 6_000
MAX_RESULT_BYTES = 48_000
MAX_OUTSTANDING_PAGES = 8
_CELL_CONTENTS = bytes(byte for byte in range(256) if byte not in b"\t\n")
_ROW_SEPARATORS = b"\t\t\n"


@dataclass(slots=True, eq=False)
class PagedResult:
    """The pages of one result.

    Attributes:
        page_count: of the whole result; 0 until its first page has arrived.
        requested_page_count: pages that were asked for, the first among them.
    """

    page_count: int = 0
    requested_page_count: int = 0
    _pages: dict[int, bytes] = field(default_factory=dict)
    _bytes: int = 0

    @property
    def received_page_count(self) -> int:
        """Pages that have arrived."""
        return len(self._pages)

    @property
    def is_complete(self) -> bool:
        """Whether all pages have arrived."""
        return bool(self.page_count) and len(self._pages) == self.page_count

    def add_first_page(self, page_count: int, page: bytes) -> None:
        """Store page 0, which says how many there are.

        Raises:
            InvalidResponse: where the page or the count is not allowed.
        """
        if not page_count or (page_count > 1 and not page):
            raise InvalidResponse(
                f"expected rows on the first page, found {len(page)} bytes of {page_count} pages"
            )
        check_page(page)
        self.page_count = page_count
        self.requested_page_count = 1
        self._store(0, page)

    def add_page(self, number: int, page: bytes) -> bool:
        """Store a further page; false where it is a duplicate or was not requested.

        Raises:
            InvalidResponse: where the page is not allowed.
        """
        is_requested = 0 < number < self.requested_page_count
        if number in self._pages or not is_requested:
            return False
        check_page(page)
        if not page:
            raise InvalidResponse(f"expected rows on page {number}, found none")
        self._store(number, page)
        return True

    def _store(self, number: int, page: bytes) -> None:
        self._pages[number] = page
        self._bytes += len(page)
        if self._bytes > MAX_RESULT_BYTES:
            raise InvalidResponse(f"expected at most {MAX_RESULT_BYTES} bytes, found {self._bytes}")

    def next_page_to_request(self) -> int | None:
        """Claim the number of a page to request now; None while enough are outstanding."""
        outstanding = self.requested_page_count - len(self._pages)
        if self.requested_page_count >= self.page_count or outstanding >= MAX_OUTSTANDING_PAGES:
            return None
        number = self.requested_page_count
        self.requested_page_count += 1
        return number

    def missing_pages(self) -> list[int]:
        """Numbers of the pages that were requested and have not arrived."""
        return [number for number in range(1, self.requested_page_count) if number not in self._pages]

    def content(self) -> bytes:
        """The whole result; all pages must have arrived."""
        return b"".join(self._pages[number] for number in range(self.page_count))


def check_page(page: bytes) -> None:
    """Check that a page is whole rows of three text columns.

    Raises:
        InvalidResponse: where it is not, or is too long.
    """
    separators = page.translate(None, _CELL_CONTENTS)
    row_count = len(separators) // len(_ROW_SEPARATORS)
    has_whole_rows = separators == _ROW_SEPARATORS * row_count and page[-1:] in (b"\n", b"")
    if len(page) > MAX_PAGE_BYTES or not has_whole_rows:
        raise InvalidResponse(
            f"expected whole rows of three columns in {MAX_PAGE_BYTES} bytes, found {len(page)} bytes"
        )
    try:
        page.decode()
    except UnicodeDecodeError as error:
        raise InvalidResponse(f"expected a page in UTF-8, found {error}") from error

"""A result that arrives in pages, each of which is checked on arrival."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import InvalidResponse

MAX_PAGE_BYTES = 6_000
MAX_RESULT_BYTES = 48_000
MAX_OUTSTANDING_PAGES = 8
_CELL_BYTES = bytes(byte for byte in range(256) if byte not in b"\t\n")
_ROW_SEPARATORS = b"\t\t\n"


@dataclass(slots=True, eq=False)
class PagedResult:
    """The pages of one result.

    Attributes:
        page_count: The number of pages of the whole result; 0 until the first page has arrived.
        requested_page_count: The number of pages requested so far, including the first.
    """

    page_count: int = 0
    requested_page_count: int = 0
    _pages: dict[int, bytes] = field(default_factory=dict)
    _byte_count: int = 0

    @property
    def received_page_count(self) -> int:
        """The number of pages that have arrived."""
        return len(self._pages)

    @property
    def is_complete(self) -> bool:
        """Whether all pages have arrived."""
        return bool(self.page_count) and len(self._pages) == self.page_count

    def add_first_page(self, page_count: int, page: bytes) -> None:
        """Store page 0, whose response states the page count.

        Raises:
            InvalidResponse: The page or the page count is invalid.
        """
        if not page_count or (page_count > 1 and not page):
            raise InvalidResponse(
                f"page 0: expected rows and at least one page, found {len(page)} bytes and {page_count} pages"
            )
        check_page(page)
        self.page_count = page_count
        self.requested_page_count = 1
        self._store(0, page)

    def add_page(self, number: int, page: bytes) -> bool:
        """Store a further page; return False if it is a duplicate or was not requested.

        Raises:
            InvalidResponse: The page is invalid.
        """
        is_requested = 0 < number < self.requested_page_count
        if number in self._pages or not is_requested:
            return False
        check_page(page)
        if not page:
            raise InvalidResponse(f"page {number}: expected rows, found an empty page")
        self._store(number, page)
        return True

    def _store(self, number: int, page: bytes) -> None:
        self._pages[number] = page
        self._byte_count += len(page)
        if self._byte_count > MAX_RESULT_BYTES:
            raise InvalidResponse(
                f"result: expected at most {MAX_RESULT_BYTES} bytes, found {self._byte_count}"
            )

    def next_page_to_request(self) -> int | None:
        """Count the next page as requested and return its number; None if no page should be requested now."""
        outstanding = self.requested_page_count - len(self._pages)
        if self.requested_page_count >= self.page_count or outstanding >= MAX_OUTSTANDING_PAGES:
            return None
        number = self.requested_page_count
        self.requested_page_count += 1
        return number

    def missing_pages(self) -> list[int]:
        """Return the numbers of the pages that were requested and have not arrived."""
        return [number for number in range(1, self.requested_page_count) if number not in self._pages]

    def content(self) -> bytes:
        """Return the whole result; all pages must have arrived."""
        return b"".join(self._pages[number] for number in range(self.page_count))


def check_page(page: bytes) -> None:
    """Check that a page consists of whole rows with three text columns.

    Raises:
        InvalidResponse: The page has another form, is too long or is not valid UTF-8.
    """
    separators = page.translate(None, _CELL_BYTES)
    row_count = len(separators) // len(_ROW_SEPARATORS)
    has_whole_rows = separators == _ROW_SEPARATORS * row_count and page[-1:] in (b"\n", b"")
    if len(page) > MAX_PAGE_BYTES or not has_whole_rows:
        raise InvalidResponse(
            f"page: expected whole rows of three columns in {MAX_PAGE_BYTES} bytes, found {len(page)} bytes"
        )
    try:
        page.decode()
    except UnicodeDecodeError as error:
        raise InvalidResponse(f"page is not valid UTF-8: {error}") from error

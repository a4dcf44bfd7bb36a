"""The wire protocol of compute nodes: its words, under the names that the rest of the package uses."""

from __future__ import annotations

import math
from typing import NamedTuple

from ...resp import encode_command
from ..errors import InvalidResponse
from ..statement import Statement

# Commands.
EXECUTE = b"fetch"
CANCEL = b"abort"
FETCH_PAGE = b"more"
RELEASE_PAGES = b"done"
HEALTH_CHECK = b"alive"
LOAD_PROBE = b"stats"

# Fields of a request.
QUERY_CLASS = b"c"
TIMEOUT_MS = b"w"
IDEMPOTENCY_KEY = b"i"
MEMORY_GRANT_MB = b"allot"

# Statuses of a response.
COMPLETED = b"DONE"
PAGE = b"MORE"
REJECTED = b"WAIT"
NOT_RUN = b"PAST"
FAILED = b"BROKE"
HEALTHY = b"FIT"
UNHEALTHY = b"UNFIT"

# Fields of a response.
PAGE_COUNT = b"sheets"
PAGE_NUMBER = b"sheet"
WORK_MS = b"toil"
MEMORY_MB = b"room"

NO_FIELDS = b"-"
WORDS_PER_RESPONSE = 4
MAX_COUNT_DIGITS = 9


class Response(NamedTuple):
    """One response to an attempt."""

    status: bytes
    fields: dict[bytes, bytes]
    body: bytes

    @classmethod
    def parse(cls, words: list[bytes]) -> Response:
        """Read a response.

        Raises:
            InvalidResponse: where it has not four words.
        """
        if len(words) != WORDS_PER_RESPONSE:
            raise InvalidResponse(f"expected {WORDS_PER_RESPONSE} words, found {len(words)}")
        _, status, fields, body = words
        return cls(status, parse_fields(fields), body)


def execute_command(statement: Statement, timeout: float, memory_grant_mb: float) -> bytes:
    """The command that begins an attempt.

    Args:
        statement: passed on unchanged.
        timeout: seconds that the attempt may take.
        memory_grant_mb: below one, the compute node chooses by itself.
    """
    fields = [
        QUERY_CLASS + b"=" + statement.query_class,
        TIMEOUT_MS + b"=%d" % max(1, round(timeout * 1000.0)),
    ]
    if statement.idempotency_key:
        fields.append(IDEMPOTENCY_KEY + b"=" + statement.idempotency_key)
    if memory_grant_mb >= 1.0:
        fields.append(MEMORY_GRANT_MB + b"=%d" % round(memory_grant_mb))
    return encode_command(EXECUTE, statement.request_id, b",".join(fields), statement.body)


def cancel_command(request_id: bytes) -> bytes:
    """The command that gives an attempt up; it has no response."""
    return encode_command(CANCEL, request_id)


def fetch_page_command(request_id: bytes, page_number: int) -> bytes:
    """The command that asks for a further page of a result, counted from 1."""
    return encode_command(FETCH_PAGE, request_id, b"%d" % page_number)


def release_pages_command(request_id: bytes) -> bytes:
    """The command that lets a compute node drop the pages of a result; it has no response."""
    return encode_command(RELEASE_PAGES, request_id)


def probe_command(tag: bytes, with_load_report: bool) -> bytes:
    """The command of a health check or, with a load report in its response, of a load probe."""
    return encode_command(LOAD_PROBE if with_load_report else HEALTH_CHECK, tag)


def parse_fields(word: bytes) -> dict[bytes, bytes]:
    """The fields `name=value,name=value`."""
    if word in (NO_FIELDS, b""):
        return {}
    return dict(part.partition(b"=")[::2] for part in word.split(b","))


def parse_count(value: bytes | None, maximum: int) -> int:
    """A count in decimal digits.

    Raises:
        InvalidResponse: where it is missing, not a number or above the maximum.
    """
    if value is None or not value.isdigit() or len(value) > MAX_COUNT_DIGITS or int(value) > maximum:
        raise InvalidResponse(f"expected a count of at most {maximum}, found {value!r}")
    return int(value)


def parse_measurement(value: bytes | None) -> float:
    """A measured figure; 0 where it is missing or makes no sense, since estimates ignore 0."""
    try:
        number = float(value or b"0")
    except ValueError:
        return 0.0
    return number if 0.0 <= number < math.inf else 0.0

"""The wire protocol of compute nodes.

The names of commands, fields and statuses on the wire are written here only; the rest of the package uses the
constants.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ...resp import encode_command, encode_command_parts
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
ELEMENTS_PER_RESPONSE = 4
MAX_COUNT_DIGITS = 9
MAX_COPIED_BYTES = 16_384  # a longer statement is not copied into the command


class Response(NamedTuple):
    """One response to an attempt."""

    status: bytes
    fields: dict[bytes, bytes]
    body: bytes

    @classmethod
    def parse(cls, elements: list[bytes]) -> Response:
        """Parse the elements of a response.

        Raises:
            InvalidResponse: The number of elements is wrong.
        """
        if len(elements) != ELEMENTS_PER_RESPONSE:
            raise InvalidResponse(
                f"response: expected {ELEMENTS_PER_RESPONSE} elements, found {len(elements)}"
            )
        _, status, fields, body = elements
        return cls(status, parse_fields(fields), body)


def execute_command(statement: Statement, timeout: float, memory_grant_mb: float) -> list[bytes]:
    """Encode the command that starts an attempt, in parts of which a long statement is one, not copied.

    Args:
        statement: The statement, which is passed on unchanged.
        timeout: The timeout of the attempt, in seconds.
        memory_grant_mb: The memory granted to the attempt, in MB; below 1, the compute node chooses the
            amount.
    """
    fields = [
        QUERY_CLASS + b"=" + statement.query_class,
        TIMEOUT_MS + b"=%d" % max(1, round(timeout * 1000.0)),
    ]
    if statement.idempotency_key:
        fields.append(IDEMPOTENCY_KEY + b"=" + statement.idempotency_key)
    if memory_grant_mb >= 1.0:
        fields.append(MEMORY_GRANT_MB + b"=%d" % round(memory_grant_mb))
    elements = EXECUTE, statement.request_id, b",".join(fields), statement.body
    if len(statement.body) <= MAX_COPIED_BYTES:
        return [encode_command(*elements)]
    return encode_command_parts(*elements)


def cancel_command(request_id: bytes) -> bytes:
    """Encode the command that cancels an attempt; it has no response."""
    return encode_command(CANCEL, request_id)


def fetch_page_command(request_id: bytes, page_number: int) -> bytes:
    """Encode the command that requests a page of a result; the first page, number 0, needs no request."""
    return encode_command(FETCH_PAGE, request_id, b"%d" % page_number)


def release_pages_command(request_id: bytes) -> bytes:
    """Encode the command after which a compute node may drop the pages of a result; it has no response."""
    return encode_command(RELEASE_PAGES, request_id)


def probe_command(tag: bytes, with_load_report: bool) -> bytes:
    """Encode a load probe, whose response contains a load report, or a health check without one."""
    return encode_command(LOAD_PROBE if with_load_report else HEALTH_CHECK, tag)


def parse_fields(encoded: bytes) -> dict[bytes, bytes]:
    """Parse fields of the form `name=value,name=value`."""
    if encoded in (NO_FIELDS, b""):
        return {}
    return dict(part.partition(b"=")[::2] for part in encoded.split(b","))


def parse_count(value: bytes | None, maximum: int) -> int:
    """Parse a count in decimal digits.

    Raises:
        InvalidResponse: The value is missing, not a number or above the maximum.
    """
    if value is None or not value.isdigit() or len(value) > MAX_COUNT_DIGITS or int(value) > maximum:
        raise InvalidResponse(f"expected a count of at most {maximum}, found {value!r}")
    return int(value)


def parse_measurement(value: bytes | None) -> float:
    """Parse a measured value; return 0, which estimates ignore, if it is missing or invalid."""
    try:
        number = float(value or b"0")
    except ValueError:
        return 0.0
    return number if 0.0 <= number < math.inf else 0.0

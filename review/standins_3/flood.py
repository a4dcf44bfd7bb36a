"""Bad clients, as a process of their own.

Each sends hundreds of requests at once, reads all that it is sent, and does the same again as soon as it is
turned away.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
import mp

PORT, CLIENTS, REQUESTS, BODY_BYTES, SECONDS = (int(text) for text in sys.argv[1:6])


def requests() -> bytes:
    """One client's requests, as one piece."""
    body = b"INSERT INTO staging.batch VALUES (1,2,3)"
    body += b",(4,5,6)" * ((BODY_BYTES - len(body)) // 8)
    parts = []
    for number in range(1, REQUESTS + 1):
        fields = {"rid": secrets.token_hex(8), "budget": "3000", "acct": "acme", "est": "50.0", "memory": "4"}
        parts.append(mp.pack([0, number, "report", [fields, body]]))
    return b"".join(parts)


async def bad_client(stop_at: float, totals: dict[str, int]) -> None:
    """Send, read, and do the same again until the end."""
    loop = asyncio.get_running_loop()
    while loop.time() < stop_at:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        totals["connections"] += 1
        writer.write(requests())
        try:
            async with asyncio.timeout_at(stop_at):
                while await reader.read(65_536):
                    pass
        except (ConnectionError, TimeoutError):
            pass
        writer.transport.abort()


async def main() -> None:
    """Play the case and return its verdict."""
    stop_at = asyncio.get_running_loop().time() + SECONDS
    totals = {"connections": 0}
    await asyncio.gather(*(bad_client(stop_at, totals) for _ in range(CLIENTS)))
    print("connections", totals["connections"])


asyncio.run(main())

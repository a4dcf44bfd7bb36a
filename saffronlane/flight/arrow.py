"""Converts Arrow data to FlightData messages.

The functions need pyarrow, which no other part of the gateway needs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..proto import flight_pb2 as flight

if TYPE_CHECKING:
    import pyarrow as pa


def flight_data(schema: pa.Schema, batches: list[pa.RecordBatch]) -> list[bytes]:
    """Return the schema and the batches as serialized FlightData messages, in the order of sending."""
    import pyarrow as pa

    sink = pa.BufferOutputStream()
    with pa.ipc.new_stream(sink, schema) as writer:
        for batch in batches:
            writer.write_batch(batch)
    reader = pa.ipc.MessageReader.open_stream(pa.BufferReader(sink.getvalue()))
    messages: list[bytes] = []
    while True:
        try:
            message = reader.read_next_message()
        except StopIteration:
            return messages
        body = message.body.to_pybytes() if message.body is not None else b""
        data = flight.FlightData(data_header=message.metadata.to_pybytes(), data_body=body)
        messages.append(data.SerializeToString())


def sql_info(info_codes: list[int]) -> list[bytes]:
    """Return the result of CommandGetSqlInfo as serialized FlightData messages.

    Args:
        info_codes: The SqlInfo codes that the client requests. If empty, all supported codes are returned.
    """
    import pyarrow as pa

    from .. import __version__

    union_members = [
        ("string_value", pa.string()),
        ("bool_value", pa.bool_()),
        ("bigint_value", pa.int64()),
        ("int32_bitmask", pa.int32()),
        ("string_list", pa.list_(pa.string())),
        ("int32_to_int32_list_map", pa.map_(pa.int32(), pa.list_(pa.int32()))),
    ]
    # SqlInfo of FlightSql.proto: 0 name, 1 version, 2 Arrow version, 3 read-only, 4 SQL, 5 Substrait,
    # 8 transactions, 9 cancel, 100 statement timeout, 101 transaction timeout.
    info_by_code: dict[int, tuple[int, object]] = {  # index in `union_members` and value
        0: (0, "saffronlane"),
        1: (0, __version__),
        2: (0, pa.__version__),
        3: (1, False),
        4: (1, True),
        5: (1, False),
        8: (3, 0),
        9: (1, True),
        100: (3, 0),
        101: (3, 0),
    }
    requested = {code: info for code, info in info_by_code.items() if not info_codes or code in info_codes}
    children: list[list[object]] = [[] for _ in union_members]
    offsets = []
    for member, value in requested.values():
        offsets.append(len(children[member]))
        children[member].append(value)
    union = pa.UnionArray.from_dense(
        pa.array([member for member, _ in requested.values()], pa.int8()),
        pa.array(offsets, pa.int32()),
        [pa.array(child, arrow_type) for child, (_, arrow_type) in zip(children, union_members, strict=True)],
        [name for name, _ in union_members],
    )
    schema = pa.schema(
        [pa.field("info_name", pa.uint32(), nullable=False), pa.field("value", union.type, nullable=False)]
    )
    batch = pa.RecordBatch.from_arrays([pa.array(list(requested), pa.uint32()), union], schema=schema)
    return flight_data(schema, [batch])

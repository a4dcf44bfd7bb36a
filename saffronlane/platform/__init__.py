"""The platform server: connects the dispatcher to MessagePack-RPC clients and RESP engines.

It translates protocols and makes no scheduling decisions; see docs/platform.md. Little memory is available,
so nothing in this package may import gRPC, protobuf, pyarrow or sqlglot.
"""

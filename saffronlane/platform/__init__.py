"""The platform server: the dispatcher behind MessagePack-RPC clients and RESP engines.

It translates protocols and makes no scheduling decisions; see docs/platform.md. Nothing here may import gRPC,
protobuf, pyarrow or sqlglot, since little memory is available.
"""

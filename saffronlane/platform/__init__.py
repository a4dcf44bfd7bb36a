"""The platform node: the same dispatcher behind MessagePack-RPC clients and RESP compute nodes.

It translates and decides nothing. See docs/platform.md. Nothing here may load gRPC, protobuf, pyarrow or
sqlglot: a node has little memory.
"""

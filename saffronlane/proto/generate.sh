#!/bin/bash
# Makes *_pb2.py and *_pb2.pyi from the .proto files; needs grpcio-tools in the current environment.
set -euo pipefail
cd "$(dirname "$0")"
python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. *.proto

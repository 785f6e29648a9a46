#!/usr/bin/env bash
# Regenerates the committed gRPC code in src/peer/generated. Needs the package
# protobuf-compiler-grpc; the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/../src/peer"
protoc --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peers.proto

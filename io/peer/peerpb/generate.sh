#!/usr/bin/env bash
# Generates the Go code from peer.proto with the plugins that go.mod names.
# Needs protoc; the build does not, since the generated code is committed.
set -euo pipefail
cd "$(dirname "$0")"
protoc \
  --plugin=protoc-gen-go="$(go tool -n protoc-gen-go)" \
  --plugin=protoc-gen-twirp="$(go tool -n protoc-gen-twirp)" \
  --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto

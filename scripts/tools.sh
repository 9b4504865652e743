#!/usr/bin/env bash
# Installs the pinned tools that are missing. A second run does nothing.
set -euo pipefail
PATH="$(go env GOPATH)/bin:$PATH"
have() { command -v "$1" >/dev/null && [ "$("$@" 2>&1 | grep -c "$want")" -gt 0 ]; }
want=2.15.0 have golangci-lint version || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
want=v1.36.12 have protoc-gen-go --version || go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
command -v protoc-gen-twirp >/dev/null || go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
command -v protoc >/dev/null || { apt-get update && apt-get install -y --no-install-recommends protobuf-compiler; }

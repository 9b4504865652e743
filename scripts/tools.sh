#!/usr/bin/env bash
# Installs the tools that are missing. golangci-lint and protoc-gen-go are also installed if
# they have another version than the pinned one. A second run does nothing.
set -euo pipefail
PATH="$(go env GOPATH)/bin:$PATH"
# installed COMMAND ARGUMENT reports whether the command prints the version in $version.
installed() { command -v "$1" >/dev/null && [ "$("$@" 2>&1 | grep -c "$version")" -gt 0 ]; }
version=2.15.0 installed golangci-lint version || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
version=v1.36.12 installed protoc-gen-go --version || go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
command -v protoc-gen-twirp >/dev/null || go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
command -v protoc >/dev/null || { apt-get update && apt-get install -y --no-install-recommends protobuf-compiler; }

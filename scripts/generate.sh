#!/usr/bin/env bash
# Generates the Go code of internal/wire from its .proto files. Needs protoc 3.21,
# protoc-gen-go and protoc-gen-twirp.
set -euo pipefail
cd "$(dirname "$0")/../internal/wire"
PATH="$(go env GOPATH)/bin:$PATH"
protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative ./*.proto

#!/usr/bin/env bash
# Fails if the committed generated files differ from what the .proto files generate.
set -euo pipefail
cd "$(dirname "$0")/.."
committed=$(mktemp -d)
trap 'rm -rf "$committed"' EXIT
cp internal/wire/*.go "$committed"
scripts/generate.sh
diff -r "$committed" internal/wire --exclude='*.proto'

#!/usr/bin/env bash
# Fails where committed generated files differ from what the schema gives.
set -euo pipefail
cd "$(dirname "$0")/.."
kept=$(mktemp -d)
trap 'rm -rf "$kept"' EXIT
cp internal/wire/*.go "$kept"
scripts/generate.sh
diff -r "$kept" internal/wire --exclude='*.proto'

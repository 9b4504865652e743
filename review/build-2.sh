#!/usr/bin/env bash
# Builds the stand-ins of the second review: target/review-2-standin. It needs Go and no network. The programs of the deploy
# file are built by its own build line.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2-standin .

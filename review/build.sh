#!/bin/sh
# Builds the stand-ins of all scripts. The build of the deploy file comes before it.
set -e
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 go build -o ../../target/review-standin .

#!/bin/sh
# Plays the case once; see claim.txt. The build of the deploy file and review/build.sh come before it.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/parsleygate ] && [ -x target/review-standin ] || { echo "build first" >&2; exit 2; }
exec target/review-standin removed-control review/2

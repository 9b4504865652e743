#!/usr/bin/env bash
# Runs the test command of the README. If tests fail, the script succeeds only if each of them
# is named at the start of a line of KNOWN-RED.txt. It prints these lines.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
make test 2>&1 | tee "$out" && exit 0
[ -f KNOWN-RED.txt ] || exit 1
# Data races, panics and packages that do not build are never accepted as known failures.
if grep -qE 'DATA RACE|^panic:|\[build failed\]|\[setup failed\]' "$out"; then exit 1; fi
failed=$(grep -oE '^--- FAIL: [^ ]+' "$out" | cut -d' ' -f3 | sort -u)
[ -n "$failed" ] || exit 1
for test in $failed; do
  grep -q "^$test |" KNOWN-RED.txt || { echo "$test failed and is not in KNOWN-RED.txt"; exit 1; }
done
# A package can also fail without a failed test. There must not be more failed packages than
# failed tests.
packages=$(grep -cE $'^FAIL\t' "$out")
[ "$packages" -le "$(echo "$failed" | wc -l)" ] || exit 1
echo "== known failures of KNOWN-RED.txt, ignored"
for test in $failed; do grep "^$test |" KNOWN-RED.txt; done

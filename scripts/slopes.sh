#!/usr/bin/env bash
# Runs the benchmarks that docs/CAPACITY.md is calculated from: the cost of idle processes, and
# the slopes with which costs grow. Prints the results below the command that produced them.
# It takes about 15 minutes on two cores.
# Arguments limit the run to the named packages, for example: scripts/slopes.sh ledger routing
set -euo pipefail
cd "$(dirname "$0")/.."
export GOMAXPROCS="${GOMAXPROCS:-2}"
failed=0

# bench PACKAGE PATTERN TIME runs the benchmarks of one package that match the pattern.
bench() {
	local package=$1 pattern=$2 time=$3
	if [ ${#selected[@]} -gt 0 ] && [[ " ${selected[*]} " != *" $package "* ]]; then
		return
	fi
	echo "## go test -run xxx -bench '$pattern' -benchtime $time -benchmem ./internal/$package"
	local out
	if ! out=$(go test -timeout 10m -run xxx -bench "$pattern" -benchtime "$time" -benchmem "./internal/$package" 2>&1); then
		echo "$out"
		echo "FAILED: $package"
		failed=1
		return
	fi
	grep -E '^Benchmark' <<<"$out"
}

selected=("$@")
bench slopes 'View|Idle|Director' 1x
bench control 'Readers|FirstAnswer' 1x
bench control InForce 5x
bench ledger . 200x
bench replica Propose 200x
bench replica 'Read|Idle|CatchUp' 1x
bench quorum 'WithoutLeader|IdleMessages' 100x
bench admission . 1s
bench routing 'Choose$|ChoosePrefix' 1s
bench shares SubsetOf 1s
bench fairness 'Offer|Memory' 1s
bench prefix Memory 1x
bench placement Decide 20x
bench agent . 1s
bench local 'Path|OpenStreams' 2s
exit $failed

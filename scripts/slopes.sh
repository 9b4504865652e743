#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from, and prints them
# under the command that gave them. It takes some 15 minutes on two cores.
# With arguments it runs only the packages named, such as: scripts/slopes.sh ledger routing
set -euo pipefail
cd "$(dirname "$0")/.."
export GOMAXPROCS="${GOMAXPROCS:-2}"
failed=0

# slope runs the benchmarks of one package: package, pattern, time.
slope() {
	local package=$1 pattern=$2 time=$3
	if [ ${#wanted[@]} -gt 0 ] && [[ " ${wanted[*]} " != *" $package "* ]]; then
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

wanted=("$@")
slope slopes 'View|Idle|Director' 1x
slope control 'Readers|FirstAnswer' 1x
slope control InForce 5x
slope ledger . 200x
slope replica Propose 200x
slope replica 'Read|Idle|CatchUp' 1x
slope quorum 'WithoutLeader|IdleMessages' 100x
slope admission . 1s
slope routing 'Choose$|ChoosePrefix|SubsetOf' 1s
slope fairness 'Offer|Memory' 1s
slope prefix Memory 1x
slope placement Decide 20x
slope agent . 1s
slope local 'Path|OpenStreams' 2s
exit $failed

#!/usr/bin/env bash
# Measures the memory and CPU time of idle processes: three control VMs, and an entry and an
# agent that follow a configuration of 13,000 workspaces. It takes 40 s and uses loopback
# ports from 19710 on. It ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
declare -A pids
stop() {
	kill -TERM "${pids[@]}" 2>/dev/null || true
	wait || true
	rm -rf "$dir"
}
trap stop EXIT
go build -o "$dir/parsleygate" ./cmd/parsleygate
cd "$dir"

# start ROLE ID PORT writes the settings file of a process and starts the process.
start() {
	cat >"$2.ini" <<-INI
		[Process]
		Role = $1
		ID = $2
		Cluster = footprint
		Zone = z
		Region = r
		Address = 127.0.0.1:$3
		[Controls]
		control-1 = 127.0.0.1:19710
		control-2 = 127.0.0.1:19711
		control-3 = 127.0.0.1:19712
	INI
	if [ "$1" = control ]; then
		printf '[Control]\nDataFolder = %s/data-%s\n' "$dir" "$2" >>"$2.ini"
	fi
	./parsleygate "$1" "$2.ini" >"$2.log" 2>&1 &
	pids[$2]=$!
}

# cpu_ticks ID prints the user and system CPU time of a process in clock ticks.
cpu_ticks() { awk '{print $14+$15}' "/proc/${pids[$1]}/stat"; }

start control control-1 19710
start control control-2 19711
start control control-3 19712
start entry entry-1 19721
start agent agent-1 19752
sleep 5
for i in $(seq 13000); do printf '[Workspace "workspace-%s"]\nWeight = 3\n' "$i"; done >many.ini
controls=127.0.0.1:19710,127.0.0.1:19711,127.0.0.1:19712
plan=$(./parsleygate plan -f many.ini --control $controls --operator footprint | grep -o 'confirm P[0-9]*' | cut -d' ' -f2)
./parsleygate confirm "$plan" --control $controls --operator footprint >confirmed
./parsleygate status --control $controls
sleep 5
declare -A ticks_before
for id in "${!pids[@]}"; do ticks_before[$id]=$(cpu_ticks "$id"); done
sleep 20
ticks_per_second=$(getconf CLK_TCK)
for id in control-1 control-2 control-3 entry-1 agent-1; do
	used=$(($(cpu_ticks "$id") - ticks_before[$id]))
	resident_kb=$(awk '/VmRSS/ {print $2}' "/proc/${pids[$id]}/status")
	awk -v id="$id" -v kb="$resident_kb" -v used="$used" -v hz="$ticks_per_second" \
		'BEGIN {printf "%-10s %5.1f MB  %.2f%% of a core\n", id, kb/1024, 100*used/hz/20}'
done

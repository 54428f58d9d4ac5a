#!/usr/bin/env bash
# Measures the overhead of a daemon: memory and CPU time while idle, then the time to first token
# that it adds to direct calls to the same engine.
# Usage: measure-path.sh [REQUESTS]
set -euo pipefail
root="$(cd "$(dirname "$0")" && pwd)"
requests="${1:-1000}"
idle_seconds=20
scenario="$root/scenarios/path/path.json"

(cd "$root" && cargo build --release --locked --workspace)
# shellcheck source=scripts/fleet.sh
source "$root/scripts/fleet.sh"

start_stand_ins "$scenario"
start_daemons "$scenario"
# Lets the work of the start-up end first, since the daemons are measured while idle.
sleep 3
ticks_per_second="$(getconf CLK_TCK)"
declare -A ticks_before
for name in "${!daemons[@]}"; do
    ticks_before[$name]="$(cpu_ticks "${daemons[$name]}")"
done
sleep "$idle_seconds"
echo "| daemon | VmRSS while idle, kB | CPU over $idle_seconds s, % of a core |"
echo "| --- | ---: | ---: |"
for name in "${!daemons[@]}"; do
    pid="${daemons[$name]}"
    ticks_used=$(($(cpu_ticks "$pid") - ticks_before[$name]))
    rss_kb="$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")"
    # In hundredths of a percent, as the shell has integers only.
    cpu_share=$((ticks_used * 10000 / (ticks_per_second * idle_seconds)))
    printf '| %s | %s | %d.%02d |\n' "$name" "$rss_kb" $((cpu_share / 100)) $((cpu_share % 100))
done
echo
"$bin/lacewingspring_standins" load --scenario "$scenario" --compare-direct --requests "$requests"

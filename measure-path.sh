#!/usr/bin/env bash
# Measures what a daemon costs: memory and CPU while idle, then the time it adds to the first token
# against direct calls to the same engine.
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
sleep 3
hertz="$(getconf CLK_TCK)"
declare -A before
for name in "${!daemons[@]}"; do
    before[$name]="$(ticks "${daemons[$name]}")"
done
sleep "$idle_seconds"
echo "| daemon | VmRSS while idle, kB | CPU over $idle_seconds s, % of a core |"
echo "| --- | ---: | ---: |"
for name in "${!daemons[@]}"; do
    pid="${daemons[$name]}"
    used=$(($(ticks "$pid") - before[$name]))
    rss="$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status")"
    # Hundredths of a percent, printed with a point.
    share=$((used * 10000 / (hertz * idle_seconds)))
    printf '| %s | %s | %d.%02d |\n' "$name" "$rss" $((share / 100)) $((share % 100))
done
echo
"$bin/lacewingspring_standins" load --scenario "$scenario" --compare-direct --requests "$requests"

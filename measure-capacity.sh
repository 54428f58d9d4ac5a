#!/usr/bin/env bash
# Makes the measurements of docs/CAPACITY.md again: state, messages and processor time of each role
# at growing sizes, then idle fleets of real daemons. Takes under four minutes once it is built.
# Usage: measure-capacity.sh
set -euo pipefail
root="$(cd "$(dirname "$0")" && pwd)"
idle_seconds=10
# Daemons and workspaces of each fleet.
fleets=("3 2" "6 2" "9 2" "15 2" "3 10" "3 20" "3 30")

cd "$root"
cargo build --release --locked --workspace -j 4
cargo build --release --locked -j 4 -p lacewingspring_core -p lacewingspring --examples
# shellcheck source=scripts/fleet.sh
source "$root/scripts/fleet.sh"

# Writes a scenario of idle daemons in three data centres.
write_scenario() {
    local i comma="" workspaces=""
    for ((i = 0; i < $2; i++)); do
        workspaces+="$comma{\"name\":\"workspace-$i\",\"token\":\"token-$i\",\"share\":1}"
        comma=","
    done
    sed -n '1,/"workspaces"/p' scenarios/path/deployment.json \
        | sed -e "s/\"instances\": [0-9]*/\"instances\": $1/" \
            -e 's/"127[.0-9]*"/"127.83.51.1"/' \
            -e 's/^    "east"/    "east", "west", "south"/' \
            -e "s/\"workspaces\": \[/\"workspaces\": [$workspaces],/" > "$work/deployment.json"
    sed -n '/"classes"/,$p' scenarios/path/deployment.json >> "$work/deployment.json"
    cp scenarios/path/path.json "$work/path.json"
}

# Prints mean memory and processor time of the daemons of an idle fleet.
measure_fleet() {
    write_scenario "$1" "$2"
    start_stand_ins "$work/path.json"
    start_daemons "$work/path.json"
    sleep 4
    local name used=0 rss=0 count=$1 hertz calls
    hertz="$(getconf CLK_TCK)"
    declare -A before
    for name in "${!daemons[@]}"; do before[$name]="$(ticks "${daemons[$name]}")"; done
    calls="$(key_value_calls)"
    sleep "$idle_seconds"
    for name in "${!daemons[@]}"; do
        used=$((used + $(ticks "${daemons[$name]}") - before[$name]))
        rss=$((rss + $(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${daemons[$name]}/status")))
    done
    # Hundredths of a percent, printed with a point.
    local share=$((used * 10000 / (hertz * idle_seconds * count)))
    printf '| %d | %d | %d | %d.%02d | %s -> %s |\n' "$1" "$2" $((rss / count)) \
        $((share / 100)) $((share % 100)) "$calls" "$(key_value_calls)"
    stop_all
}

# Calls that the key-value stand-in has counted.
key_value_calls() {
    exec 3<> /dev/tcp/127.83.51.1/2379
    printf 'GET /calls HTTP/1.1\r\nHost: key-value\r\nConnection: close\r\n\r\n' >&3
    tail -n 1 <&3 | tr -d '\r'
    exec 3>&-
}

echo "load average of the machine: $(cut -d ' ' -f 1-3 /proc/loadavg), $(nproc) cores"
echo
"$bin/examples/capacity_state"
echo
"$bin/examples/capacity_wire"
echo
timeout 120 "$bin/examples/gossip_bytes" || echo "not finished in 120 s"
echo
"$bin/examples/decision_cost"
echo
echo "| daemons | workspaces | VmRSS, kB | idle CPU, % of a core | key-value calls over $idle_seconds s |"
echo "| ---: | ---: | ---: | ---: | --- |"
for fleet in "${fleets[@]}"; do
    # shellcheck disable=SC2086
    measure_fleet $fleet
done

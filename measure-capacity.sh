#!/usr/bin/env bash
# Repeats the measurements of docs/CAPACITY.md: state, messages and CPU time of each role at growing
# sizes, then memory and CPU time of idle fleets of real daemons. Takes under four minutes after the
# build.
# Usage: measure-capacity.sh
set -euo pipefail
root="$(cd "$(dirname "$0")" && pwd)"
idle_seconds=10
# Numbers of daemons and workspaces of each fleet.
fleet_sizes=("3 2" "6 2" "9 2" "15 2" "3 10" "3 20" "3 30")

cd "$root"
cargo build --release --locked --workspace -j 4
cargo build --release --locked -j 4 -p lacewingspring_core -p lacewingspring --examples
# shellcheck source=scripts/fleet.sh
source "$root/scripts/fleet.sh"

# Writes a scenario with $1 idle daemons in three data centres and $2 workspaces.
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

# Prints a table row for $1 idle daemons with $2 workspaces: mean memory and CPU time of a daemon,
# and the count of key-value calls before and after.
measure_fleet() {
    write_scenario "$1" "$2"
    start_stand_ins "$work/path.json"
    start_daemons "$work/path.json"
    # Lets the work of the start-up end first, since the daemons are measured while idle.
    sleep 4
    local name ticks_used=0 rss_kb=0 count=$1 ticks_per_second calls
    ticks_per_second="$(getconf CLK_TCK)"
    declare -A ticks_before
    for name in "${!daemons[@]}"; do ticks_before[$name]="$(cpu_ticks "${daemons[$name]}")"; done
    calls="$(key_value_calls)"
    sleep "$idle_seconds"
    for name in "${!daemons[@]}"; do
        ticks_used=$((ticks_used + $(cpu_ticks "${daemons[$name]}") - ticks_before[$name]))
        rss_kb=$((rss_kb + $(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${daemons[$name]}/status")))
    done
    # In hundredths of a percent, as the shell has integers only.
    local cpu_share=$((ticks_used * 10000 / (ticks_per_second * idle_seconds * count)))
    printf '| %d | %d | %d | %d.%02d | %s -> %s |\n' "$1" "$2" $((rss_kb / count)) \
        $((cpu_share / 100)) $((cpu_share % 100)) "$calls" "$(key_value_calls)"
    stop_all
}

# Prints the calls that the key-value stand-in has counted so far.
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
for size in "${fleet_sizes[@]}"; do
    # shellcheck disable=SC2086
    measure_fleet $size
done

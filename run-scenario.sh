#!/usr/bin/env bash
# Runs each scenario under each policy in turn, every time on newly started processes.
# Usage: run-scenario.sh [--out FOLDER] [--seed N] [--policies "fleet round-robin least-load"]
#        SCENARIO.json...
# Prints the report of each run, then a table of all runs of the scenario, and writes reports and an
# SVG plot to the output folder (target/measurements by default).
set -euo pipefail
root="$(cd "$(dirname "$0")" && pwd)"
out="$root/target/measurements"
seed=1
policies="fleet round-robin least-load"
scenarios=()
while (($#)); do
    case "$1" in
        --out) out="$2"; shift 2 ;;
        --seed) seed="$2"; shift 2 ;;
        --policies) policies="$2"; shift 2 ;;
        -*) echo "unknown option $1" >&2; exit 2 ;;
        *) scenarios+=("$1"); shift ;;
    esac
done
((${#scenarios[@]})) || { echo "no scenario file given" >&2; exit 2; }

(cd "$root" && cargo build --release --locked --workspace)
# shellcheck source=scripts/fleet.sh
source "$root/scripts/fleet.sh"
mkdir -p "$out"

for scenario in "${scenarios[@]}"; do
    reports=()
    for policy in $policies; do
        rm -f "$out/started"
        start_stand_ins "$scenario"
        if [[ "$policy" == fleet ]]; then
            start_daemons "$scenario"
            kill_on_schedule "$scenario" "$out/started"
        fi
        "$bin/lacewingspring_standins" load --scenario "$scenario" --policy "$policy" \
            --seed "$seed" --out "$out" | tee "$work/report"
        stop_all
        name="$(sed -n '1s/^scenario \([^,]*\),.*/\1/p' "$work/report")"
        reports+=("$out/$name-$policy.json")
    done
    "$bin/lacewingspring_standins" compare --plot "$out/$name.svg" "${reports[@]}"
    echo
done
rm -f "$out/started"

# Functions that start and stop the processes of a deployment, for scripts that source this file.
# Requires $root; sets $bin (binaries) and $work (temporary folder). When the script exits, kills
# the started processes and removes $work.
bin="${CARGO_TARGET_DIR:-$root/target}/release"
work="$(mktemp -d)"
trap 'stop_all; rm -rf "$work"' EXIT
pids=()
declare -A daemons=()

# Starts all stand-ins of scenario $1 in one process and waits up to 10 s until they serve.
start_stand_ins() {
    "$bin/lacewingspring_standins" deploy --scenario "$1" serve > "$work/stand-ins.log" 2>&1 &
    pids+=($!)
    for _ in $(seq 100); do
        grep -q serving "$work/stand-ins.log" && return
        sleep 0.1
    done
    cat "$work/stand-ins.log" >&2
    return 1
}

# Writes the settings of scenario $1, starts its daemons, one process each, and declares its
# resources; returns once all instances are ready. Creates the authority on the first call.
start_daemons() {
    if [[ ! -e "$work/authority.pem" ]]; then
        "$bin/lacewingspring" --make-authority "$work"
    fi
    rm -f "$work"/instance-*.json
    "$bin/lacewingspring_standins" deploy --scenario "$1" settings --folder "$work"
    "$bin/lacewingspring_standins" deploy --scenario "$1" list
    local settings name
    for settings in "$work"/instance-*.json; do
        name="$(basename "$settings" .json)"
        "$bin/lacewingspring" --settings "$settings" 2> "$work/$name.log" > /dev/null &
        daemons[$name]=$!
        pids+=($!)
    done
    declare_resources
    "$bin/lacewingspring_standins" deploy --scenario "$1" ready
}

# Applies the resources with the operator tool, up to 50 times, 0.2 s apart, until the first
# instance accepts them.
declare_resources() {
    local address
    address="$(sed -n 's/.*"callers": "\([^"]*\)".*/\1/p' "$work/instance-0.json")"
    for _ in $(seq 50); do
        LACEWINGSPRING_TOKEN=operator-token "$bin/lacewingspring_ctl" --address "$address" \
            apply --file "$work/resources.json" > "$work/apply.log" 2>&1 && return
        sleep 0.2
    done
    cat "$work/apply.log" >&2
    return 1
}

# Kills instances at the times that scenario $1 sets, counted from the creation of file $2 by the
# load tool; waits up to 30 s for that file. Runs in the background.
kill_on_schedule() {
    local kills
    kills="$("$bin/lacewingspring_standins" deploy --scenario "$1" kills)"
    [[ -n "$kills" ]] || return 0
    (
        for _ in $(seq 600); do
            [[ -e "$2" ]] && break
            sleep 0.05
        done
        while read -r delay name; do
            sleep "$delay"
            kill -KILL "${daemons[$name]}"
        done <<< "$kills"
    ) &
    pids+=($!)
}

# Kills all processes started by these functions and waits for them to exit.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2> /dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2> /dev/null || true
    done
    pids=()
    daemons=()
}

# Prints the CPU time that process $1 has used, in clock ticks.
cpu_ticks() {
    local stat
    stat="$(< "/proc/$1/stat")"
    # Splits the fields after the closing bracket of the command name; the 12th and 13th are user
    # and system time.
    read -r -a fields <<< "${stat##*) }"
    echo $((fields[11] + fields[12]))
}

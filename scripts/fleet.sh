# Starts and stops the processes of a deployment. Needs $root; sets $bin and $work, and ends what it
# started when the script ends.
bin="${CARGO_TARGET_DIR:-$root/target}/release"
work="$(mktemp -d)"
trap 'stop_all; rm -rf "$work"' EXIT
pids=()
declare -A daemons=()

# Starts all stand-ins of a scenario as one process.
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

# Writes settings, starts the daemons of a scenario, one process each, and declares resources.
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

# Declares the resources, as an operator would, once an instance takes them.
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

# Kills instances at the times that the scenario names, once the load has started.
kill_on_schedule() {
    local kills
    kills="$("$bin/lacewingspring_standins" deploy --scenario "$1" kills)"
    [[ -n "$kills" ]] || return 0
    (
        for _ in $(seq 600); do
            [[ -e "$2" ]] && break
            sleep 0.05
        done
        while read -r pause name; do
            sleep "$pause"
            kill -KILL "${daemons[$name]}"
        done <<< "$kills"
    ) &
    pids+=($!)
}

# Stops every process that was started here.
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

# CPU time of a process so far, in clock ticks.
ticks() {
    local stat
    stat="$(< "/proc/$1/stat")"
    # Fields after the command's closing bracket; user and system time are the 12th and 13th.
    read -r -a fields <<< "${stat##*) }"
    echo $((fields[11] + fields[12]))
}

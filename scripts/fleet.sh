# Functions that start and stop the processes of a deployment. Needs $bin and $work.
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

# Declares resources, writes settings and starts the daemons of a scenario, one process each.
start_daemons() {
    if [[ ! -e "$work/authority.pem" ]]; then
        "$bin/lacewingspring" --make-authority "$work"
    fi
    rm -f "$work"/instance-*.json
    "$bin/lacewingspring_standins" deploy --scenario "$1" settings --folder "$work"
    declare_resources "$1"
    local settings name
    for settings in "$work"/instance-*.json; do
        name="$(basename "$settings" .json)"
        "$bin/lacewingspring" --settings "$settings" 2> "$work/$name.log" > /dev/null &
        daemons[$name]=$!
        pids+=($!)
    done
    "$bin/lacewingspring_standins" deploy --scenario "$1" ready
}

# Writes the resources into the key-value service and the instances into the instance list.
declare_resources() {
    "$bin/lacewingspring_standins" deploy --scenario "$1" declare
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

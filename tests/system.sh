# Shell functions that start a whole system as processes on 127.0.0.1, for the
# demo, the scripted runs and the soak test. Set these, then source this file:
#
#   BIN    build directory              RUN    directory for logs and data
#   BASE   first of 1000 ports          LOSS, REORDER, DUPLICATE  permille
#
# PIDS holds every process started here; stop_system ends these processes and
# no others.

declare -A PIDS
LOSS=${LOSS:-0}
REORDER=${REORDER:-0}
DUPLICATE=${DUPLICATE:-0}
SEED=${SEED:-1}
BALANCERS=${BALANCERS:-3}
CONTROLS=${CONTROLS:-1}

say() { echo "$(basename "${0%.sh}"): $*"; }

fail() {
    say "FAILED: $*"
    exit 1
}

# NAME_port INDEX: prints the port of an instance.
control_port() { echo $((BASE + 1 + $1)); }
balancer_port() { echo $((BASE + 100 + $1)); }
hint_port() { echo $((BASE + 150 + $1)); }
agent_port() { echo $((BASE + 200 + $1)); }
host_side_port() { echo $((BASE + 300 + $1)); }
host_port() { echo $((BASE + 400 + $1)); }
server_port() { echo $((BASE + 500 + $1)); }
service_port() { echo $((BASE + 700 + $1)); }
admin_port() { echo $((BASE + 800 + $1)); }
FABRIC_CALLERS() { echo $((BASE + 601)); }
FABRIC_SYSTEM() { echo $((BASE + 602)); }
CALLER_LISTEN() { echo $((BASE + 603)); }

control_list() {
    local i list=""
    for ((i = 0; i < CONTROLS; i++)); do
        list="$list${list:+,}127.0.0.1:$(control_port $i)"
    done
    echo "$list"
}

balancer_list() {
    local i list=""
    for ((i = 0; i < BALANCERS; i++)); do
        list="$list${list:+,}127.0.0.1:$(balancer_port $i)"
    done
    echo "$list"
}

# start NAME COMMAND...: runs a command in the background with its output in
# $RUN/NAME.log.
start() {
    local name=$1
    shift
    "$@" >> "$RUN/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# stop NAME [SIGNAL]: sends a signal (default TERM) to a process and waits for
# its end.
stop() {
    local name=$1 signal=${2:-TERM}
    [ -n "${PIDS[$name]:-}" ] || return 0
    kill -"$signal" "${PIDS[$name]}" 2> /dev/null
    wait "${PIDS[$name]}" 2> /dev/null
    unset "PIDS[$name]"
}

stop_system() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2> /dev/null
    done
    for name in "${!PIDS[@]}"; do
        wait "${PIDS[$name]}" 2> /dev/null
    done
    PIDS=()
}

# prepare_run: creates an empty $RUN and a key file, and sets the programs'
# environment.
prepare_run() {
    rm -rf "$RUN"
    mkdir -p "$RUN"
    (umask 077 && head -c 24 /dev/urandom | base64 > "$RUN/key")
    export RADISHPORT_KEY_FILE="$RUN/key"
    RADISHPORT_CONTROL=$(control_list)
    export RADISHPORT_CONTROL
}

# create_system: creates the data of a new system with control-0 as its only
# replica.
create_system() {
    "$BIN/programs/radishportd" control --create --name control-0 \
        --listen "127.0.0.1:$(control_port 0)" --data "$RUN/control-0"
}

start_control() {
    start "control-$1" "$BIN/programs/radishportd" control \
        --name "control-$1" --listen "127.0.0.1:$(control_port "$1")" \
        --data "$RUN/control-$1" --admin "127.0.0.1:$(admin_port "$1")"
}

# start_balancer INDEX [FLAGS...]: with BY_LOAD=1 every second one chooses by
# the loads that agents tell.
start_balancer() {
    local index=$1 by_load=()
    shift
    [ "${BY_LOAD:-0}" = 0 ] || ((index % 2 == 0)) ||
        by_load=(--order-by-load --spill-by-load)
    start "balancer-$index" "$BIN/programs/radishportd" balancer \
        --name "balancer-$index" \
        --listen "127.0.0.1:$(balancer_port "$index")" \
        --hint-listen "127.0.0.1:$(hint_port "$index")" "${by_load[@]}" \
        --admin "127.0.0.1:$(admin_port $((100 + index)))" "$@"
}

# start_host SERVICE ADDRESS INDEX: starts a server and the stand-in host that
# relays to it.
start_host() {
    start "server-$3" "$BIN/tests/standin-server" --service "$1" \
        --listen "127.0.0.1:$(server_port "$3")"
    start "host-$3" "$BIN/tests/standin-host" --address "$2" \
        --listen "127.0.0.1:$(host_port "$3")" \
        --agent "127.0.0.1:$(host_side_port "$3")" \
        --server "127.0.0.1:$(server_port "$3")"
}

# start_agent SERVICE INDEX [FLAGS...]: starts the agent of host INDEX.
start_agent() {
    local service=$1 index=$2
    shift 2
    start "agent-$index" "$BIN/programs/radishportd" agent \
        --name "upstream-$index" --service "$service" \
        --listen "127.0.0.1:$(agent_port "$index")" \
        --host-listen "127.0.0.1:$(host_side_port "$index")" \
        --host "127.0.0.1:$(host_port "$index")" \
        --fabric "127.0.0.1:$(FABRIC_SYSTEM)" --slots 7 "$@"
}

# start_edge PORTS SERVICES: starts the fabric and the stand-in for callers.
# Both arguments are comma-separated lists of addresses in the same order.
start_edge() {
    start fabric "$BIN/tests/standin-fabric" \
        --callers "127.0.0.1:$(FABRIC_CALLERS)" \
        --system "127.0.0.1:$(FABRIC_SYSTEM)" \
        --balancers "$(balancer_list)" --seed "$SEED" \
        --loss-permille "$LOSS" --reorder-permille "$REORDER" \
        --duplicate-permille "$DUPLICATE"
    start caller "$BIN/tests/standin-caller" --address 10.9.0.1:1 \
        --listen "127.0.0.1:$(CALLER_LISTEN)" \
        --fabric "127.0.0.1:$(FABRIC_CALLERS)" \
        --ports "$1" --services "$2"
}

# document SERVICE ADDRESS: writes a service document and prints its path.
document() {
    printf '[service]\nname = %s\naddress = %s\n' "$1" "$2" > "$RUN/$1.conf"
    printf '[placement]\nlong-slots-percent = 50\n' >> "$RUN/$1.conf"
    echo "$RUN/$1.conf"
}

# serve_lens_desk BALANCER AGENT: starts one control instance, three balancers,
# three hosts with their agents and callers, and waits until the service
# lens-desk is served. BALANCER and AGENT start one process each, by its index.
serve_lens_desk() {
    local balancer=$1 agent=$2 i
    create_system || exit 1
    start_control 0
    for i in 0 1 2; do "$balancer" $i; done
    for i in 0 1 2; do
        start_host lens-desk 10.80.0.1:7000 $i
        "$agent" $i
    done
    start_edge "127.0.0.1:$(service_port 0)" 10.80.0.1:7000
    wait_until 10 cli service list || fail "control-0 does not answer"
    cli service apply "$(document lens-desk 10.80.0.1:7000)" ||
        fail "service apply failed"
    wait_until 10 has_ready lens-desk 3 ||
        fail "lens-desk has not 3 ready upstreams within 10 s"
}

cli() { "$BIN/programs/radishport" "$@"; }

# metric ADMIN_PORT NAME: prints the metric radishport_NAME.
metric() {
    curl -s -m 1 "127.0.0.1:$1/metrics" | sed -n "s/^radishport_$2{.*} //p"
}

# Whether a control instance has a confirmed state, and whether it leads.
is_fresh() { [ "$(metric "$(admin_port "$1")" fresh)" = 1 ]; }
leads() { [ "$(metric "$(admin_port "$1")" leads)" = 1 ]; }

# wait_until SECONDS COMMAND...: repeats a command until it succeeds. Fails
# after about SECONDS.
wait_until() {
    local tries=$(($1 * 20)) i
    shift
    for ((i = 0; i < tries; i++)); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.05
    done
    return 1
}

# ready_upstreams SERVICE: prints the number of its ready upstreams.
ready_upstreams() {
    cli service list --json | tr -d ' \n' |
        sed -n "s/.*\"name\":\"$1\"[^}]*\"ready\":\([0-9]*\).*/\1/p"
}

# has_ready SERVICE N: succeeds if exactly N of its upstreams are ready.
has_ready() { [ "$(ready_upstreams "$1")" = "$2" ]; }

# has_voters INDEX N: a control instance knows a group of N voters.
has_voters() { [ "$(metric "$(admin_port "$1")" voters)" = "$2" ]; }

# wipe INDEX...: ends these control instances at the same moment and removes
# their data.
wipe() {
    local i
    for i in "$@"; do kill -KILL "${PIDS[control-$i]}"; done
    for i in "$@"; do
        wait "${PIDS[control-$i]}" 2> /dev/null
        unset "PIDS[control-$i]"
        rm -rf "$RUN/control-$i"
    done
}

# apply_next: applies a change with the next number. Fails if it is not
# acknowledged within SERVICE_SECONDS.
number=0
apply_next() {
    number=$((number + 1))
    printf '[service]\nname = lens\naddress = 10.80.0.1:7000\n# %s\n' \
        "$number" > "$RUN/change.conf"
    cli service apply "$RUN/change.conf" --timeout-seconds "$SERVICE_SECONDS" \
        > "$RUN/apply.txt" 2>&1
}

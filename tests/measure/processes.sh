#!/usr/bin/env bash
# Measures processor time, memory and traffic of a control instance and of one
# idle node, on real processes, for several numbers of balancers and agents.
# Prints one line for each number.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/processes}
BASE=${BASE:-24000}
SECONDS_EACH=${SECONDS_EACH:-8}
CONTROLS=1
. tests/system.sh
trap stop_system EXIT

# ticks PID: processor time of a process, in hundredths of a second.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# traffic PORT: bytes sent and received so far, mean of the connections to
# PORT.
traffic() {
    ss -tinH "dst 127.0.0.1:$1" | tr ' ' '\n' |
        awk -F: '/^bytes_sent|^bytes_received/ {sum[$1] += $2; n[$1]++}
                 END {print (sum["bytes_sent"] + sum["bytes_received"]) / (n["bytes_sent"] ? n["bytes_sent"] : 1)}'
}

measure() {
    local nodes=$1 kind=$2 control=${PIDS[control-0]} one=${PIDS[$3]}
    local c0 c1 n0 n1 t0 t1
    sleep 2
    c0=$(ticks "$control")
    n0=$(ticks "$one")
    t0=$(traffic "$(control_port 0)")
    sleep "$SECONDS_EACH"
    c1=$(ticks "$control")
    n1=$(ticks "$one")
    t1=$(traffic "$(control_port 0)")
    awk -v nodes="$nodes" -v kind="$kind" -v c=$((c1 - c0)) \
        -v n=$((n1 - n0)) -v s="$SECONDS_EACH" -v t0="$t0" -v t1="$t1" \
        -v crss="$(rss_kb "$control")" -v nrss="$(rss_kb "$one")" 'BEGIN {
        printf "cost processes kind=%s nodes=%d control_core_percent=%.2f " \
            "control_rss_kb=%d node_core_percent=%.2f node_rss_kb=%d " \
            "node_bytes_per_second=%.0f\n", kind, nodes, c / s, crss,
            n / s, nrss, (t1 - t0) / s }'
}

prepare_run
create_system > /dev/null
start_control 0
wait_until 10 cli service list
cli service apply "$(document lens-desk 10.80.0.1:7000)" --wait-seconds 0 \
    > /dev/null
started=0
for nodes in 10 50 100; do
    for ((; started < nodes; started++)); do
        start "balancer-$started" "$BIN/programs/radishportd" balancer \
            --name "balancer-$started" \
            --listen "127.0.0.2:$((BASE + started))"
    done
    measure "$nodes" balancers balancer-0
done
stop_system
start_control 0
wait_until 10 cli service list
started=0
for nodes in 10 50 100; do
    for ((; started < nodes; started++)); do
        start "agent-$started" "$BIN/programs/radishportd" agent \
            --name "upstream-$started" --service lens-desk --slots 7 \
            --listen "127.0.0.2:$((BASE + started))" \
            --host-listen "127.0.0.3:$((BASE + started))" \
            --host "127.0.0.4:$((BASE + started))" --fabric 127.0.0.4:9
    done
    measure "$nodes" agents agent-0
done

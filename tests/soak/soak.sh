#!/usr/bin/env bash
# Soak test: runs the real programs as separate processes on loopback and
# injects faults that a seed determines: signals in sequence and at the same
# time, replaced and killed processes, lost disks, changes by an operator.
#
#   soak.sh FIRST [LAST]     runs the seeds from FIRST to LAST
#
# Callers send requests over open connections during the whole run. The test
# checks, as callers, hosts and the operator see it, that no request breaks or
# is answered by another service, that no non-idempotent request (a POST with
# an X-Reading header) is handled twice, by one host or by two, and that no
# acknowledged change or evacuation is lost or replaced by an older one. For the
# POSTs it looks for repeated reading= lines in the logs of all servers; it sends no
# other kind of request. STEPS sets the number of faults per seed.
#
# tests/soak/failed lists seeds that failed once, each with its cause.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
BASE=${BASE:-25000}
CONTROLS=3
LOSS=2
REORDER=10
DUPLICATE=5
STEPS=${STEPS:-12}
AGENTS=4
. tests/system.sh
trap stop_system EXIT
# Ignore SIGHUP in child processes, as nohup does. Otherwise a SIGHUP between
# fork and the installation of the role's handler ends the process, and no
# program can prevent that before it is loaded. The role's handler replaces
# the ignored signal.
trap '' HUP

# roll N: sets ROLL to a random number from 0 to N - 1. It does not print the
# number, because a subshell would draw the same numbers again.
roll() { ROLL=$((RANDOM % $1)); }

agent() {
    start_agent lens-desk "$1" --zone "z$(($1 % 2))" --drain-seconds 20
}

# change: applies one change and keeps the number of the last acknowledged
# one.
change() {
    changes=$((changes + 1))
    local file="$RUN/change.conf"
    printf '[service]\nname = lens-desk\naddress = 10.80.0.1:7000\n# %s\n' \
        "$changes" > "$file"
    if cli service apply "$file" --timeout-seconds 8 > "$RUN/apply.txt" 2>&1
    then
        acknowledged=$changes
    fi
}

# draws_order STEP: whether an order goes with this step's fault. It takes no
# number of RANDOM, so that the faults of a seed stay what they were.
draws_order() { [ $(((SEED * 31 + $1 * 17) % 4)) = 0 ]; }

# order_zone VERB: evacuates or restores z1, the data centre of upstreams 1 and
# 3, and keeps the order if it is acknowledged; "unknown" if it may be in force.
order_zone() {
    echo "orders" >> "$RUN/orders"
    cli zone "$1" z1 --wait-seconds 0 --timeout-seconds 8 \
        > "$RUN/zone.txt" 2>&1
    case $? in
    0) echo "$1" ;;
    *) echo unknown ;;
    esac > "$RUN/zone"
}
# next_order: prints the order that changes what was acknowledged last.
next_order() {
    [ "$(cat "$RUN/zone")" = restore ] && echo evacuate || echo restore
}
# zone_is VERB: whether control shows the state that this order leads to.
zone_is() {
    local want=restore
    cli status 2> /dev/null | grep -q '^evacuated: z1$' && want=evacuate
    [ "$want" = "$1" ]
}

# freeze NAME SECONDS: suspends one process while the others go on.
freeze() {
    kill -STOP "${PIDS[$1]}"
    (sleep "$2"; kill -CONT "${PIDS[$1]}") &
    THAWS="$THAWS $!"
}

# fault STEP: draws one fault and the instance it affects, and injects it.
fault() {
    local kind which
    roll 10; kind=$ROLL
    roll 3; which=$ROLL
    say "seed $SEED step $1: fault $kind on instance $which"
    case $kind in
    0) stop "balancer-$which"; start_balancer "$which" ;;
    1) stop "balancer-$which" KILL; start_balancer "$which" ;;
    2) stop "agent-$which" USR2; agent "$which" ;;
    3) stop "agent-$which" KILL; agent "$which" ;;
    4) stop "control-$which" KILL; start_control "$which" ;;
    5) freeze "control-$which" 2 ;;
    6)
        kill -HUP "${PIDS[control-$which]}" "${PIDS[balancer-$which]}" \
            "${PIDS[agent-$which]}"
        ;;
    7)
        # A data folder is deleted only while all replicas are up to date.
        if wait_until 10 all_fresh; then
            stop "control-$which" KILL
            rm -rf "$RUN/control-$which"
            start_control "$which"
            wait_until 15 all_fresh || failures="$failures no-rejoin"
        fi
        ;;
    8) cli upstream drain "upstream-$which" > /dev/null 2>&1
        sleep 0.5
        cli upstream resume "upstream-$which" > /dev/null 2>&1 ;;
    9) change & CHANGER=$!; stop "balancer-$which"; start_balancer "$which"
        wait "$CHANGER" ;;
    esac
}

# all_fresh: all replicas are up to date and have a vote. Only then may one
# lose its data.
all_fresh() {
    is_fresh 0 && is_fresh 1 && is_fresh 2 &&
        [ "$(cli status 2> /dev/null | grep -cE '^replica .*: (leader|follower),')" = 3 ]
}

start_all() {
    local i
    prepare_run
    create_system > "$RUN/create.log" 2>&1 || return 1
    for i in 0 1 2; do start_control $i; done
    for i in 0 1 2; do start_balancer $i; done
    for ((i = 0; i < AGENTS; i++)); do
        start_host lens-desk 10.80.0.1:7000 $i
        agent $i
    done
    start_edge "127.0.0.1:$(service_port 0)" 10.80.0.1:7000
    wait_until 20 all_fresh || return 1
    change
    wait_until 10 has_ready lens-desk $AGENTS
}

# in_force: prints the number of the change that control returns now.
in_force() {
    cli service get lens-desk 2> /dev/null | sed -n 's/^# \([0-9]*\)$/\1/p'
}

# play SEED: runs one seed and prints its result.
play() {
    SEED=$1
    RUN="demo-run/soak-$SEED"
    RANDOM=$SEED
    BY_LOAD=$((SEED % 2))
    changes=0
    acknowledged=0
    failures=""
    THAWS=""
    start_all || { say "seed $SEED: the system did not start"; return 1; }
    start client "$BIN/tests/standin-client" --requests 3000 \
        --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
        --connections 60 --per-connection 1000000 --pause-ms 250
    local step
    echo restore > "$RUN/zone"
    local orderer=""
    for ((step = 1; step <= STEPS; step++)); do
        if draws_order "$step"; then
            order_zone "$(next_order)" &
            orderer=$!
        fi
        fault "$step"
        [ -z "$orderer" ] || wait "$orderer"
        orderer=""
        roll 2
        [ "$ROLL" = 0 ] && change
        [ $((RANDOM % 3)) = 0 ] || sleep 0.6
    done
    local thaw
    for thaw in $THAWS; do wait "$thaw"; done
    wait "${PIDS[client]}"
    unset "PIDS[client]"
    wait_until 15 all_fresh || failures="$failures not-fresh"
    change
    local ordered shown
    ordered=$(cat "$RUN/zone")
    [ "$ordered" = unknown ] || wait_until 3 zone_is "$ordered" ||
        failures="$failures lost-order:$ordered"
    order_zone restore
    zone_is restore || failures="$failures not-restored"
    shown=$(in_force)
    [ -n "$shown" ] && [ "$shown" -ge "$acknowledged" ] ||
        failures="$failures lost-change:${shown:-none}<$acknowledged"
    local result doubled
    result=$(grep -o 'answered=.*' "$RUN/client.log")
    doubled=$(cat "$RUN"/server-*.log | grep -o 'reading=[^ ]*' | sort |
        uniq -d | wc -l)
    [ "$result" = "answered=3000 broken=0 misdirected=0" ] ||
        failures="$failures $result"
    [ "$doubled" = 0 ] || failures="$failures doubled=$doubled"
    stop_system
    say "seed $SEED: $result doubled=$doubled changes=$changes" \
        "acknowledged=$acknowledged orders=$(wc -l < "$RUN/orders")" \
        "${failures:+FAILED:$failures}"
    [ -z "$failures" ]
}

first=${1:-1}
last=${2:-$first}
passed=0
failed=0
for ((seed = first; seed <= last; seed++)); do
    if play "$seed"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
    fi
done
echo "soak: $passed seeds passed, $failed failed"
[ "$failed" -eq 0 ]

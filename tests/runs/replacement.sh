#!/usr/bin/env bash
# Scripted run on real processes: a control replica is replaced as planned, the
# new one first; as soon as the old one has ended another one loses its disk.
# Played with a follower and with the leader as the one that is replaced. The
# stop must end in time, no acknowledged change may be lost, and changes must be
# acknowledged again.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/replacement}
BASE=${BASE:-25000}
CONTROLS=5
STOP_SECONDS=5    # shorter than the users' grace of 6 s
SERVICE_SECONDS=12
. tests/system.sh
trap stop_system EXIT

start_replica() {
    start "control-$1" "$BIN/programs/radishportd" control \
        --name "control-$1" --listen "127.0.0.1:$(control_port "$1")" \
        --data "$RUN/control-$1" --admin "127.0.0.1:$(admin_port "$1")" \
        --tolerate-instances 1
}

# find WHICH INDEX...: prints the first of these instances that leads, or that
# does not.
find_replica() {
    local want=$1 i
    shift
    for i in "$@"; do
        if leads "$i"; then
            [ "$want" = leader ] && echo "$i" && return
        else
            [ "$want" = follower ] && echo "$i" && return
        fi
    done
}

# replace WHICH NEW INDEX...: starts instance NEW, then stops one of the others
# as planned and wipes another one.
replace() {
    local which=$1 new=$2 old wiped i before
    shift 2
    start_replica "$new"
    wait_until 10 has_voters "$new" 4 || fail "control-$new gets no vote"
    apply_next || fail "no change is acknowledged with four voters"
    old=$(find_replica "$which" "$@")
    [ -n "$old" ] || fail "no $which among $*"
    before=$(date +%s%N)
    stop "control-$old"
    [ $((($(date +%s%N) - before) / 1000000)) -lt $((STOP_SECONDS * 1000)) ] ||
        fail "the stop of control-$old took too long"
    for i in "$@"; do [ "$i" != "$old" ] && wiped=$i && break; done
    stop "control-$wiped" KILL
    rm -rf "$RUN/control-$wiped"
    start_replica "$wiped"
    cli service get lens --timeout-seconds "$SERVICE_SECONDS" \
        > "$RUN/now.conf" || fail "nothing is read after a lost disk"
    grep -q "^# $number\$" "$RUN/now.conf" ||
        fail "acknowledged change $number is lost"
    apply_next || fail "no change is acknowledged after a lost disk"
    for i in "$@" "$new"; do
        [ "$i" = "$old" ] || wait_until 10 has_voters "$i" 3 ||
            fail "control-$i does not know three voters"
    done
    say "control-$old ($which) replaced by control-$new, control-$wiped wiped"
    remaining=""
    for i in "$@" "$new"; do
        [ "$i" = "$old" ] || remaining="$remaining $i"
    done
}

prepare_run
create_system || fail "control-0 cannot create the system"
for i in 0 1 2; do start_replica $i; done
for i in 0 1 2; do
    wait_until 20 is_fresh $i || fail "control-$i is not up to date"
    wait_until 10 has_voters $i 3 || fail "control-$i does not know 3 voters"
done
apply_next || fail "the first change is not acknowledged"
replace follower 3 0 1 2
# shellcheck disable=SC2086
replace leader 4 $remaining
echo "replacement: $number changes acknowledged, none lost"

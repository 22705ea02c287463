#!/usr/bin/env bash
# Scripted run on real processes: a replica that lost its disk joins again while
# the leader is not among the addresses in its settings. It must get its vote
# back in time, so that the group bears the loss of two more disks.
#
# Guards against a group that stays one voter short for good: the newcomer
# answered only addresses that it knew from its settings or its log, and its
# empty log names nobody.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/joining}
BASE=${BASE:-26000}
CONTROLS=5
JOIN_SECONDS=6    # the users' time for a machine that is back to catch up
SERVICE_SECONDS=15
. tests/system.sh
trap stop_system EXIT

# start_replica INDEX ADDRESSES: the addresses are those of its settings.
start_replica() {
    start "control-$1" "$BIN/programs/radishportd" control \
        --name "control-$1" --listen "127.0.0.1:$(control_port "$1")" \
        --data "$RUN/control-$1" --admin "127.0.0.1:$(admin_port "$1")" \
        --control "$2" --tolerate-instances 2
}

# addresses INDEX...: prints the addresses of these replicas.
addresses() {
    local i list=""
    for i in "$@"; do
        list="$list${list:+,}127.0.0.1:$(control_port "$i")"
    done
    echo "$list"
}

prepare_run
create_system || fail "control-0 cannot create the system"
for i in 0 1 2 3 4; do start_replica "$i" "$(control_list)"; done
for i in 0 1 2 3 4; do
    wait_until 20 has_voters "$i" 5 || fail "control-$i does not know 5 voters"
done
apply_next || fail "the first change is not acknowledged"

leader=""
followers=()
for i in 0 1 2 3 4; do
    if leads "$i"; then leader=$i; else followers+=("$i"); fi
done
[ -n "$leader" ] || fail "nobody leads"
wiped=${followers[0]}
known=("${followers[@]:1}")
wipe "$wiped"
start_replica "$wiped" "$(addresses "${known[@]}")"
wait_until "$JOIN_SECONDS" has_voters "$wiped" 5 &&
    wait_until "$JOIN_SECONDS" has_voters "$leader" 5 ||
    fail "control-$wiped has no vote after $JOIN_SECONDS s; control-$leader" \
        "leads and is not in its settings"
say "control-$wiped joined under control-$leader, which its settings do not name"
apply_next || fail "no change is acknowledged after the lost disk"

# Guards against a replica that only its own settings can bring back: nobody is
# at the address there, but the others still connect to it.
wipe "$wiped"
start_replica "$wiped" "127.0.0.1:$((BASE + 99))"
wait_until "$JOIN_SECONDS" has_voters "$wiped" 5 &&
    wait_until "$JOIN_SECONDS" has_voters "$leader" 5 ||
    fail "control-$wiped has no vote after $JOIN_SECONDS s; its settings name" \
        "an address that is gone"
say "control-$wiped joined although its settings name nobody who is there"
apply_next || fail "no change is acknowledged after the second lost disk"

wipe "$leader" "${known[0]}"
start_replica "$leader" "$(control_list)"
start_replica "${known[0]}" "$(control_list)"
cli service get lens --timeout-seconds "$SERVICE_SECONDS" > "$RUN/now.conf" ||
    fail "nothing is read after two more lost disks"
grep -q "^# $number\$" "$RUN/now.conf" ||
    fail "acknowledged change $number is lost"
apply_next || fail "no change is acknowledged after two more lost disks"
say "$number changes acknowledged, none lost"

#!/usr/bin/env bash
# Scripted run on real processes: replicas that do not know each other's
# addresses, because one was away while others joined or moved, or has lost its
# disk. As long as enough voters run with their disks, a leader must stand and
# every replica must be up to date again.
#
# Guards against answers that are dropped because the one who asked has an
# address that the log and the settings of the one who answers do not name.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
BASE=${BASE:-24000}
CONTROLS=5
JOIN_SECONDS=12
SERVICE_SECONDS=15
. tests/system.sh
trap stop_system EXIT

declare -A MOVED # index of a replica -> its new port

port_of() { echo "${MOVED[$1]:-$(control_port "$1")}"; }

# start_replica INDEX ADDRESSES: the addresses are those of its settings.
start_replica() {
    start "control-$1" "$BIN/programs/radishportd" control \
        --name "control-$1" --listen "127.0.0.1:$(port_of "$1")" \
        --data "$RUN/control-$1" --admin "127.0.0.1:$(admin_port "$1")" \
        --control "$2" --tolerate-instances 2
}

addresses() {
    local i list=""
    for i in "$@"; do list="$list${list:+,}127.0.0.1:$(port_of "$i")"; done
    echo "$list"
}

# read_back: the newest acknowledged change is read.
read_back() {
    cli service get lens --timeout-seconds "$SERVICE_SECONDS" \
        > "$RUN/now.conf" 2>&1 && grep -q "^# $number\$" "$RUN/now.conf"
}

# begin NAME: starts five replicas that all have a vote, and one change.
begin() {
    RUN=demo-run/unknown-$1
    MOVED=()
    number=0
    prepare_run
    create_system > "$RUN/create.log" || fail "$1: no system"
    for i in 0 1 2 3 4; do start_replica "$i" "$(control_list)"; done
    for i in 0 1 2 3 4; do
        wait_until 20 has_voters "$i" 5 || fail "$1: control-$i: no 5 voters"
    done
    apply_next || fail "$1: the first change is not acknowledged"
    followers=()
    for i in 0 1 2 3 4; do
        if leads "$i"; then leader=$i; else followers+=("$i"); fi
    done
}

# voters_in_order: prints the indexes of the voters in the order of the log. Of
# several that do not answer, the first one loses its vote first.
voters_in_order() {
    local address
    for address in $(grep -h event=replica_members "$RUN/control-0.log" |
        tail -n 1 | sed 's/.*voters=\([^ ]*\).*/\1/; s/,/ /g'); do
        echo $((${address##*:} - BASE - 1))
    done
}

# A voter is away while two others are replaced; then two disks are lost and
# it must elect one of the two successors, whose addresses it does not know.
begin away
mapfile -t order < <(voters_in_order)
away=${order[4]} gone=("${order[@]:1:2}")
lost=("${order[0]}" "${order[3]}")
stop "control-$away" KILL
for i in 0 1; do
    stop "control-${gone[i]}" KILL
    start_replica $((5 + i)) "$(control_list)"
    wait_until "$JOIN_SECONDS" has_voters $((5 + i)) 5 ||
        fail "away: control-$((5 + i)) does not join"
    sleep 3 # the one that is gone loses its vote to it
done
RADISHPORT_CONTROL=$(addresses 0 1 2 3 4 5 6)
apply_next || fail "away: no change with the two successors"
stop control-5 KILL
stop control-6 KILL
wipe "${lost[@]}"
for i in 5 6 "$away" "${lost[@]}"; do start_replica "$i" "$(control_list)"; done
read_back || fail "away: three of five voters run and nothing is read"
apply_next || fail "away: three of five voters run and no change is acknowledged"
say "a voter that was away elects a successor that it does not know"
stop_system

# Two disks are lost at once, and the settings of each of the two name only the
# other and an address that is gone.
begin two
wipe "${followers[0]}" "${followers[1]}"
start_replica "${followers[0]}" \
    "$(addresses "${followers[1]}"),127.0.0.1:$((BASE + 99))"
start_replica "${followers[1]}" \
    "$(addresses "${followers[0]}"),127.0.0.1:$((BASE + 99))"
for i in "${followers[@]:0:2}" "$leader"; do
    wait_until "$JOIN_SECONDS" has_voters "$i" 5 ||
        fail "two: control-$i does not know 5 voters"
done
wipe "${followers[2]}" "${followers[3]}"
for i in "${followers[@]:2:2}"; do start_replica "$i" "$(control_list)"; done
apply_next || fail "two: no change after two more lost disks"
say "two replicas without disks that name only each other join"
stop_system

# A replica is away while another one moves to a new port. It comes back empty,
# and the first part of the log that it gets names the old port of the leader.
begin moved
moved=${followers[0]} away=${followers[1]}
for ((n = 0; n < 80; n++)); do
    apply_next || fail "moved: a change is not acknowledged"
done
stop "control-$away" KILL
stop "control-$moved" KILL
MOVED[$moved]=$((BASE + 60 + moved))
RADISHPORT_CONTROL=$(addresses 0 1 2 3 4)
start_replica "$moved" "$RADISHPORT_CONTROL"
wait_until "$JOIN_SECONDS" is_fresh "$moved" ||
    fail "moved: control-$moved is not up to date at its new port"
for ((try = 0; try < 15; try++)); do
    leads "$moved" && break
    for i in 0 1 2 3 4; do
        if [ "$i" != "$away" ] && leads "$i"; then
            stop "control-$i" KILL
            sleep 1.6 # for the others to elect one
            start_replica "$i" "$RADISHPORT_CONTROL"
            break
        fi
    done
    sleep 0.7
done
if leads "$moved"; then
    rm -rf "$RUN/control-$away"
    start_replica "$away" "$RADISHPORT_CONTROL"
    wait_until "$JOIN_SECONDS" has_voters "$away" 5 ||
        fail "moved: control-$away has no vote under control-$moved"
    say "a replica without a disk joins under a leader that has moved"
else
    say "control-$moved never led: the last case was not played"
fi
echo "unknown-addresses: passed"

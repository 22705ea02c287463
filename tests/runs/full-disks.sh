#!/usr/bin/env bash
# Scripted run on real processes: the disks of three control replicas take no
# writes for some seconds each, one after another, never two at once, while an
# operator makes changes. A limit on the file size of the running process
# stands for the full disk. No process may end, no acknowledged change may be
# lost, and changes must be acknowledged again soon after each loss.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/full-disks}
BASE=${BASE:-24000}
CONTROLS=3
ROUNDS=${ROUNDS:-3}
FULL_SECONDS=2
. tests/system.sh
trap stop_system EXIT

all_fresh() { is_fresh 0 && is_fresh 1 && is_fresh 2; }

number=0
acknowledged=0
# change: applies one change; remembers it if it is acknowledged.
change() {
    number=$((number + 1))
    printf '[service]\nname = lens\naddress = 10.80.0.1:7000\n# %s\n' \
        "$number" > "$RUN/change.conf"
    cli service apply "$RUN/change.conf" --timeout-seconds "$1" \
        > "$RUN/apply.txt" 2>&1 && acknowledged=$number
}

# set_full INDEX LIMIT: limits the size of files that a control process can
# write.
set_full() { prlimit --pid "${PIDS[control-$1]}" --fsize="$2"; }

# In place of the function of system.sh: the limit must not stop the log, so a
# pipe takes it.
start() {
    local name=$1
    shift
    "$@" > >(cat >> "$RUN/$name.log") 2>&1 &
    PIDS[$name]=$!
}

prepare_run
create_system || fail "control-0 cannot create the system"
for i in 0 1 2; do start_control $i; done
wait_until 20 all_fresh || fail "the replicas are not all up to date"
change 5 || fail "the first change is not acknowledged"

for ((round = 0; round < ROUNDS; round++)); do
    for i in 0 1 2; do
        set_full $i 1:unlimited
        end=$((SECONDS + FULL_SECONDS))
        before=$number
        while [ $SECONDS -lt $end ]; do change 4 && sleep 0.1; done
        [ $acknowledged -gt "$before" ] ||
            fail "no change is acknowledged while the disk of control-$i is full"
        set_full $i unlimited:unlimited
    done
done
wait_until 8 all_fresh || fail "a replica does not take part any more"
change 4 || fail "a change after all disks have room is not acknowledged"
sleep 0.2
for i in 0 1 2; do
    kill -0 "${PIDS[control-$i]}" || fail "control-$i ended"
    grep -q event=storage_failed "$RUN/control-$i.log" ||
        fail "the disk of control-$i was never full"
done
for i in 0 1 2; do stop control-$i KILL; done
for i in 0 1 2; do start_control $i; done
wait_until 10 all_fresh || fail "the replicas do not come back"
cli service get lens > "$RUN/now.conf" || fail "the service is gone"
grep -q "^# $acknowledged\$" "$RUN/now.conf" ||
    fail "acknowledged change $acknowledged is lost"
echo "full-disks: $number changes, the last of them read back after a restart"

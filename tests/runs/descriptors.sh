#!/usr/bin/env bash
# Scripted run on real processes: the ports of a control instance that may open
# 300 descriptors. 350 callers read one after the other; then callers take all
# descriptors, on the operator's port, the port between nodes and the admin
# port, and close them again; 150 callers come while the process is paused; 200
# connect and say nothing. The configuration must always be read back within
# 1 s, the processor must stay free, and closed and idle connections must leave
# no descriptor behind.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/descriptors}
BASE=${BASE:-24000}
LIMIT=300
IDLE_SECONDS=25
. tests/system.sh
trap stop_system EXIT

OPERATOR=$(admin_port 500)
CONFIG="http://127.0.0.1:$OPERATOR/-/config"

# start_limited LIMIT: starts the control instance with that many descriptors.
start_limited() {
    start control-0 bash -c 'ulimit -n "$1"; shift; exec "$@"' - "$1" \
        "$BIN/programs/radishportd" control --name control-0 \
        --listen "127.0.0.1:$(control_port 0)" --data "$RUN/control-0" \
        --admin "127.0.0.1:$(admin_port 0)" \
        --operator-http "127.0.0.1:$OPERATOR"
}

# reads SECONDS: whether the configuration is read within that time.
reads() {
    [ "$(curl -s -o "$RUN/answer" -m "$1" -w '%{http_code}' "$CONFIG")" = 200 ]
}

# write_edition: whether the first configuration is acknowledged.
write_edition() {
    printf '{"version":1,"services":[{"name":"lens"}],"routes":[]}' |
        curl -sf -m 2 -X PUT -H 'Content-Type: application/json' \
            --data-binary @- "$CONFIG"
}

# hold PORT COUNT: starts a process that opens COUNT connections to the port,
# 3 ms apart, and keeps them until it is stopped.
hold() {
    start holder bash -c 'for ((i = 0; i < $2; i++)); do
            exec {fd}<> "/dev/tcp/127.0.0.1/$1" || break
            sleep 0.003
        done
        echo held
        read -r -t 60 _ <> "$3"' - "$1" "$2" "$RUN/fifo"
}
holds() { grep -q held "$RUN/holder.log"; }

descriptors() { ls "/proc/${PIDS[control-0]}/fd" | wc -l; }
has_few_descriptors() { [ "$(descriptors)" -lt 40 ]; }

# cpu: prints the processor time of the control instance, in ticks.
cpu() { awk '{ print $14 + $15 }' "/proc/${PIDS[control-0]}/stat"; }

# check_reads WHAT: reads the configuration ten times; each must be answered
# within 1 s.
check_reads() {
    local i
    for ((i = 0; i < 10; i++)); do
        reads 1 || fail "no configuration within 1 s $1, read $i"
    done
}

# check_cpu WHAT: fails if the process uses more than half a core for 2 s.
check_cpu() {
    local before after
    before=$(cpu)
    sleep 2
    after=$(cpu)
    [ $((after - before)) -lt "$(getconf CLK_TCK)" ] ||
        fail "$((after - before)) ticks of the processor in 2 s $1"
}

prepare_run
mkfifo "$RUN/fifo"
create_system || exit 1
start_limited $LIMIT
wait_until 10 write_edition || fail "no first configuration"

before=$(descriptors)
for ((i = 0; i < 350; i++)); do
    reads 1 || fail "no configuration within 1 s, read $i"
done
say "350 reads, one after the other: $before descriptors before, $(descriptors) after"
wait_until 5 has_few_descriptors ||
    fail "$(descriptors) descriptors after 350 reads"

for port in "$OPERATOR" "$(control_port 0)" "$(admin_port 0)"; do
    : > "$RUN/holder.log"
    hold "$port" 330
    wait_until 20 holds || fail "330 connections were not taken up"
    check_cpu "with 330 callers on port $port"
    check_reads "with 330 callers on port $port"
    say "port $port: $(descriptors) descriptors with 330 callers"
    stop holder KILL
    check_reads "after 330 callers on port $port"
    check_cpu "after 330 callers on port $port"
    wait_until 5 has_few_descriptors ||
        fail "$(descriptors) descriptors after 330 callers on port $port"
done

for turn in 1 2 3 4 5 6; do
    kill -STOP "${PIDS[control-0]}"
    (sleep 0.3; kill -CONT "${PIDS[control-0]}") &
    curl -s -Z --parallel-immediate --parallel-max 150 -m 5 -o /dev/null \
        -w '%{http_code} %{time_total}\n' "$CONFIG?[1-150]" > "$RUN/herd" 2> /dev/null
    wait $!
    awk '$1 == 200 && $2 < 1 { n++ } $2 > worst { worst = $2 }
         END { print n + 0, worst }' "$RUN/herd" > "$RUN/herd.sum"
    say "herd $turn: answered within 1 s, worst: $(cat "$RUN/herd.sum")"
    [ "$(cut -d ' ' -f 1 "$RUN/herd.sum")" = 150 ] ||
        fail "of 150 callers after a pause of 0.3 s not all were answered in 1 s"
done

stop control-0
start_limited 4096
wait_until 10 reads 1 || fail "no configuration after a start"
: > "$RUN/holder.log"
hold "$OPERATOR" 200
wait_until 20 holds || fail "200 connections were not taken up"
say "$(descriptors) descriptors with 200 idle callers"
wait_until $IDLE_SECONDS has_few_descriptors ||
    fail "$(descriptors) descriptors $IDLE_SECONDS s after 200 idle callers"
check_reads "with 200 idle callers"
stop holder KILL
stop control-0
echo "descriptors: every read was answered, nothing span, idle were closed"

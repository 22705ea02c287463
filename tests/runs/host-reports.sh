#!/usr/bin/env bash
# Guards against resets of open flows on the word of a host report: reports of
# another writer, of another host, late ones and late deregistrations reach the
# agents of hosts that live, and agents are restarted. No request on an open
# connection may fail, and every host must get new flows again.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/host-reports}
BASE=${BASE:-34000}
. tests/system.sh
trap stop_system EXIT

INTERVAL_MS=300
declare -A BORN SEQUENCE

reports_port() { echo $((BASE + 950 + $1)); }
agent() {
    start_agent lens-desk "$1" --host-report-ms $INTERVAL_MS \
        --host-reports "127.0.0.1:$(reports_port "$1")"
}

# report INDEX ID SEQUENCE BORN [ADDRESS]: a whole report to an agent.
report() {
    printf '{"service":"lens-desk","address":"%s","zone":"z","version":"v1","slots":7,"state":"ready","cold-left-ms":0,"seq":%s,"born":%s}' \
        "${5:-127.0.0.1:$(host_port "$1")}" "$3" "$4" |
        curl -s -m 1 -o /dev/null -w '%{http_code}' -X PUT \
            -H 'Content-Type: application/json' -d @- \
            "127.0.0.1:$(reports_port "$1")/-/instances/$2"
}
deregister() {
    curl -s -m 1 -o /dev/null -X DELETE \
        "127.0.0.1:$(reports_port "$1")/-/instances/$2"
}
now_ms() { date +%s%3N; }
host_begins() { BORN[$1]=$(now_ms) SEQUENCE[$1]=0; }

# reports N: each living host sends N reports, one an interval.
reports() {
    local i n
    for ((n = 0; n < $1; n++)); do
        for i in 0 1 2; do
            [ -n "${PIDS[host-$i]:-}" ] || continue
            SEQUENCE[$i]=$((SEQUENCE[$i] + 1))
            report $i "i-$i" "${SEQUENCE[$i]}" "${BORN[$i]}" > /dev/null
        done
        sleep 0.3
    done
}
serves() { reports 1 && has_ready lens-desk 3; }

prepare_run
create_system || exit 1
start_control 0
for i in 0 1 2; do start_balancer $i; done
for i in 0 1 2; do
    start_host lens-desk 10.80.0.1:7000 $i
    agent $i
    host_begins $i
done
start_edge "127.0.0.1:$(service_port 0)" 10.80.0.1:7000
wait_until 10 cli service list || fail "control-0 does not answer"
cli service apply "$(document lens-desk 10.80.0.1:7000)" ||
    fail "service apply failed"
wait_until 5 serves || fail "the hosts are not ready"

start client "$BIN/tests/standin-client" --requests 3000 \
    --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
    --connections 60 --per-connection 1000000 --pause-ms 300
reports 3

say "reports of another writer, of another host, and late ones"
for i in 0 1 2; do
    [ "$(report $i i-9 1 "$(now_ms)" 127.0.0.1:1)" = 400 ] ||
        fail "a report of another address is acknowledged"
    report $i "i-$i" 99 1000 > /dev/null
    report $i i-9 1 "$(now_ms)" > /dev/null
done
reports 5
say "late deregistrations"
for i in 0 1 2; do deregister $i "i-$i"; done
reports 5
wait_until 5 serves || fail "a living host does not count as one"
say "each agent is restarted, and reads a late report first"
for i in 0 1 2; do
    stop "agent-$i"
    agent $i
    wait_until 2 report $i "i-$i" 1 1000 || fail "agent-$i takes no report"
    reports 3
done
say "each agent is restarted after a late deregistration"
for i in 0 1 2; do
    deregister $i "i-$i"
    stop "agent-$i"
    agent $i
    reports 3
done
wait_until 5 serves || fail "a living host does not count as one"
wait "${PIDS[client]}"
unset "PIDS[client]"
tail -n 1 "$RUN/client.log"
grep -q 'requests=3000 answered=3000 broken=0 misdirected=0' \
    "$RUN/client.log" || fail "requests failed"
! grep -h 'event=flow_reset' "$RUN"/agent-*.log || fail "flows were reset"
say "no open flow was reset"

#!/usr/bin/env bash
# Scripted run on real processes: a crowd of callers before one cold host,
# whose agent is killed and started again and again, and paused. The host must
# never get more new flows in one second than its service allows a cold host,
# and gets all of them once it is warm.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/cold-host}
BASE=${BASE:-31000}
RATE=5
COLD_MS=14000
. tests/system.sh
trap stop_system EXIT

reports_port() { echo $((BASE + 950)); }

# report SEQUENCE COLD_MS: the host's report to its agent.
report() {
    printf '{"service":"lens","address":"127.0.0.1:%s","zone":"z","version":"v1","slots":7,"state":"ready","born":1,"seq":%s,"cold-left-ms":%s}' \
        "$(host_port 0)" "$1" "$2" |
        curl -sf -m 1 -X PUT -H 'Content-Type: application/json' -d @- \
            "127.0.0.1:$(reports_port)/-/instances/i-1" > /dev/null
}

# report_until MS: reports every 0.3 s until the time MS after the start.
report_until() {
    local now
    while now=$((($(date +%s%N) - began) / 1000000)) && [ "$now" -lt "$1" ]; do
        sequence=$((sequence + 1))
        report "$sequence" $((now < COLD_MS ? COLD_MS - now : 0))
        sleep 0.3
    done
}

agent() {
    start_agent lens 0 --host-reports "127.0.0.1:$(reports_port)"
}

# most_in_a_second FILE: prints the most times, in microseconds, in any window
# of a second.
most_in_a_second() {
    awk 'BEGIN { n = first = 0 }
         { t[n++] = $1; while (t[n - 1] - t[first] >= 1000000) first++
           if (n - first > most) most = n - first }
         END { print most + 0 }' "$1"
}

prepare_run
create_system || exit 1
start_control 0
for i in 0 1 2; do start_balancer $i; done
start_host lens 10.80.0.1:7000 0
start_edge "127.0.0.1:$(service_port 0)" 10.80.0.1:7000
wait_until 10 cli service list || fail "control-0 does not answer"
document lens 10.80.0.1:7000 > /dev/null
printf '[cold-start]\nflows-per-second = %s\n' $RATE >> "$RUN/lens.conf"
cli service apply "$RUN/lens.conf" || fail "service apply failed"
agent
wait_until 5 report 2 $COLD_MS || fail "the agent takes no report"
began=$(date +%s%N)
sequence=2
wait_until 10 has_ready lens 1 || fail "the upstream is not ready"
# What route explain says, and that it sends nothing to balancers and agents.
explain() { cli route explain "$@" > "$RUN/route.txt" 2>&1; }
traffic() {
    local i
    for i in 0 1 2; do
        metric "$(admin_port $((100 + i)))" packets_in_total
    done
}
before=$(traffic)
explain 10.80.0.1:7000 --from 10.9.0.1:4000 || fail "no route is explained"
grep -q '^candidate 1: upstream-0 of lens .*ready; busy=0 ' "$RUN/route.txt" &&
    grep -q '^a cold host gets 5.000 new flows a second' "$RUN/route.txt" &&
    grep -q '^result: the packet goes to candidate 1 (routed)' \
        "$RUN/route.txt" || fail "the explanation lacks a step"
explain 10.80.0.1:7000 --via nowhere --zone-weight 3 --json ||
    fail "no JSON is printed"
explain 10.80.0.9:7000
[ $? = 1 ] || fail "an unknown address does not end with 1"
explain 10.80.0.9
[ $? = 2 ] || fail "an address without a port does not end with 2"
explain 10.80.0.1:7000 --control "127.0.0.1:$(control_port 9)" \
    --timeout-seconds 1
[ $? = 4 ] || fail "no answer does not end with 4"
[ "$(traffic)" = "$before" ] || fail "route explain has sent packets"

start client "$BIN/tests/standin-client" --requests 100000 \
    --targets "127.0.0.1:$(service_port 0)" --services lens \
    --connections 20 --per-connection 1 --pause-ms 20

for i in 1 2 3 4; do
    report_until $((i * 2000 + (i % 2) * 700))
    say "killing the agent beside the cold host ($i)"
    stop agent-0 KILL
    agent
done
report_until 10000
say "pausing the agent for 1.5 s"
kill -STOP "${PIDS[agent-0]}"
sleep 1.5
kill -CONT "${PIDS[agent-0]}"
report_until $((COLD_MS + 4000))

sed -n 's/^event=accepted at_us=//p' "$RUN/host-0.log" |
    awk -v end=$((began / 1000 + COLD_MS * 1000)) -v run="$RUN" \
        '{ print > (run ($1 < end ? "/cold.txt" : "/warm.txt")) }'
cold_lines=$(wc -l < "$RUN/cold.txt")
most=$(most_in_a_second "$RUN/cold.txt")
warm=$(most_in_a_second "$RUN/warm.txt")
echo "cold-host: flows=$cold_lines most_in_a_second=$most warm=$warm"
[ "$cold_lines" -ge 20 ] || fail "the cold host got only $cold_lines flows"
[ "$most" -le $RATE ] || fail "the cold host got $most flows in one second"
[ "$warm" -gt $((2 * RATE)) ] || fail "the warm host got $warm flows a second"

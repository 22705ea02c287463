#!/usr/bin/env bash
# Scripted run on real processes: open connections during planned changes.
# Balancers are stopped, killed and started; agents are replaced and killed;
# an upstream joins and others drain. No request may fail.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/flows}
BASE=${BASE:-20000}
LOSS=2
REORDER=20
DUPLICATE=5
. tests/system.sh
trap stop_system EXIT

agent() { start_agent lens-desk "$1" --drain-seconds 20; }

prepare_run
serve_lens_desk start_balancer agent

say "200 connections that stay open for the whole run"
start client "$BIN/tests/standin-client" --requests 12000 \
    --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
    --connections 200 --per-connection 1000000 --pause-ms 300
sleep 2

say "rolling restart of all balancers"
for i in 0 1 2; do
    stop "balancer-$i"
    start_balancer $i
    sleep 1
done
say "killing balancer-0"
stop balancer-0 KILL
sleep 1
start_balancer 0

say "replacing each agent, then killing each"
for i in 0 1 2; do
    stop "agent-$i" USR2
    agent $i
    sleep 1
done
for i in 0 1 2; do
    stop "agent-$i" KILL
    agent $i
    sleep 1
done

say "upstream 3 joins"
start_host lens-desk 10.80.0.1:7000 3
agent 3
wait_until 10 has_ready lens-desk 4 || fail "upstream-3 did not join within 10 s"

say "upstream 1 is drained by order and resumed"
cli upstream drain upstream-1 || fail "upstream drain failed"
wait_until 3 has_ready lens-desk 3 || fail "drain not announced within 3 s"
cli upstream resume upstream-1 || fail "upstream resume failed"
wait_until 3 has_ready lens-desk 4 || fail "resume not announced within 3 s"
cli upstream drain nobody 2> /dev/null
[ $? = 1 ] || fail "upstream drain of an unknown upstream did not end with 1"

say "upstream 0 drains: open flows go on, new ones go elsewhere"
before=$(grep -c reading "$RUN/server-0.log")
kill -TERM "${PIDS[agent-0]}"
wait_until 3 has_ready lens-desk 3 || fail "drain not announced within 3 s"
start newcomer "$BIN/tests/standin-client" --requests 300 \
    --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
    --connections 10 --per-connection 1 --pause-ms 10 --reading-prefix new
wait "${PIDS[newcomer]}"
unset "PIDS[newcomer]"
grep -h -o 'answered=.*' "$RUN/newcomer.log"
grep -q "answered=300 broken=0 misdirected=0" "$RUN/newcomer.log" ||
    fail "requests on new flows failed during a drain"
! grep -q 'reading=new' "$RUN/server-0.log" ||
    fail "a draining upstream got new flows"
[ "$(grep -c reading "$RUN/server-0.log")" -gt "$before" ] ||
    fail "open flows of the draining upstream stopped"

wait "${PIDS[client]}"
unset "PIDS[client]"
result=$(grep -o 'requests=.*' "$RUN/client.log")
doubled=$(cat "$RUN"/server-*.log | grep -o 'reading=[^ ]*' | sort | uniq -d |
    wc -l)
echo "flows: $result doubled=$doubled"
case "$result doubled=$doubled" in
*" broken=0 misdirected=0 doubled=0") exit 0 ;;
*) exit 1 ;;
esac

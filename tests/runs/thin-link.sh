#!/usr/bin/env bash
# Scripted run on real processes: balancers that know the rate of a thin link,
# below what their callers send. Packets wait, one balancer is stopped and one
# killed meanwhile, and the rate is changed to an odd one. No request may fail.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/thin-link}
BASE=${BASE:-20000}
LOSS=2
REORDER=20
DUPLICATE=5
. tests/system.sh
trap stop_system EXIT

# waits INDEX: packets wait in the queue of a balancer.
waits() {
    [ "$(metric "$(admin_port $((100 + $1)))" egress_packets)" -gt 0 ]
}

thin_balancer() {
    start_balancer "$1" --link-rate 4 --stop-linger-seconds 1
}

agent() { start_agent lens-desk "$1" --drain-seconds 20; }

prepare_run
serve_lens_desk thin_balancer agent

say "40 callers send files of up to 60,000 bytes"
start client "$BIN/tests/standin-client" --requests 1200 \
    --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
    --connections 40 --per-connection 1 --body-bytes 60000
for i in 0 1 2; do
    wait_until 10 waits $i || fail "no packet waited at balancer-$i"
done

say "balancer-0 is stopped while packets wait there"
wait_until 10 waits 0 || fail "no packet waits at balancer-0"
kill -TERM "${PIDS[balancer-0]}"
wait "${PIDS[balancer-0]}"
code=$?
unset "PIDS[balancer-0]"
[ $code = 0 ] || fail "balancer-0 ended with $code"
thin_balancer 0

say "balancer-1 is killed while packets wait there"
wait_until 10 waits 1 || fail "no packet waits at balancer-1"
stop balancer-1 KILL

say "balancer-1 comes back with a rate that is none"
start_balancer 1 --link-rate fast
wait_until 10 grep -q 'event=setting_ignored setting=link-rate' \
    "$RUN/balancer-1.log" || fail "the odd rate was not reported"

wait "${PIDS[client]}"
unset "PIDS[client]"
waited=$(metric "$(admin_port 102)" egress_waited_total)
[ "$waited" -gt 100 ] || fail "only $waited packets waited at balancer-2"
result=$(grep -o 'requests=.*' "$RUN/client.log")
doubled=$(cat "$RUN"/server-*.log | grep -o 'reading=[^ ]*' | sort | uniq -d |
    wc -l)
echo "thin-link: $result doubled=$doubled waited=$waited"
case "$result doubled=$doubled" in
*" broken=0 misdirected=0 doubled=0") exit 0 ;;
*) exit 1 ;;
esac

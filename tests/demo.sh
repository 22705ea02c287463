#!/usr/bin/env bash
# make demo: starts the whole system on this machine, sends ordinary HTTP
# requests through it, and kills a balancer meanwhile. No request may fail.
# KEEP=1 leaves the system running.
set -u
cd "$(dirname "$0")/.."
BIN=${BUILD:-build}
RUN=demo-run
BASE=${BASE:-17000}
LOSS=5
REORDER=20
DUPLICATE=5
REQUESTS=${REQUESTS:-1100}
. tests/system.sh
trap stop_system EXIT

prepare_run
say "1 control instance, $BALANCERS balancers; logs in $RUN/"
create_system || exit 1
start_control 0
for i in 0 1 2; do start_balancer $i; done

say "4 upstreams of 2 services, each with its agent, host and server"
for i in 0 1; do
    start_host lens-desk 10.80.0.1:7000 $i
    start_agent lens-desk $i
done
for i in 2 3; do
    start_host photo-shelf 10.80.0.2:7000 $i
    start_agent photo-shelf $i
done

say "fabric: each packet to a random balancer, loss $LOSS, reordering" \
    "$REORDER, duplication $DUPLICATE permille"
start_edge "127.0.0.1:$(service_port 0),127.0.0.1:$(service_port 1)" \
    10.80.0.1:7000,10.80.0.2:7000

say "applying two service documents"
wait_until 10 cli service list || fail "control-0 does not answer within 10 s"
cli service apply "$(document lens-desk 10.80.0.1:7000)" ||
    fail "service apply of lens-desk failed"
cli service apply "$(document photo-shelf 10.80.0.2:7000)" ||
    fail "service apply of photo-shelf failed"
wait_until 10 has_ready lens-desk 2 ||
    fail "lens-desk has not 2 ready upstreams"
wait_until 10 has_ready photo-shelf 2 ||
    fail "photo-shelf has not 2 ready upstreams"
cli service list

say "sending $((2 * REQUESTS)) requests over many connections"
start client "$BIN/tests/standin-client" --requests "$REQUESTS" \
    --targets "127.0.0.1:$(service_port 0),127.0.0.1:$(service_port 1)" \
    --services lens-desk,photo-shelf --connections 20 --per-connection 25
wait_until 120 grep -q "client: half" "$RUN/client.log" ||
    fail "half of the requests are not answered within 120 s"
say "half of the requests answered: killing balancer-1"
stop balancer-1 KILL
noticed() { [ "$(grep -c "balancer 1 unreachable" "$RUN/fabric.log")" -ge 3 ]; }
wait_until 10 noticed ||
    fail "the fabric does not report balancer-1 as unreachable"
wait "${PIDS[client]}"
unset "PIDS[client]"
result=$(grep -o 'requests=.*' "$RUN/client.log")
cli status

if [ "${KEEP:-}" = 1 ]; then
    start_balancer 1
    say "left running. lens-desk: http://127.0.0.1:$(service_port 0)/bytes/1000"
    say "              photo-shelf: http://127.0.0.1:$(service_port 1)/bytes/1000"
    say "for the command line: export RADISHPORT_CONTROL=$RADISHPORT_CONTROL" \
        "RADISHPORT_KEY_FILE=$RADISHPORT_KEY_FILE"
    say "to stop it: kill ${PIDS[*]}"
    trap - EXIT
    disown -a
fi
echo "demo: $result"
case $result in
*" broken=0 misdirected=0") exit 0 ;;
*) exit 1 ;;
esac

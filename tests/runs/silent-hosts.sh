#!/usr/bin/env bash
# Scripted run on real processes: hosts stand still for longer than their
# agents wait for the answer to a SYN, and then answer it late, while another
# host has taken the flow. No request may fail.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/silent-hosts}
BASE=${BASE:-20000}
LOSS=2
REORDER=20
DUPLICATE=5
. tests/system.sh
trap stop_system EXIT

agent() { start_agent lens-desk "$1"; }

prepare_run
serve_lens_desk start_balancer agent
start client "$BIN/tests/standin-client" --requests 2000 \
    --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
    --connections 10 --per-connection 1 --pause-ms 20
say "hosts stand still for 0.4 s, one after the other"
for i in 0 1 2 0 1 2 0 1 2; do
    kill -STOP "${PIDS[host-$i]}"
    sleep 0.4
    kill -CONT "${PIDS[host-$i]}"
    sleep 0.3
done
wait "${PIDS[client]}"
unset "PIDS[client]"
retried=$(cat "$RUN"/agent-*.log | grep -c event=flow_retried)
[ "$retried" -gt 0 ] || fail "no flow went to another host"
result=$(grep -o 'requests=.*' "$RUN/client.log")
echo "silent-hosts: $result retried=$retried"
case $result in
*" broken=0 misdirected=0") exit 0 ;;
*) exit 1 ;;
esac

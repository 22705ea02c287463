#!/usr/bin/env bash
# A release replaces a host; the node beside the new one is restarted as planned.
# Later the new host crashes and comes back, and open flows of other hosts get
# resets. See claim.txt.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lab-2/lab.sh"
ZONES=(- ro-nw-a ro-nw-b ro-nw-c ro-nw-a ro-nw-b ro-nw-c ro-nw-a ro-nw-a)
HOSTS="2 3 4 5 6 7 8"

start_edges
for n in $HOSTS; do start_agent $n; done
sleep 0.3
for n in $HOSTS; do start_host $n i-host$n; done
configure 7
wait_ready
sleep 6 # longer than stable-window-ms after the last start

step "96 flows open at seven hosts; each pauses until 10 s"
start_client 1 96 40000 0,10000 24000
sleep 1.5
step "planned: a release; the new host starts first, with its machine"
start_agent 1
sleep 0.3
start_host 1 i-host1
sleep 1
step "planned: the old one, host 8, drains"
kill -USR1 "${PID[host-i-host8]}"
sleep 0.5
step "planned: the new machine's node is stopped and started"
end agent.side-1 TERM
start_agent 1
sleep 6
if [ "$TROUBLE" != 0 ]; then
    step "the new host crashes"
    end host-i-host1 KILL
    sleep 4.5
    step "it starts again, as another incarnation"
    start_host 1 i-host1b
fi
wait "${PID[client-1]}"
for n in 2 3 4 5 6 7 8; do end host-i-host$n TERM; done

log=$RUN/lab.client-1.log
opened=$(count ' open port' "$RUN"/lab.host-i-host[2-7].log)
held=$(cat "$RUN"/lab.host-i-host[2-7].log |
    awk -F'ends open_flows=' 'NF > 1 { sum += $2 } END { print sum + 0 }')
resets=$(count 'reset_by_system .*open=1 valid=1 server=i-host[2-7]' "$log")
by_host=$(count 'reset_by_host' "$log")
step "flows opened at the hosts that never stopped=$opened; they hold at the end=$held"
step "resets of these open flows by the system=$resets by hosts=$by_host"
[ "$opened" -ge 60 ] || cannot "the flows did not open"
[ "$resets" -eq 0 ] || { step "FLOW is broken"; exit 1; }
step "FLOW holds"
exit 0

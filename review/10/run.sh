#!/usr/bin/env bash
# A heartbeat of another writer, in which fields are missing, reaches the
# control address of a machine with a living host. See claim.txt.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lab-2/lab.sh"

start_edges
for n in 1 2 3; do start_agent $n; done
sleep 0.3
export LAB_WORK_MS=400
for n in 1 2 3; do start_host $n i-host$n; done
configure 7
wait_ready
sleep 6 # longer than stable-window-ms after the last start

step "24 flows open; each sends a request at once, after 4 s and after 8 s"
start_client 1 24 40000 0,4000,8000 13000
sleep 4.35 # the second requests are under way, and take 0.4 s
if [ "$TROUBLE" != 0 ]; then
    step "another writer's heartbeat, without address, zone and version"
    call PUT "http://$(side_ip 1):$P/-/instances/i-other" \
        "{\"service\":\"$SERVICE\",\"slots\":3,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\"born\":$(date +%s%3N)}"
fi
wait "${PID[client-1]}"
for n in 1 2 3; do end host-i-host$n TERM; done

log=$RUN/lab.client-1.log
answers=$(count 'client answered' "$log")
resets=$(count 'reset_by_system .*open=1 valid=1' "$log")
by_host=$(count 'reset_by_host' "$log")
lost=$(grep -h -o ' run id=[^ ]*' "$RUN"/lab.host-*.log | sort -u | cut -d= -f2 |
    while read -r id; do grep -q "answered id=$id " "$log" || echo "$id"; done | wc -l)
step "requests that hosts ran and that were never answered=$lost"
step "answers=$answers resets of open flows by the system=$resets by hosts=$by_host"
[ "$answers" -ge 40 ] || cannot "the flows did not open"
[ "$resets" -eq 0 ] || { step "FLOW is broken"; exit 1; }
step "FLOW holds"
exit 0

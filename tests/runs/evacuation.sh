#!/usr/bin/env bash
# Scripted run on real processes: data centre b (hosts 2 and 3 of 4) is
# evacuated and restored in series while control instances are killed: the
# leader right after it has acknowledged, then all at once. Callers keep flows
# open all the while and open new ones. After an order that is acknowledged, no
# new flow may reach a host in b; no open flow may break; an order that was
# acknowledged must stay; without a quorum none may be acknowledged.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/evacuation}
BASE=${BASE:-28600}
CONTROLS=3
ROUNDS=${ROUNDS:-3}
. tests/system.sh
trap stop_system EXIT

# The instances have one address each with equal ports, as redirects name the
# address only.
host_ip() { echo "127.1.211.$((1 + $1))"; }
http() { echo "$(host_ip "$1"):$((BASE + 50))"; }
control_list() {
    local i list=""
    for i in 0 1 2; do
        list="$list${list:+,}$(host_ip "$i"):$(control_port 0)"
    done
    echo "$list"
}

start_control() {
    local i=$1
    start "control-$i" "$BIN/programs/radishportd" control \
        --name "control-$i" --listen "$(host_ip "$i"):$(control_port 0)" \
        --operator-http "$(http "$i")" --zones a,b --data "$RUN/control-$i" \
        --bootstrap --admin "127.0.0.1:$(admin_port "$i")"
}
start_relay() {
    start control-3 "$BIN/programs/radishportd" control --name control-3 \
        --listen "$(host_ip 3):$(control_port 0)" \
        --operator-http "$(http 3)" --admin "127.0.0.1:$(admin_port 3)"
}
leader() {
    local i
    for i in 0 1 2; do leads $i && echo $i && return 0; done
    return 1
}

# send METHOD INDEX NAME: one call of the operator; prints the status.
send() {
    curl -s -o "$RUN/answer" -L --max-redirs 2 -m 1 -X "$1" \
        -w '%{http_code}' "$(http "$2")/-/evacuation/$3"
}
# order METHOD: sends it until it is acknowledged, to another instance each
# time, at most 6 s.
order() {
    local i
    for ((i = 0; i < 24; i++)); do
        [ "$(send "$1" $((i % 4)) b)" = 200 ] && return 0
        sleep 0.2
    done
    return 1
}

# everywhere N: all nodes have N evacuated data centres in their tables.
everywhere() {
    local i
    for i in 100 101 102 200 201 202 203; do
        [ "$(metric "$(admin_port "$i")" zones_evacuated)" = "$1" ] ||
            return 1
    done
}

# callers NAME: callers that open a flow for each of 60 requests. NAME marks
# their requests in the logs of the servers.
callers() {
    "$BIN/tests/standin-client" --requests 60 \
        --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
        --connections 4 --per-connection 1 --pause-ms 5 \
        --reading-prefix "$1" > "$RUN/callers-$1.log" 2>&1
    grep -q "answered=60 broken=0 misdirected=0" "$RUN/callers-$1.log" ||
        fail "$1: $(grep -o 'answered=.*' "$RUN/callers-$1.log")"
}
# reached NAME HOST...: whether a request of these callers reached a host.
reached() {
    local name=$1 i
    shift
    for i in "$@"; do
        grep -q "reading=$name-" "$RUN/server-$i.log" && return 0
    done
    return 1
}
none_in_b() {
    everywhere 1 || wait_until 5 everywhere 1 || fail "$1: not in force in 5 s"
    callers "$1"
    ! reached "$1" 2 3 || fail "$1: a new flow reached an evacuated host"
    reached "$1" 0 1 || fail "$1: no new flow reached the other hosts"
}
some_in_b() {
    wait_until 5 everywhere 0 || fail "$1: not taken back everywhere in 5 s"
    callers "$1"
    reached "$1" 2 3 || fail "$1: no new flow reached the restored hosts"
}

prepare_run
for i in 0 1 2; do start_control $i; done
start_relay
for i in 0 1 2; do start_balancer $i; done
for i in 0 1 2 3; do
    start_host lens-desk 10.80.0.1:7000 $i
    zone=a
    [ $i -ge 2 ] && zone=b
    start_agent lens-desk $i --zone $zone \
        --admin "127.0.0.1:$(admin_port $((200 + i)))"
done
start_edge "127.0.0.1:$(service_port 0)" 10.80.0.1:7000
wait_until 20 leader || fail "no leader within 20 s"
cli service apply "$(document lens-desk 10.80.0.1:7000)" ||
    fail "service apply failed"
wait_until 10 has_ready lens-desk 4 || fail "not 4 ready upstreams in 10 s"
start client "$BIN/tests/standin-client" --requests 10000 \
    --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
    --connections 40 --per-connection 1000000 --pause-ms 300
sleep 1
some_in_b before

say "an order reaches the leader from every instance, with its path"
follower=$((($(leader) + 1) % 3))
curl -s -o /dev/null -D "$RUN/head" -m 1 -X POST \
    "$(http $follower)/-/evacuation/b"
grep -qi "^location: http://$(http "$(leader)")/-/evacuation/b" "$RUN/head" ||
    fail "a follower does not name the leader: $(cat "$RUN/head")"
for i in 0 1 2 3; do
    answer=$(send POST $i b)
    [ "$answer" = 200 ] || fail "control-$i answers $answer"
    answer=$(send POST $i nowhere)
    [ "$answer" = 400 ] || fail "control-$i answers $answer for no data centre"
done
none_in_b first
cli status | grep -q '^evacuated: b$' || fail "status does not show it"
cli zone restore b --wait-seconds 5 || fail "zone restore failed"
cli zone restore nowhere 2> /dev/null && fail "an unknown zone was restored"
some_in_b restored

for ((round = 1; round <= ROUNDS; round++)); do
    say "round $round: the leader is killed right after it has acknowledged"
    led=$(leader)
    [ "$(send POST "$led" b)" = 200 ] || order POST || fail "not acknowledged"
    stop "control-$led" KILL
    none_in_b "killed$round"
    start_control "$led"
    wait_until 10 is_fresh "$led" || fail "control-$led is not up to date"
    order DELETE || fail "the withdrawal is not acknowledged"
    some_in_b "withdrawn$round"

    say "round $round: all are killed, an agent in b starts again meanwhile"
    order POST || fail "not acknowledged"
    for i in 0 1 2; do kill -KILL "${PIDS[control-$i]}"; done
    for i in 0 1 2; do stop control-$i KILL; done
    stop agent-3 USR2
    start_agent lens-desk 3 --zone b --admin "127.0.0.1:$(admin_port 203)"
    answer=$(send DELETE 3 b)
    [ "$answer" = 503 ] || fail "a relay without replicas answers $answer"
    start_control 0
    sleep 0.5
    answer=$(send DELETE 0 b)
    [ "$answer" != 200 ] || fail "acknowledged without a quorum"
    start_control 1
    start_control 2
    wait_until 10 leader || fail "no leader after the restart"
    none_in_b "all$round"
    order DELETE || fail "the withdrawal is not acknowledged"
    order DELETE || fail "the withdrawal is not acknowledged again"
    some_in_b "back$round"
done

say "both data centres: new flows are refused at once, open ones stay"
order POST || fail "not acknowledged"
[ "$(send POST "$(leader)" a)" = 200 ] || fail "not acknowledged"
wait_until 5 everywhere 2 || fail "not in force in 5 s"
"$BIN/tests/standin-client" --requests 8 --per-connection 1 \
    --targets "127.0.0.1:$(service_port 0)" --services lens-desk \
    --connections 4 --reading-prefix nobody > "$RUN/callers-nobody.log" 2>&1
! reached nobody 0 1 2 3 || fail "a new flow reached an evacuated host"
refused=0
for i in 0 1 2; do
    refused=$((refused +
        $(metric "$(admin_port $((100 + i)))" refused_evacuated_total)))
done
[ "$refused" -ge 8 ] || fail "only $refused new flows were refused at once"
for zone in a b; do
    cli zone restore $zone --wait-seconds 5 || fail "zone restore failed"
done
some_in_b end

wait "${PIDS[client]}"
unset "PIDS[client]"
result=$(grep -o 'requests=.*' "$RUN/client.log")
doubled=$(cat "$RUN"/server-*.log | grep -o 'reading=[^ ]*' | sort | uniq -d |
    wc -l)
echo "evacuation: open flows: $result doubled=$doubled"
case "$result doubled=$doubled" in
*" broken=0 misdirected=0 doubled=0") exit 0 ;;
*) exit 1 ;;
esac

#!/usr/bin/env bash
# Scripted run on real processes: sends malformed input to every port. Checks
# that each kind is dropped and counted by its own counter, and that requests
# still succeed.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/bad-input}
BASE=${BASE:-21000}
BALANCERS=1
. tests/system.sh
trap stop_system EXIT

# counter ADMIN_PORT NAME: prints the counter radishport_NAME_total.
counter() { metric "$1" "$2_total"; }

# send_udp PORT HEX: sends one datagram.
send_udp() {
    printf "$(echo "$2" | sed 's/../\\x&/g')" > "$RUN/datagram"
    cat "$RUN/datagram" > "/dev/udp/127.0.0.1/$1"
}

# expect PORT ADMIN_PORT COUNTER HEX: sends a datagram and checks that COUNTER
# goes up by one.
expect() {
    local before after
    before=$(counter "$2" "$3")
    send_udp "$1" "$4"
    sleep 0.1
    after=$(counter "$2" "$3")
    [ "$after" = $((before + 1)) ] || fail "$3: $before -> $after"
    say "$3 counted"
}

prepare_run
create_system || exit 1
start_control 0
start_balancer 0
start_host lens-desk 10.80.0.1:7000 0
start_agent lens-desk 0 --admin "127.0.0.1:$(admin_port 200)"
start_edge "127.0.0.1:$(service_port 0)" 10.80.0.1:7000
wait_until 10 cli service list || fail "control-0 does not answer"
cli service apply "$(document lens-desk 10.80.0.1:7000)" ||
    fail "service apply failed"
wait_until 10 has_ready lens-desk 1 || fail "lens-desk has no ready upstream"

GENEVE=0000080000000000
IP="4500002800004000400600000a0900010a500001"
OTHER="4500002800004000400600000a0900010a500009"
TCP="0fa01b58000000640000000050020000000000 00"
TCP=${TCP// /}
for part in balancer agent; do
    if [ $part = balancer ]; then
        port=$(balancer_port 0)
        admin=$(admin_port 100)
    else
        port=$(agent_port 0)
        admin=$(admin_port 200)
    fi
    expect "$port" "$admin" drop_short 00
    expect "$port" "$admin" drop_bad_geneve 4000080000000000
    expect "$port" "$admin" drop_bad_option 0100080000000000ff52821f
    expect "$port" "$admin" drop_bad_ip "${GENEVE}6500002800004000400600000a0900010a500001$TCP"
    expect "$port" "$admin" drop_fragment "${GENEVE}4500002800002000400600000a0900010a500001$TCP"
    expect "$port" "$admin" drop_bad_transport "${GENEVE}4500002800004000401100000a0900010a500001$TCP"
done
expect "$(balancer_port 0)" "$(admin_port 100)" drop_unknown_address "$GENEVE$OTHER$TCP"
expect "$(agent_port 0)" "$(admin_port 200)" drop_wrong_service "$GENEVE$IP$TCP"

say "unauthenticated peers on the control port"
control=$(control_port 0)
before=$(counter "$(admin_port 0)" frame_over_limit)
printf 'GET / HTTP/1.1\r\n\r\n' > "/dev/tcp/127.0.0.1/$control"
sleep 0.2
[ "$(counter "$(admin_port 0)" frame_over_limit)" -gt "$before" ] ||
    fail "frame_over_limit did not count an oversized frame"
head -c 24 /dev/urandom | base64 > "$RUN/wrong-key"
chmod 600 "$RUN/wrong-key"
cli service list --key-file "$RUN/wrong-key" --timeout-seconds 2 &&
    fail "a wrong key was accepted"
[ "$(counter "$(admin_port 0)" frame_bad_mac)" -gt 0 ] ||
    fail "frame_bad_mac did not count a wrong key"
chmod 644 "$RUN/wrong-key"
cli service list --key-file "$RUN/wrong-key" 2> "$RUN/mode.txt"
[ $? = 2 ] || fail "a key file of mode 0644 was accepted"
exec 9<> "/dev/tcp/127.0.0.1/$control"
wait_until 6 test "$(counter "$(admin_port 0)" peer_timeout)" -ge 0
sleep 4
[ "$(counter "$(admin_port 0)" peer_timeout)" -gt 0 ] ||
    fail "an idle unauthenticated connection was not closed"
exec 9>&-

say "requests still succeed"
"$BIN/tests/standin-client" --requests 100 --services lens-desk \
    --targets "127.0.0.1:$(service_port 0)" ||
    fail "requests failed after the bad input"
echo "bad-input: every kind counted, nothing broken"

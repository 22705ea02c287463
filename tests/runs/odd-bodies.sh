#!/usr/bin/env bash
# Scripted run on real processes: another writer sends request bodies to the
# ports that take JSON, up to the largest body that each takes: deeply nested,
# with numbers too large, with very many values, not JSON at all; and heads
# without an end. No process may end or exceed the memory of the smallest
# machine, what is invalid must not be acknowledged, and the reports and
# configurations that follow must be.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/odd-bodies}
BASE=${BASE:-23000}
EDITION_MAX=1310720 # with 80 MiB of memory
REPORT_MAX=65536
MEMORY_MAX_KB=$((80 << 10))
. tests/system.sh
trap stop_system EXIT

# repeat TEXT COUNT: prints a text COUNT times.
repeat() { yes "$1" | head -n "$2" | tr -d '\n'; }

# body FORM SIZE: prints a body of at most SIZE bytes.
body() {
    local n=$(($2 - 100))
    case $1 in
        open) repeat '[' "$2" ;;
        arrays) repeat '[' $((n / 2)) && repeat ']' $((n / 2)) ;;
        members)
            printf '{"x":'
            repeat '{"a":' $((n / 6)) && printf 1 && repeat '}' $((n / 6))
            printf '}'
            ;;
        number) printf '{"x":' && repeat 9 "$n" && printf '}' ;;
        string) printf '{"x":"' && repeat '\u0041' $((n / 6)) && printf '"}' ;;
        zeros) printf '{"x":[0' && repeat ,0 $((n / 2)) && printf ']}' ;;
        objects) printf '{"x":[0' && repeat ',{}' $((n / 3)) && printf ']}' ;;
        routes)
            printf '{"version":9,"services":[],"routes":[{}'
            repeat ',{}' $((n / 3)) && printf ']}'
            ;;
    esac
}
FORMS="open arrays members number string zeros objects routes"

# send METHOD URL FILE: prints the status of the answer; 000 if none came.
send() {
    curl -s -o "$RUN/answer" -m 20 -w '%{http_code}' -X "$1" \
        -H 'Content-Type: application/json' --data-binary "@$3" "$2"
}

# check_process NAME WHAT: fails if the process has ended or has used too much
# memory.
check_process() {
    local peak
    kill -0 "${PIDS[$1]}" 2> /dev/null || fail "$1 ended after $2"
    peak=$(awk '/VmHWM/ { print $2 }' "/proc/${PIDS[$1]}/status")
    [ "$peak" -lt $MEMORY_MAX_KB ] || fail "$1 used $peak KB after $2"
}

edition() {
    printf '{"version":%d,"services":[{"name":"lens"}],"routes":[' "$1"
    printf '{"host":"10.80.0.1","path-prefix":"/80/","route-type":"download",'
    printf '"timeout-ms":900,"service":"lens"}]}'
}

report() {
    printf '{"service":"lens","address":"127.0.0.1:%d",' "$(host_port 0)"
    printf '"zone":"z","version":"v1","born":1,"cold-left-ms":0,'
    printf '"slots":7,"state":"ready","seq":%d}' "$1"
}

prepare_run
create_system || exit 1
CONFIG="http://127.0.0.1:$(admin_port 500)/-/config"
REPORTS="http://127.0.0.1:$(admin_port 501)/-/instances"
start control-0 "$BIN/programs/radishportd" control --name control-0 \
    --listen "127.0.0.1:$(control_port 0)" --data "$RUN/control-0" \
    --memory-mb 80 --operator-http "127.0.0.1:$(admin_port 500)"
start_agent lens 0 --packets platform --host-report-ms 1200 \
    --host-reports "127.0.0.1:$(admin_port 501)"
edition 1 > "$RUN/good"
wait_until 10 test "$(send PUT "$CONFIG" "$RUN/good")" = 200 ||
    wait_until 10 sh -c "curl -sf -X PUT --data-binary @$RUN/good $CONFIG" ||
    fail "the first configuration is not acknowledged"

version=1
for form in $FORMS; do
    for size in 3000 $EDITION_MAX $((EDITION_MAX + 1000)) $((8 << 20)); do
        body "$form" "$size" > "$RUN/odd"
        status=$(send PUT "$CONFIG" "$RUN/odd")
        check_process control-0 "a configuration of $size bytes, $form"
        [ "$status" = 400 ] || fail "$form, $size bytes: status $status"
    done
    version=$((version + 1))
    edition $version > "$RUN/good"
    [ "$(send PUT "$CONFIG" "$RUN/good")" = 200 ] ||
        fail "a configuration after $form is not acknowledged"
    [ "$(send GET "$CONFIG" /dev/null)" = 200 ] &&
        cmp -s "$RUN/answer" "$RUN/good" ||
        fail "another configuration is read back after $form"
done
say "the control port holds"

sequence=0
for form in $FORMS; do
    for size in 3000 $REPORT_MAX $((REPORT_MAX + 1000)) $((8 << 20)); do
        body "$form" "$size" > "$RUN/odd"
        status=$(send PUT "$REPORTS/i-1" "$RUN/odd")
        check_process agent-0 "a report of $size bytes, $form"
        [ "$status" = 400 ] || fail "$form, $size bytes: status $status"
    done
    sequence=$((sequence + 1))
    report $sequence > "$RUN/good"
    [ "$(send PUT "$REPORTS/i-1" "$RUN/good")" = 200 ] ||
        fail "a report after $form is not acknowledged"
done
for odd in '"seq":9223372036854775808' '"seq":1e400' '"seq":-1' \
    '"seq":2,"slots":70000' '"seq":2,"cold-left-ms":99999999999' \
    '"seq":2,"born":[]' '"seq":2,"state":"lost"' '"seq":2,"service":"a b"' \
    '"seq":2,"service":"photos"' '"seq":2,"address":"127.0.0.1"' \
    '"seq":2,"address":"127.0.0.1:1"' '"seq":2,"address":7' \
    '"seq":2,"zone":null' '"seq":2,"version":1'; do
    report 1 | sed "s/\"seq\":1/$odd/" > "$RUN/odd"
    status=$(send PUT "$REPORTS/i-1" "$RUN/odd")
    check_process agent-0 "$odd"
    [ "$status" = 400 ] || fail "$odd: status $status"
done
for missing in service address zone version born cold-left-ms slots state; do
    report 2 | sed "s/\"$missing\":/\"other\":/" > "$RUN/odd"
    status=$(send PUT "$REPORTS/i-1" "$RUN/odd")
    [ "$status" = 400 ] || fail "a report without $missing: status $status"
done
for id in "$(repeat a 300)" "$(repeat %00 50)" '%0aevent=x' "$(repeat a/ 900)"; do
    send PUT "$REPORTS/$id" "$RUN/good" > /dev/null
    send DELETE "$REPORTS/$id" /dev/null > /dev/null
    check_process agent-0 "an odd id"
done
say "the agent's report port holds"

for process in control-0:500 agent-0:501; do
    port=$(admin_port "${process#*:}")
    {
        printf 'PUT /-/config HTTP/1.1\r\nx: '
        head -c $((100 << 20)) /dev/zero | tr '\0' a
    } 2> /dev/null | timeout 20 cat > "/dev/tcp/127.0.0.1/$port" 2> /dev/null
    check_process "${process%:*}" "a head without an end"
done
edition $((version + 1)) > "$RUN/good"
[ "$(send PUT "$CONFIG" "$RUN/good")" = 200 ] ||
    fail "a configuration at the end is not acknowledged"
echo "odd-bodies: nothing ended, nothing invalid was acknowledged"

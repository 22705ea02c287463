#!/usr/bin/env bash
# Scripted run on real processes: control instances without a disk ("relays")
# beside three replicas, each at an address of its own with equal ports. An
# operator that follows two redirects and waits 1 s for each answer reads the
# configuration from the relays while replicas are silent. An empty replica is
# told the followers' addresses only. A balancer, a relay and an empty replica
# are told the addresses of relays and of a silent instance only. At the end
# all replicas are gone.
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
RUN=${RUN:-demo-run/relay}
BASE=${BASE:-27600}
READS=${READS:-12} # at each relay, in each part
. tests/system.sh
trap stop_system EXIT

peer() { echo "127.1.$1:$((BASE + 1))"; }
http() { echo "127.1.$1:$((BASE + 2))"; }
admin() { echo "127.1.$1:$((BASE + 3))"; }
REPLICAS="201.1 201.2 201.3"
RELAYS="202.1 202.2"
INITIAL="$(peer 201.1),$(peer 201.2),$(peer 201.3)"
# A relay with replicas among its seeds, one without, and a silent instance.
ONLY_RELAYS="$(peer 202.1),$(peer 202.2),$(peer 209.9)"

# launch HOST SEEDS [FLAGS...]: starts the control instance 127.1.HOST.
launch() {
    local host=$1 seeds=$2
    shift 2
    start "control-$host" "$BIN/programs/radishportd" control \
        --name "control-${host/./-}" --listen "$(peer "$host")" \
        --control "$seeds" --operator-http "$(http "$host")" \
        --admin "$(admin "$host")" "$@"
}
replica() { launch "$1" "$2" --data "$RUN/data-$1" "${@:3}"; }

# gauge HOST NAME: prints a metric of a control instance.
gauge() {
    curl -s -m 1 "$(admin "$1")/metrics" | sed -n "s/^radishport_$2{.*} //p"
}
is() { [ "$(gauge "$1" "$2")" = "$3" ]; }
leader() {
    local host
    for host in $REPLICAS 201.4 201.5 201.6; do
        [ "$host" != "${1:-}" ] && is "$host" leads 1 && echo "$host" && return
    done
    return 1
}
has_joined() { is "$1" fresh 1; }

# call METHOD HOST: one call of the operator; prints status and milliseconds.
call() {
    curl -s -o "$RUN/answer" -L --max-redirs 2 -m 1 -X "$1" \
        -H 'Content-Type: application/json' --data-binary "@$RUN/$1" \
        -w '%{http_code} %{time_total}' "$(http "$2")/-/config"
}

# read_all WHAT: the operator reads READS times from each relay.
read_all() {
    local host i answer bad=0 all=0
    for host in $RELAYS; do
        for ((i = 0; i < READS; i++)); do
            answer=$(call GET "$host")
            all=$((all + 1))
            if [ "${answer% *}" != 200 ]; then
                bad=$((bad + 1))
                echo "$1: control-$host: $answer" >> "$RUN/reads.txt"
            fi
        done
    done
    say "$1: $((all - bad)) of $all reads answered"
    [ "$bad" = 0 ] || FAULTS="$FAULTS; $1: $bad of $all reads not answered"
}

# expect SECONDS WHAT COMMAND...
expect() {
    local what=$2
    if wait_until "$1" "${@:3}"; then
        say "$what: yes"
    else
        say "$what: NO, not within $1 s"
        FAULTS="$FAULTS; not within $1 s: $what"
    fi
}

FAULTS=""
prepare_run
: > "$RUN/GET"
printf '{"version":1,"services":[{"name":"lens"}],"routes":[{"host":' > "$RUN/PUT"
printf '"10.80.0.1","path-prefix":"/80/","route-type":"download",' >> "$RUN/PUT"
printf '"timeout-ms":900,"service":"lens"}]}' >> "$RUN/PUT"

replica 209.9 "$(peer 209.9)"
sleep 0.3
kill -STOP "${PIDS[control-209.9]}"
for host in $REPLICAS; do replica "$host" "$INITIAL" --bootstrap; done
wait_until 10 leader || fail "no leader within 10 s"
launch 202.1 "$INITIAL"
expect 5 "a relay that knows replicas is connected" is 202.1 control_connected 1
accepted() { [ "$(call PUT 202.1 | cut -c 1-3)" = 200 ]; }
expect 5 "a relay sends a change on to the leader" accepted

# Guards against a leader whose address a new replica never learns, so that
# its answers never reach it (issue 34).
followers=""
for host in $REPLICAS; do
    [ "$host" != "$(leader)" ] && followers="$followers,$(peer "$host")"
done
replica 201.5 "${followers#,}"
expect 8 "an empty replica that knows only followers joins" has_joined 201.5

launch 202.2 "$ONLY_RELAYS"
start balancer-0 "$BIN/programs/radishportd" balancer --name balancer-0 \
    --listen "127.0.0.1:$(balancer_port 0)" --control "$ONLY_RELAYS" \
    --admin "127.0.0.1:$(admin_port 0)"
balancer_serves() {
    [ "$(metric "$(admin_port 0)" control_connected)" = 1 ] &&
        [ "$(metric "$(admin_port 0)" table_applied_total)" -gt 0 ]
}
expect 5 "a balancer that knows only relays has a table" balancer_serves
expect 5 "a relay that knows only relays is connected" \
    is 202.2 control_connected 1
replica 201.4 "$ONLY_RELAYS"
expect 8 "an empty replica that knows only relays joins" has_joined 201.4
read_all "all replicas up"

# Guards against callers that hold connections to a relay, which would keep
# nodes from finding control and use up its descriptors.
count_files() { ls "/proc/${PIDS[control-202.1]}/fd" | wc -l; }
before=$(count_files)
idle=()
for ((i = 0; i < 300; i++)); do
    exec {fd}<> "/dev/tcp/127.1.202.1/$((BASE + 1))" && idle+=("$fd")
done
[ "$(count_files)" -le $((before + 256)) ] ||
    FAULTS="$FAULTS; a relay took all of ${#idle[@]} idle connections"
no_more_files() { [ "$(count_files)" -le $((before + 2)) ]; }
expect 5 "a relay has closed 300 idle connections" no_more_files
[ "$(gauge 202.1 peer_limit_total)" -ge 1 ] ||
    FAULTS="$FAULTS; a relay counted no refused connection"
for fd in "${idle[@]}"; do exec {fd}>&-; done

first=$(leader)
for host in $REPLICAS; do [ "$host" != "$first" ] && silent=$host; done
kill -STOP "${PIDS[control-$silent]}"
sleep 2
read_all "a follower is silent"
kill -CONT "${PIDS[control-$silent]}"
expect 10 "the follower is back" is "$silent" fresh 1

kill -STOP "${PIDS[control-$first]}"
expect 10 "another leader stands" leader "$first"
sleep 3
read_all "the first leader is silent"
kill -CONT "${PIDS[control-$first]}"
expect 10 "the first leader is back" is "$first" fresh 1

# Guards against attempts, for as long as a process lives, to reach instances
# that have left for good (issue 34).
links=$(gauge "$first" replica_links)
stop control-201.5 KILL
replica 201.6 "$ONLY_RELAYS"
expect 8 "a successor that knows only relays joins" has_joined 201.6
expect 20 "the replica that it replaced is forgotten" \
    is "$first" replica_links "$links"

for host in $REPLICAS 201.4 201.6; do stop "control-$host" KILL; done
sleep 2
for host in $RELAYS; do
    answer=$(call GET "$host")
    say "no replica left: control-$host answers $answer"
    case $answer in
        "503 0."[0-2]*) ;;
        *) FAULTS="$FAULTS; control-$host answers $answer without replicas" ;;
    esac
done
[ -z "$FAULTS" ] || fail "${FAULTS#; }"
say "ok"

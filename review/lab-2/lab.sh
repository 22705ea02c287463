# Shell functions for the scripts of the second review: they start the
# project's programs with the commands and templates of the deploy file, on
# loopback addresses, like a small deployment (three entry machines with a
# control instance and a balancer each, and machines with a host and its
# agent). Set CASE to the folder of the case, then source this file.
#
# Everything that is started here is ended by stop_all, and nothing else.

cd "$(dirname "${BASH_SOURCE[0]}")/../.."
LAB=target/review-2/lab
DAEMON=target/programs/radishportd
TROUBLE=${TROUBLE:-1}
RUN=$(mktemp -d)
NET=127.$((20 + RANDOM % 200)).$((1 + RANDOM % 250))
P=$((20000 + RANDOM % 8000))
BEAT_MS=1200
VIP=$NET.200:8080
SERVICE=dele69a
declare -A PID

finish() {
    local name
    for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2> /dev/null; done
    for name in "${!PID[@]}"; do kill -TERM "${PID[$name]}" 2> /dev/null; done
    sleep 0.3
    for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2> /dev/null; done
    wait 2> /dev/null
    {
        echo "# trouble=$TROUBLE; what was sent, answered and run, by time"
        cat "$RUN"/lab.*.log "$RUN"/steps.log 2> /dev/null | sort -s -k1,1n |
            head -200000
        echo "# what the project's programs logged of it"
        grep -h -E "event=(host_|flow_reset|flow_asked|stop|started|packet_dropped|request_received)" \
            "$RUN"/radishport.*.log 2> /dev/null | head -300
    } > "$CASE/record.txt"
    sed -i "s|$RUN|RUN|g" "$CASE/record.txt"
    rm -rf "$RUN"
}
trap finish EXIT

step() { echo "$(date +%s.%3N) step $*" | tee -a "$RUN/steps.log"; }
cannot() { step "cannot run: $*"; exit 2; }

[ -x "$LAB" ] && [ -x "$DAEMON" ] || { echo "not built"; exit 2; }

edge_ip() { echo "$NET.$((10 + $1))"; }
side_ip() { echo "$NET.$((40 + $1))"; }
seeds() {
    local i out=
    for i in 1 2 3; do out=$out${out:+,}$(edge_ip $i):$P; done
    echo "$out"
}

# render TEMPLATE FILE NAME IP ZONE
render() {
    sed -e '/{{#bounds.evacuate-ms}}/,/{{\/bounds.evacuate-ms}}/d' \
        -e "s|{{#seeds}}{{.}}{{,}}{{/seeds}}|$(seeds)|" \
        -e 's|{{#zones}}{{@}}{{,}}{{/zones}}|ro-nw-a,ro-nw-b,ro-nw-c|' \
        -e "s|{{node-id}}|$3|; s|{{zone}}|$5|; s|{{ip}}|$4|" \
        -e "s|{{service}}|$SERVICE|; s|{{app}}|$4:$((P + 6))|" \
        -e "s|{{listen.control}}|$4:$P|; s|{{listen.ready}}|$4:$((P + 1))|" \
        -e "s|{{listen.datagram-addr}}|$4:$((P + 2))|" \
        -e "s|{{listen.outbound}}|$4:$((P + 3))|" \
        -e "s|{{internal-ports.0}}|$((P + 4))|" \
        -e "s|{{internal-ports.1}}|$((P + 5))|" \
        -e "s|{{beat-interval-ms}}|$BEAT_MS|; s|{{limits.link-mbps}}|1000.0|" \
        -e "s|{{data-dir}}|$RUN/data-$3|; s|{{bootstrap}}|true|" \
        -e 's|{{bounds.flow-max-s}}|60|; s|{{fault-tolerance.machines}}|1|' \
        -e 's|{{fault-tolerance.zones}}|0|; s|{{fault-tolerance.regions}}|0|' \
        "$1" > "$2"
    ! grep -q '{{' "$2" || cannot "a placeholder of $1 is not known"
}

# start_role ROLE NAME IP ZONE: the command of the deploy file.
start_role() {
    local file=$RUN/$1.$2.conf
    render "deploy/$1.conf" "$file" "$2" "$3" "$4"
    env -i PATH="$PATH" HOME="$RUN" RADISHPORT_SETTINGS="$file" \
        "$DAEMON" "$1" >> "$RUN/radishport.$1.$2.log" 2>&1 &
    PID[$1.$2]=$!
}

ZONES=(- ro-nw-a ro-nw-b ro-nw-c)
start_edges() {
    local i
    for i in 1 2 3; do
        start_role control "edge-$i" "$(edge_ip $i)" "${ZONES[$i]}"
        start_role balancer "edge-$i" "$(edge_ip $i)" "${ZONES[$i]}"
    done
}
start_agent() { start_role agent "side-$1" "$(side_ip "$1")" "${ZONES[$1]}"; }

# start_host N ID: a host on side machine N.
start_host() {
    "$LAB" host "$(side_ip "$1"):$((P + 6))" "$(side_ip "$1"):$((P + 3))" \
        "$(side_ip "$1"):$P" $SERVICE "$2" "${ZONES[$1]}" 7 $BEAT_MS 1 \
        >> "$RUN/lab.host-$2.log" 2>&1 &
    PID[host-$2]=$!
}

# start_client N FLOWS FIRST_PORT TIMES UNTIL_MS
start_client() {
    "$LAB" client "$NET.$((80 + $1))" $((P + 2)) \
        "$(edge_ip 1):$((P + 2)),$(edge_ip 2):$((P + 2)),$(edge_ip 3):$((P + 2))" \
        "$VIP" "$2" "$3" "$4" "$5" >> "$RUN/lab.client-$1.log" 2>&1 &
    PID[client-$1]=$!
}

# start_router N...: the router of a zone with these entry machines. Clients that
# are started after it follow it.
start_router() {
    local i nodes=()
    for i in "$@"; do
        nodes+=("$(edge_ip "$i"):$((P + 1))=$(edge_ip "$i"):$((P + 2))")
    done
    export LAB_ROTATION=$RUN/rotation
    "$LAB" router "$LAB_ROTATION" "${nodes[@]}" >> "$RUN/lab.router.log" 2>&1 &
    PID[router]=$!
}

# end NAME SIGNAL: ends a process that was started here and waits for it.
end() {
    kill -"$2" "${PID[$1]}" 2> /dev/null
    wait "${PID[$1]}" 2> /dev/null
    unset "PID[$1]"
}

call() { "$LAB" call "$@" >> "$RUN/lab.call.log" 2>&1; }

configuration() {
    printf '{"version":%d,"routes":[{"name":"r-1","host":"%s","path-prefix":"/%s/","route-type":"idempotent","timeout-ms":5000,"target-latency-ms":500,"priority":1,"service":"%s","max-attempts":2}],"services":[{"name":"%s","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}' \
        "$1" "${VIP%:*}" "${VIP#*:}" $SERVICE $SERVICE
}

# configure VERSION: until it is acknowledged.
configure() {
    local n i=0
    for n in $(seq 60); do
        i=$((i % 3 + 1))
        call PUT "http://$(edge_ip $i):$P/-/config" "$(configuration "$1")" &&
            return
        sleep 0.2
    done
    cannot "configuration $1 is not acknowledged"
}

# wait_ready: until all entry machines are in rotation.
wait_ready() {
    local i n
    for i in 1 2 3; do
        for n in $(seq 60); do
            call GET "http://$(edge_ip $i):$((P + 1))/-/readiness" && break
            sleep 0.2
        done
    done
}

# count PATTERN FILE...: lines that match.
count() {
    local pattern=$1
    shift
    cat "$@" 2> /dev/null | grep -c -E "$pattern"
}

#!/usr/bin/env bash
# Scripted run on real processes: the operator reads the configuration back
# after control instances were replaced and machines were lost (issue 34).
#
# Each machine has its own loopback address and all have the same ports, as on
# the users' platform. The settings are the templates in deploy/, filled in.
# ZONES data centres have one control instance with a disk each and RELAYS
# without a disk altogether; BALANCERS run on the same machines, AGENTS on their
# own. Machines that are gone or have no power are silent; they do not refuse.
# Unlike there, every connection comes from 127.0.0.1, the kernel ends the
# connections of a killed process, and all disks are one.
#
# Without a seed: two instances are replaced, then two disks and all power are
# lost.
#
#   SEED      decides all that follows and is not set
#   EVENTS    before the final fault, in this order, separated by spaces:
#             kill    a core machine is gone for good, an empty one replaces it
#             term    the same, planned
#             freeze  a core instance is suspended for 2 s
#             cut     two core instances are suspended for 3 s at the same time
#             relay   an instance without a disk is restarted
#             none
#   FINAL     after an acknowledged change: none, wipe (LOSSES disks are lost),
#             wipe-core (and the other core machines lose power), wipe-all (and
#             all machines lose power), kill-all (all processes are killed)
#   SEEDS     of processes that start later: any (of the operator's list),
#             disks (only instances with a disk), relays (only those without)
#   FIRST_SEEDS  of the first start
#   DESCRIPTORS  limit of each process
#   KEEP      1: the logs of a passed run are kept too
set -u
cd "$(dirname "$0")/../.."
BIN=${BUILD:-build}
if [ -z "${SEED:-}" ]; then
    SEED=1
    EVENTS=${EVENTS:-kill kill}
    FINAL=${FINAL:-wipe-all}
fi
RANDOM=$SEED
ZONES=5
LOSSES=2
RELAYS=${RELAYS:-10}
BALANCERS=${BALANCERS:-15}
AGENTS=${AGENTS:-5}
SEEDS=${SEEDS:-any}
NET=${NET:-1}    # entry machines are 127.NET.ZONE.NUMBER
BASE=${BASE:-27000}
RUN=${RUN:-demo-run/configuration-read}
FLOW_LIFETIME_SECONDS=60
LAG_MS=3000           # of the operator's list, and of seeds
CATCH_UP_SECONDS=4    # a new machine counts as lost for so long
RECOVERY_SECONDS=15
CALM_SECONDS=6
ABANDONED_MAX=5       # connections that were closed just now
GONE_MS=5000          # nothing may name a machine that is gone for longer
. tests/system.sh
trap stop_system EXIT
[ -z "${DESCRIPTORS:-}" ] || ulimit -n "$DESCRIPTORS"

OPERATOR_PORT=$((BASE + 1))
CONTROL_PORT=$((BASE + 2))
declare -A LISTED UNLISTED HAS_DISK GONE_AT
FIRST_SEEDS=${FIRST_SEEDS:-"127.$NET.1.1 127.$NET.2.1 127.$NET.3.1"}
trouble=""

# roll N: sets ROLL to a random number from 0 to N - 1.
roll() { ROLL=$((RANDOM % $1)); }

# read_clock: sets NOW to the Unix time in ms.
read_clock() { NOW=$((${EPOCHREALTIME/./} / 1000)); }

# wrong TEXT: records a check that failed; the run goes on.
wrong() {
    say "WRONG: $*"
    trouble="$trouble${trouble:+; }$*"
}

# write_list: writes the operator's list; see tests/standins/operator.c.
write_list() {
    local ip
    for ip in "${!LISTED[@]}"; do
        echo "$ip ${LISTED[$ip]} ${UNLISTED[$ip]}"
    done | sort > "$RUN/list.new"
    mv "$RUN/list.new" "$RUN/list"
}

# draw_seeds: sets DRAWN to three addresses from the operator's list as it
# stood up to LAG_MS ago, separated by spaces.
draw_seeds() {
    local ip at i candidates=() more=()
    read_clock
    roll $((LAG_MS + 1))
    at=$((NOW - ROLL))
    for ip in $(printf '%s\n' "${!LISTED[@]}" | sort); do
        [ "${LISTED[$ip]}" -le "$at" ] || continue
        [ "${UNLISTED[$ip]}" = 0 ] || [ "${UNLISTED[$ip]}" -gt "$at" ] || continue
        case $SEEDS:${HAS_DISK[$ip]} in
        disks:0 | relays:1) more+=("$ip") ;;
        *) candidates+=("$ip") ;;
        esac
    done
    DRAWN=""
    for i in 1 2 3; do
        [ ${#candidates[@]} -gt 0 ] || candidates=("${more[@]}")
        roll ${#candidates[@]}
        DRAWN="$DRAWN${DRAWN:+ }${candidates[$ROLL]}"
        candidates=("${candidates[@]:0:ROLL}" "${candidates[@]:ROLL+1}")
    done
}

# fill_in TEMPLATE FILE NAME IP SEEDS BOOTSTRAP DATA: fills in a template of
# deploy/ as the platform does.
fill_in() {
    local seed list=""
    for seed in $5; do list="$list${list:+,}$seed:$OPERATOR_PORT"; done
    sed -e "s/{{#seeds}}.*{{\/seeds}}/$list/" \
        -e "s/{{node-id}}/$3/" -e "s/{{zone}}/${3%-*-*}/" \
        -e "s/{{ip}}/$4/" -e "s/{{bootstrap}}/$6/" \
        -e "s|{{data-dir}}|$7|" \
        -e "s/{{listen.control}}/$4:$OPERATOR_PORT/" \
        -e "s/{{internal-ports.0}}/$CONTROL_PORT/" \
        -e "s/{{internal-ports.1}}/$((BASE + 7))/" \
        -e "s/{{listen.datagram-addr}}/$4:$((BASE + 3))/" \
        -e "s/{{listen.ready}}/$4:$((BASE + 4))/" \
        -e "s/{{listen.outbound}}/$4:$((BASE + 5))/" \
        -e "s/{{app}}/$4:$((BASE + 6))/" \
        -e "s/{{service}}/lens/" -e "s/{{beat-interval-ms}}/1200/" \
        -e "s/{{bounds.flow-max-s}}/$FLOW_LIFETIME_SECONDS/" \
        -e "s/{{fault-tolerance.machines}}/$LOSSES/" \
        -e "s/{{fault-tolerance.[a-z]*}}/0/" "deploy/$1.conf" > "$2"
    # Guards against a template that has grown a field unknown here.
    grep -q '{{' "$2" && fail "deploy/$1.conf: a field is not filled in"
}

# ip_of NAME: sets IP. Names are ZONE-NUMBER-ROLE, such as z3-40-control.
ip_of() {
    local zone=${1%%-*} rest=${1#*-} first=$NET
    [ "${1##*-}" != agent ] || first=$((NET + 100))
    IP="127.$first.${zone#z}.${rest%-*}"
}

# launch NAME [SEEDS BOOTSTRAP]: starts a process; seeds are drawn if none are
# given.
launch() {
    local name=$1 role=${1##*-} seeds=${2:-} data=""
    ip_of "$name"
    if [ -z "$seeds" ]; then draw_seeds; seeds=$DRAWN; fi
    if [ "$role" = control ]; then
        speak "$IP"
        [ "${HAS_DISK[$IP]}" = 0 ] || data="$RUN/$name.data"
        unset "GONE_AT[$IP]"
    fi
    echo "$EPOCHREALTIME $name seeds=${seeds// /,}" >> "$RUN/starts.log"
    fill_in "$role" "$RUN/$name.conf" "$name" "$IP" "$seeds" \
        "${3:-false}" "$data"
    RADISHPORT_SETTINGS="$RUN/$name.conf" start "$name" \
        "$BIN/programs/radishportd" "$role"
}

# fall_silent IP...: nothing answers at these addresses any more.
fall_silent() {
    local ip
    read_clock
    for ip in "$@"; do
        GONE_AT[$ip]=$NOW
        start "silence-$ip" "$BIN/tests/standin-silence" \
            --listen "$ip:$OPERATOR_PORT,$ip:$CONTROL_PORT"
    done
}

# speak IP...: ends the silence at these addresses.
speak() {
    local ip
    for ip in "$@"; do stop "silence-$ip" KILL; done
}

# end_all NAME...: kills processes at the same moment.
end_all() {
    local name pids=()
    for name in "$@"; do pids+=("${PIDS[$name]}"); done
    kill -KILL "${pids[@]}"
    for name in "$@"; do
        wait "${PIDS[$name]}" 2> /dev/null
        unset "PIDS[$name]"
    done
}

# running ROLE: prints the names of the running processes of a role.
running() { printf '%s\n' "${!PIDS[@]}" | grep -- "-$1\$" | sort -V; }

# core: prints the names of the running control instances with a disk.
core() {
    local name
    for name in $(running control); do
        ip_of "$name"
        [ "${HAS_DISK[$IP]}" = 0 ] || echo "$name"
    done
}

# draw NAME...: sets ONE to one of its arguments.
draw() {
    roll $#
    shift "$ROLL"
    ONE=$1
}

# gauge NAME GAUGE [PORT]: prints a gauge of a process, by default of a control
# instance.
gauge() {
    ip_of "$1"
    curl -s -m 1 "$IP:${3:-9464}/metrics" | sed -n "s/^radishport_$2{.*} //p"
}

# is_connected NAME: succeeds if a process other than a replica is connected to
# control. A replica always succeeds.
is_connected() {
    ip_of "$1"
    case ${1##*-} in
    control)
        [ "${HAS_DISK[$IP]}" = 1 ] ||
            [ "$(gauge "$1" control_connected)" = 1 ]
        ;;
    balancer) [ "$(gauge "$1" control_connected 9465)" = 1 ] ;;
    agent) [ "$(gauge "$1" control_connected 9466)" = 1 ] ;;
    esac
}

# has_leader_of N: succeeds if an instance leads N voters.
has_leader_of() {
    local name
    for name in $(core); do
        [ "$(gauge "$name" leads)" = 1 ] &&
            [ "$(gauge "$name" voters)" = "$1" ] && return 0
    done
    return 1
}

show_group() {
    local name
    for name in $(core); do
        say "group: $name leads=$(gauge "$name" leads)" \
            "fresh=$(gauge "$name" fresh) voters=$(gauge "$name" voters)" \
            "learners=$(gauge "$name" learners)" \
            "term=$(gauge "$name" term)" \
            "tolerated=$(gauge "$name" failures_tolerated)" \
            "descriptors=$(find "/proc/${PIDS[$name]}/fd" -type l | wc -l)"
    done
}

# list_instance IP: the operator's list names it from now on.
list_instance() {
    read_clock
    LISTED[$1]=$NOW
    UNLISTED[$1]=0
    write_list
}

start_all() {
    local zone i names=()
    for ((zone = 1; zone <= ZONES; zone++)); do
        HAS_DISK[127.$NET.$zone.1]=1
        names+=("z$zone-1-control")
    done
    for ((i = 0; i < RELAYS; i++)); do
        zone=$((i % ZONES + 1))
        HAS_DISK[127.$NET.$zone.$((2 + i / ZONES))]=0
        names+=("z$zone-$((2 + i / ZONES))-control")
    done
    for ((i = 0; i < BALANCERS; i++)); do
        names+=("z$((i % ZONES + 1))-$((1 + i / ZONES))-balancer")
    done
    for ((i = 0; i < AGENTS; i++)); do
        names+=("z$((i % ZONES + 1))-$((1 + i / ZONES))-agent")
    done
    read_clock
    for i in "${!HAS_DISK[@]}"; do
        LISTED[$i]=$((NOW - LAG_MS))
        UNLISTED[$i]=0
    done
    write_list
    for i in "${names[@]}"; do launch "$i" "$FIRST_SEEDS" true; done
}

# start_operator: sends changes from now on.
start_operator() {
    writers=$((writers + 1))
    start "operator-$writers" "$BIN/tests/standin-operator" --write \
        --list "$RUN/list" --port "$OPERATOR_PORT" --seed "$RANDOM" \
        --lag-ms "$LAG_MS" --version "$newest"
}

# stop_operator: returns right after the last change was acknowledged, and
# sets `newest` to its version.
stop_operator() {
    local name=operator-$writers
    kill -TERM "${PIDS[$name]}"
    # Guards against a valid change that is refused or never acknowledged.
    wait "${PIDS[$name]}" || wrong "a change was not acknowledged"
    unset "PIDS[$name]"
    newest=$(sed -n 's/^write version=\([0-9]*\) acknowledged=1.*/\1/p' \
        "$RUN/$name.log" | tail -1)
}

# replace SIGNAL: a core machine is gone for good; an empty one comes instead.
replace() {
    local old zone new ip signal=$1 roles role
    # shellcheck disable=SC2046
    draw $(core)
    old=$ONE
    zone=${old%%-*}
    ip_of "$old"
    ip=$IP
    roles="control balancer"
    say "$signal $old ($ip), leads=$(gauge "$old" leads)"
    for role in $roles; do
        stop "${old%-control}-$role" "$signal"
    done
    read_clock
    UNLISTED[$ip]=$NOW
    fall_silent "$ip"
    write_list
    roll 1000
    sleep "1.$(printf %03d "$ROLL")"
    number=$((number + 1))
    new="$zone-$number-control"
    ip_of "$new"
    HAS_DISK[$IP]=1
    launch "$new"
    say "$new replaces it with seeds $DRAWN"
    launch "$zone-$number-balancer"
    ip_of "$new"
    list_instance "$IP"
}

# suspend SECONDS NAME...: stops processes for a while.
suspend() {
    local seconds=$1 name
    shift
    say "suspend $* for $seconds s"
    for name in "$@"; do kill -STOP "${PIDS[$name]}"; done
    sleep "$seconds"
    for name in "$@"; do kill -CONT "${PIDS[$name]}"; done
}

play_event() {
    local first
    case $1 in
    kill) replace KILL ;;
    term) replace TERM ;;
    freeze)
        # shellcheck disable=SC2046
        draw $(core)
        suspend 2 "$ONE"
        ;;
    cut)
        # shellcheck disable=SC2046
        draw $(core)
        first=$ONE
        # shellcheck disable=SC2046
        draw $(core | grep -v "^$first\$")
        suspend 3 "$first" "$ONE"
        ;;
    relay)
        # shellcheck disable=SC2046
        draw $(running control | grep -vxF "$(core)")
        stop "$ONE" KILL
        sleep 0.3
        launch "$ONE"
        say "$ONE is restarted with seeds $DRAWN"
        ;;
    none) ;;
    *) fail "unknown event $1" ;;
    esac
}

# lose_power WIPED NAME...: the processes are killed at the same moment and
# come back 1 to 3 s later in any order, those of WIPED without their disks.
lose_power() {
    local wiped=$1 name ip silent=()
    shift
    say "killed: $# processes, disks lost: ${wiped:-none}"
    end_all "$@"
    for name in "$@"; do
        [ "${name##*-}" = control ] || continue
        ip_of "$name"
        silent+=("$IP")
    done
    fall_silent "${silent[@]}"
    for name in $wiped; do rm -rf "$RUN/$name.data"; done
    sleep 1
    for name in $(shuf -e "$@" --random-source=<(yes "$SEED")); do
        roll 1000
        [ "$ROLL" -ge $((2000 / $#)) ] || sleep "0.$(printf %03d "$ROLL")"
        launch "$name"
        case " $wiped " in
        *" $name "*) say "$name comes back empty with seeds $DRAWN" ;;
        esac
    done
    say "all are back"
}

play_final() {
    local wiped="" others all
    # shellcheck disable=SC2046
    draw $(core)
    wiped=$ONE
    # shellcheck disable=SC2046
    draw $(core | grep -v "^$wiped\$")
    wiped="$wiped $ONE"
    others=$(core)
    all=$(running control; running balancer; running agent)
    # shellcheck disable=SC2086
    case $1 in
    none) ;;
    wipe) lose_power "$wiped" $wiped ;;
    wipe-core) lose_power "$wiped" $others ;;
    wipe-all) lose_power "$wiped" $all ;;
    kill-all) lose_power "" $all ;;
    *) fail "unknown final fault $1" ;;
    esac
}

# hops: prints the recorded hops of the reads and probes.
hops() { cat "$RUN"/reader.log "$RUN"/probe-*.log | grep '^hop'; }

# write_hops: writes to $RUN/hops.txt, for each instance, how often it was asked
# first and with which result, and where it sent the operator.
write_hops() {
    hops | awk '
        $4 == "hop=0" { first[$6 " " $7]++ }
        $7 == "status=307" { to[$6 " " $NF]++ }
        END {
            for (i in first) print i, "first=" first[i]
            for (i in to) print i, "redirects=" to[i]
        }' | sort -V > "$RUN/hops.txt"
}

# abandoned PORT: prints how many connections to this port of the entry
# machines the callers have closed and the processes still hold open
# (CLOSE_WAIT, state 08). Addresses in the file are little-endian.
abandoned() {
    awk -v port="$(printf ':%04X' "$1")" \
        -v net="$(printf '%02X7F' "$NET")" \
        '$4 == "08" && substr($2, 5, 4) == net && substr($2, 9) == port' \
        /proc/net/tcp | wc -l
}

# judge: checks what was recorded after the final fault.
judge() {
    local ip count lines role
    # Guards against a run that proves nothing.
    grep -q 'judged=1' "$RUN/reader.log" || wrong "no read was judged"
    # Guards against a configuration that cannot be read back (issue 34).
    count=$(grep -c 'judged=1.*came=0' "$RUN/reader.log")
    [ "$count" = 0 ] || wrong "the configuration did not come in $count of" \
        "$(grep -c 'judged=1' "$RUN/reader.log") reads"
    # Guards against the loss of an acknowledged change.
    count=$(grep -c 'judged=1.*came=1 newest=0' "$RUN/reader.log")
    [ "$count" = 0 ] || wrong "$count reads return another configuration"
    # Guards against an instance that lives but answers no read, itself or by
    # its redirects.
    for ip in $live; do
        lines=$(grep '^probe' "$RUN/probe-$ip.log") || lines="no result"
        grep -qv 'good=\([0-9]*\) of=\1 ' <<< "$lines" &&
            wrong "${lines#probe } (disk=${HAS_DISK[$ip]}," \
                "first hops:$(grep '^hop.* hop=0' "$RUN/probe-$ip.log" |
                    sed 's/.*status=\([^ ]*\) .*/ \1/' | sort | uniq -c |
                    tr -s ' \n' ' '))"
    done
    # Guards against a process that never finds control, for example one whose
    # seeds name only instances without a disk.
    for role in control balancer agent; do
        lines=""
        for ip in $(running "$role"); do
            is_connected "$ip" || lines="$lines $ip"
        done
        [ -z "$lines" ] || wrong "not connected to control:$lines"
    done
    # Guards against descriptors that each call uses up for good; at the limit
    # the operator's port is deaf.
    count=$(abandoned "$OPERATOR_PORT")
    [ "$count" -le $ABANDONED_MAX ] || wrong "$count connections of the" \
        "operator are still open after it has closed them"
    # Guards against redirects to instances that have been gone for long.
    for ip in "${!GONE_AT[@]}"; do
        count=$(hops | awk -v gone="$((GONE_AT[$ip] + GONE_MS))" -v ip="$ip" \
            '{ split($5, time, "="); split($NF, to, "=") }
             $7 == "status=307" && to[2] == ip && time[2] > gone' | wc -l)
        [ "$count" = 0 ] || wrong "$count redirects to $ip," \
            "gone for more than $((GONE_MS / 1000)) s"
    done
    # Guards against pauses of the processes, whatever their cause: they are
    # shown, and judged by what the operator sees.
    say "pauses: $(cat "$RUN"/*-control.log | grep -c process_paused)," \
        "elections: $(cat "$RUN"/*-control.log |
            grep -c 'event=replica_role role=leader')," \
        "first hops:$(grep -h '^hop.* hop=0' "$RUN/reader.log" |
            sed 's/.*status=\([^ ]*\) .*/ \1/' | sort | uniq -c |
            tr -s ' \n' ' ')"
}

if [ -z "${EVENTS:-}" ]; then
    pool=(kill term kill term freeze cut relay)
    EVENTS=""
    for _ in 1 2; do
        roll ${#pool[@]}
        EVENTS="$EVENTS ${pool[$ROLL]}"
    done
fi
if [ -z "${FINAL:-}" ]; then
    pool=(none wipe wipe-core wipe-all wipe-all kill-all)
    roll ${#pool[@]}
    FINAL=${pool[$ROLL]}
fi
say "seed $SEED events:$EVENTS final: $FINAL later seeds: $SEEDS"

number=39    # the first replacement is 40
newest=0
writers=0
prepare_run
unset RADISHPORT_CONTROL RADISHPORT_KEY_FILE
start_all
# Guards against a first start that never gets a leader.
wait_until 20 has_leader_of "$ZONES" || fail "no leader with $ZONES voters"
start_operator
sleep 1
for event in $EVENTS; do
    play_event "$event"
    roll 3
    [ "$ROLL" = 0 ] || sleep "$CATCH_UP_SECONDS"
done
sleep "$CATCH_UP_SECONDS"
show_group
stop_operator
play_final "$FINAL"
[ "$FINAL" != none ] || RECOVERY_SECONDS=$CALM_SECONDS
start reader "$BIN/tests/standin-operator" --read --list "$RUN/list" \
    --port "$OPERATOR_PORT" --seed "$RANDOM" --version "$newest" \
    --calm-seconds "$RECOVERY_SECONDS" --seconds "$CALM_SECONDS"
sleep "$RECOVERY_SECONDS"
live=""
for name in $(running control); do
    ip_of "$name"
    live="$live${live:+$'\n'}$IP"
    start "probe-$IP" "$BIN/tests/standin-operator" --probe "$IP" \
        --list "$RUN/list" --port "$OPERATOR_PORT" --version "$newest" \
        --seed "$RANDOM"
done
wait "${PIDS[reader]}"
for ip in $live; do wait "${PIDS[probe-$ip]}"; done
sleep 1    # for the processes to see that the callers have closed
show_group
write_hops
judge
stop_system
[ -z "$trouble" ] || fail "seed $SEED: $trouble"
[ "${KEEP:-0}" = 1 ] || rm -rf "$RUN"
echo "configuration-read: version $newest read back, seed $SEED"

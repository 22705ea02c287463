#!/bin/sh
# Runs the unit tests and golden sessions, all in virtual time with fixed
# seeds. Prints the result of each test, the output of those that failed, and
# a summary line. The scripted runs on real processes are not part of it (see
# make prove), because their timing depends on the machine.
#
# UPDATE=1 rewrites the golden files: read the differences before you commit.
set -u
BUILD=${BUILD:-build}
passed=0
failed=0

# Whether KNOWN-RED.txt has an entry that starts with "- NAME".
is_known_red() {
    grep -q "^- $1\$" KNOWN-RED.txt
}

pass() {
    if is_known_red "$1"; then
        failed=$((failed + 1))
        echo "FAIL $1: passes, but KNOWN-RED.txt lists it"
        return
    fi
    passed=$((passed + 1))
    echo "ok   $1"
}

fail() {
    if is_known_red "$1"; then
        echo "RED  $1: known, see KNOWN-RED.txt"
        return
    fi
    failed=$((failed + 1))
    echo "FAIL $1"
}

for test in "$BUILD"/tests/test_*; do
    name=$(basename "$test")
    if "$test" > "$BUILD/$name.out" 2>&1; then
        pass "$name"
    else
        cat "$BUILD/$name.out"
        fail "$name"
    fi
done

for session in tests/golden/*.session; do
    name=$(basename "$session" .session)
    golden="tests/golden/$name.golden"
    "$BUILD/tests/agent-session" "$session" > "$BUILD/$name.out" 2>&1
    [ "${UPDATE:-}" = 1 ] && cp "$BUILD/$name.out" "$golden"
    if diff -u "$golden" "$BUILD/$name.out"; then
        pass "golden $name"
    else
        fail "golden $name"
    fi
done

# Invalid settings from flags and environment variables: all errors are
# reported in one run.
{
    RADISHPORT_ZONE=Zone "$BUILD/programs/radishportd" agent --slots 0 \
        --lease-ms 1 --listen nowhere --control 127.0.0.1:1,x --service lens \
        --log-level loud --no-such-flag 2>&1
    echo "exit $?"
    for flag in order-by-load spill-by-load; do
        "$BUILD/programs/radishportd" balancer --name b --listen 127.0.0.1:1 \
            --control 127.0.0.1:2 --key-file /dev/null "--$flag" 2>&1
        echo "exit $?"
    done
    "$BUILD/programs/radishport" service apply 2>&1
    echo "exit $?"
    "$BUILD/programs/radishport" no such command > /dev/null 2>&1
    echo "exit $?"
} > "$BUILD/settings.out"
[ "${UPDATE:-}" = 1 ] && cp "$BUILD/settings.out" tests/golden/settings.golden
if diff -u tests/golden/settings.golden "$BUILD/settings.out"; then
    pass "golden settings"
else
    fail "golden settings"
fi

# radishport explain on the log lines of three failed requests in real runs.
# Below, each event that docs/OPERATIONS.md names must exist in the code.
while read -r log query; do
    "$BUILD/programs/radishport" explain "$query" \
        "tests/golden/explain/$log.log"
    echo "exit $?"
done < tests/golden/explain/queries > "$BUILD/explain.out"
golden=tests/golden/explain/expected
[ "${UPDATE:-}" = 1 ] && cp "$BUILD/explain.out" "$golden"
if diff -u "$golden" "$BUILD/explain.out"; then
    pass "golden explain"
else
    fail "golden explain"
fi
"$BUILD/tests/route-explain" > "$BUILD/route-explain.out"
golden=tests/golden/route-explain.golden
[ "${UPDATE:-}" = 1 ] && cp "$BUILD/route-explain.out" "$golden"
if diff -u "$golden" "$BUILD/route-explain.out"; then
    pass "golden route-explain"
else
    fail "golden route-explain"
fi
missing=""
for event in $(grep -o 'event=[a-z_]*' docs/OPERATIONS.md | sort -u); do
    grep -rqF "\"${event#event=}\"" lib programs platform ||
        missing="$missing $event"
done
if [ -z "$missing" ]; then
    pass "events that the operators' page names"
else
    fail "events that the operators' page names:$missing"
fi

"$BUILD/tests/print-counters" > "$BUILD/COUNTERS.out"
[ "${UPDATE:-}" = 1 ] && cp "$BUILD/COUNTERS.out" docs/COUNTERS.md
if diff -u docs/COUNTERS.md "$BUILD/COUNTERS.out"; then
    pass "counters are documented"
else
    fail "counters are documented"
fi

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

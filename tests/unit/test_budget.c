/* Checks that the timeouts and pauses of the worst case of an operation add up
 * to less than the bound that the users set for it. */
#include <glib.h>

#include "check.h"
#include "rp_conn.h"
#include "rp_distribution.h"
#include "rp_replica.h"
#include "rp_disconnect_policy.h"
#include "rp_reconnect.h"

/* Required by the users: a change is in force on every connected machine
 * within 3 s. */
#define IN_FORCE_US (3 * RP_US_PER_SECOND)
/* Required by the users: a replaced replica catches up within 4 s, before the
 * next loss. */
#define CATCH_UP_US (4 * RP_US_PER_SECOND)

/* A node's control instance freezes just before a change is acknowledged. In
 * the second case the next instance that the node tries is frozen, too. */
static void
test_change_reaches_node_of_frozen_replica(void **state)
{
    int64_t detect = RP_CONN_SILENCE_TIMEOUT_US;
    int64_t retry = RP_RECONNECT_PAUSE_MIN_MS * RP_US_PER_MS * 3 / 2;
    int64_t distribute = RP_HEARTBEAT_INTERVAL_US + RP_TABLE_BATCH_US;

    (void)state;
    assert_true(detect + retry + distribute < IN_FORCE_US);
    assert_true(detect + retry + RP_CONN_CONNECT_TIMEOUT_US + 2 * retry +
                    distribute <
                IN_FORCE_US);
}

/* A replica that is cut off closes its nodes' connections, and they reconnect
 * to another one. */
static void
test_change_reaches_node_of_cut_off_replica(void **state)
{
    int64_t disconnect = RP_LEASE_US + RP_DISCONNECT_WAIT_MIN_US;
    int64_t retry = RP_RECONNECT_PAUSE_MIN_MS * RP_US_PER_MS * 3 / 2;

    (void)state;
    assert_true(disconnect + retry + RP_HEARTBEAT_INTERVAL_US +
                    RP_TABLE_BATCH_US <
                IN_FORCE_US);
}

/* A new replica takes the place of a removed one, with an election in
 * between. */
static void
test_replica_is_replaced(void **state)
{
    (void)state;
    assert_true(2 * RP_ELECTION_TIMEOUT_US + RP_MEMBER_SILENCE_TIMEOUT_US +
                    2 * RP_HEARTBEAT_INTERVAL_US <
                CATCH_UP_US);
}

/* A leader's lease must end before another leader can be elected, and must
 * outlast two lost heartbeats. */
static void
test_lease(void **state)
{
    (void)state;
    assert_true(RP_LEASE_US < RP_ELECTION_TIMEOUT_US);
    assert_true(RP_LEASE_US > 2 * RP_HEARTBEAT_INTERVAL_US);
    /* Nodes stay with a cut-off replica until an election has begun, which
     * takes at most twice RP_ELECTION_TIMEOUT_US. */
    assert_true(RP_DISCONNECT_WAIT_MIN_US >= 2 * RP_ELECTION_TIMEOUT_US);
    assert_true(RP_CONN_SILENCE_TIMEOUT_US > 2 * RP_CONN_PING_INTERVAL_US);
}

/* Returns the highest random number, and thus gives the longest pause. */
static uint32_t
return_highest(uint32_t upper_bound)
{
    return upper_bound - 1;
}

/* Returns when a node that has tried to connect since time 0 starts its first
 * attempt at an instance that is reachable from `up_ms` on. In
 * milliseconds. */
static uint32_t
next_attempt_after(uint32_t up_ms)
{
    struct rp_reconnect reconnect;
    uint32_t now = 0;

    RpReconnect_Init(&reconnect);
    while (now < up_ms) {
        now += RpReconnect_BeginAttempt(&reconnect);
        now += RpReconnect_EndAttempt(&reconnect, false, return_highest);
    }
    return now;
}

/* After a power loss: a node starts an attempt at the recovered instance
 * within one attempt and one pause. In the first half second, while most nodes
 * have just started, short attempts make it faster. */
static void
test_node_reconnects_after_power_loss(void **state)
{
    uint32_t pause = RP_RECONNECT_PAUSE_MIN_MS * 3 / 2;
    uint32_t longest = (uint32_t)(RP_CONN_CONNECT_TIMEOUT_US / RP_US_PER_MS) +
                       pause;
    uint32_t longest_at_first = 2 * RP_RECONNECT_TIMEOUT_MIN_MS + pause;

    (void)state;
    for (uint32_t up_ms = 0; up_ms < 5000; up_ms++) {
        uint32_t waited = next_attempt_after(up_ms) - up_ms;
        assert_true(waited <= (up_ms < 500 ? longest_at_first : longest));
    }
}

/* Pauses after an instance that answers but sends no table grow, so that nodes
 * do not overload it, and are short again after a table. */
static void
test_pauses_grow_where_answered(void **state)
{
    struct rp_reconnect reconnect;

    (void)state;
    RpReconnect_Init(&reconnect);
    for (uint32_t pause = RP_RECONNECT_PAUSE_MIN_MS;
         pause < RP_RECONNECT_PAUSE_MAX_MS; pause *= 2) {
        assert_int_equal(
            RpReconnect_EndAttempt(&reconnect, true, return_highest),
            pause / 2 + pause);
    }
    RpReconnect_Reset(&reconnect);
    assert_int_equal(RpReconnect_EndAttempt(&reconnect, true, return_highest),
                     RP_RECONNECT_PAUSE_MIN_MS * 3 / 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_change_reaches_node_of_frozen_replica),
        cmocka_unit_test(test_change_reaches_node_of_cut_off_replica),
        cmocka_unit_test(test_replica_is_replaced),
        cmocka_unit_test(test_lease),
        cmocka_unit_test(test_node_reconnects_after_power_loss),
        cmocka_unit_test(test_pauses_grow_where_answered),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

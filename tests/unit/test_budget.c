/* Times that add up: the longest way that something may take, against the
 * bound that the users give for it. */
#include <glib.h>

#include "check.h"
#include "rp_conn.h"
#include "rp_distribution.h"
#include "rp_replica.h"
#include "rp_standing.h"
#include "rp_reconnect.h"

/* Users: a change is in force on every machine in touch after 3 s. */
#define IN_FORCE_US (3 * RP_US_PER_SECOND)
/* Users: a successor has 4 s to catch up before the next loss. */
#define CATCH_UP_US (4 * RP_US_PER_SECOND)

/* A node's control instance freezes just before a change is acknowledged;
 * the first one that it tries next is frozen, too. */
static void
test_change_reaches_node_of_frozen_replica(void **state)
{
    int64_t notice = RP_CONN_SILENCE_US;
    int64_t retry = RP_RECONNECT_PAUSE_MIN_MS * RP_US_PER_MS * 3 / 2;
    int64_t spread = RP_HEARTBEAT_US + RP_TABLE_BATCH_US;

    (void)state;
    assert_true(notice + retry + spread < IN_FORCE_US);
    assert_true(notice + retry + RP_CONN_CONNECT_US + 2 * retry + spread <
                IN_FORCE_US);
}

/* A replica that is cut off sends its nodes away, and they find another. */
static void
test_change_reaches_node_of_cut_off_replica(void **state)
{
    int64_t send_away = RP_LEASE_US + RP_SEND_AWAY_MIN_US;
    int64_t retry = RP_RECONNECT_PAUSE_MIN_MS * RP_US_PER_MS * 3 / 2;

    (void)state;
    assert_true(send_away + retry + RP_HEARTBEAT_US + RP_TABLE_BATCH_US <
                IN_FORCE_US);
}

/* A removed replica's place is taken, with an election in between. */
static void
test_replica_is_replaced(void **state)
{
    (void)state;
    assert_true(2 * RP_ELECTION_US + RP_REPLACE_US + 2 * RP_HEARTBEAT_US <
                CATCH_UP_US);
}

/* A lease ends before another leader can be elected, and a lost heartbeat or
 * two does not end it. */
static void
test_lease(void **state)
{
    (void)state;
    assert_true(RP_LEASE_US < RP_ELECTION_US);
    assert_true(RP_LEASE_US > 2 * RP_HEARTBEAT_US);
    /* Nodes stay with a replica for the longest wait before an election. */
    assert_true(RP_SEND_AWAY_MIN_US >= 2 * RP_ELECTION_US);
    assert_true(RP_CONN_SILENCE_US > 2 * RP_CONN_PING_US);
}

/* The longest pause that the dice can give. */
static uint32_t
highest(uint32_t upper_bound)
{
    return upper_bound - 1;
}

/* Until when a node that has tried since 0 has connected to an instance that
 * can be reached from `up_ms` on. */
static uint32_t
connected_by(uint32_t up_ms)
{
    struct rp_reconnect reconnect;
    uint32_t now = 0;

    RpReconnect_Init(&reconnect);
    while (now < up_ms) {
        now += RpReconnect_Begin(&reconnect);
        now += RpReconnect_End(&reconnect, false, highest);
    }
    return now;
}

/* The power is back: whenever that is, a node has connected after what one
 * attempt may take and one pause; in the first half second, while most have
 * just started, after what a short one takes. */
static void
test_node_is_back_after_power(void **state)
{
    uint32_t pause = RP_RECONNECT_PAUSE_MIN_MS * 3 / 2;
    uint32_t longest = (uint32_t)(RP_CONN_CONNECT_US / RP_US_PER_MS) + pause;
    uint32_t at_first = 2 * RP_RECONNECT_PATIENCE_MIN_MS + pause;

    (void)state;
    for (uint32_t up_ms = 0; up_ms < 5000; up_ms++) {
        uint32_t took = connected_by(up_ms) - up_ms;
        assert_true(took <= (up_ms < 500 ? at_first : longest));
    }
}

/* An instance that answers and gives no table is not pressed. */
static void
test_pauses_grow_where_answered(void **state)
{
    struct rp_reconnect reconnect;

    (void)state;
    RpReconnect_Init(&reconnect);
    for (uint32_t pause = RP_RECONNECT_PAUSE_MIN_MS;
         pause < RP_RECONNECT_PAUSE_MAX_MS; pause *= 2) {
        assert_int_equal(RpReconnect_End(&reconnect, true, highest),
                         pause / 2 + pause);
    }
    RpReconnect_Served(&reconnect);
    assert_int_equal(RpReconnect_End(&reconnect, true, highest),
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
        cmocka_unit_test(test_node_is_back_after_power),
        cmocka_unit_test(test_pauses_grow_where_answered),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

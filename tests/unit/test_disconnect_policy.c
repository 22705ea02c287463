/* Tests when a replica keeps its nodes and when it disconnects them: a
 * sequence of the replica's states over time. */
#include <glib.h>

#include "check.h"
#include "rp_disconnect_policy.h"

#define START (1000 * RP_US_PER_SECOND)

/* One state of the replica, and the decisions that must follow. */
static const struct {
    const char *title;
    int64_t at_ms; /* time since the replica started */
    bool has_log;
    bool fresh;
    bool keeps;
    bool disconnects;
} steps[] = {
    {"no log", 0, false, false, false, true},
    {"still no log: disconnects nodes at each check", 20, false, false, false,
     true},
    {"has a log but is not fresh yet", 40, true, false, true, false},
    {"fresh", 60, true, true, true, false},
    {"keeps its nodes while it is fresh", 9000, true, true, true, false},
    {"cut off: waits for an election", 10000, true, false, true, false},
    {"last moment before the minimum wait has passed", 10999, true, false,
     true, false},
    {"first disconnection", 11000, true, false, true, true},
    {"not again right after it", 11020, true, false, true, false},
    {"second disconnection", 12000, true, false, true, true},
    {"cut off for 2 s at 12 s: the next wait is 2 s", 13999, true, false, true,
     false},
    {"cut off for 2 s at 12 s: the next wait is 2 s", 14000, true, false, true,
     true},
    {"cut off for 4 s at 14 s: the next wait is 4 s", 17999, true, false, true,
     false},
    {"cut off for 4 s at 14 s: the next wait is 4 s", 18000, true, false, true,
     true},
    {"fresh again", 18500, true, true, true, false},
    {"cut off again: the waits start again at the minimum", 19000, true, false,
     true, false},
    {"cut off again: the waits start again at the minimum", 20000, true, false,
     true, true},
    {"has lost its log while it runs", 20020, false, false, false, true},
};

static void
test_keeps_and_disconnects_nodes(void **state)
{
    struct rp_disconnect_policy policy;

    (void)state;
    RpDisconnectPolicy_Init(&policy, START);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        int64_t now = START + steps[i].at_ms * RP_US_PER_MS;
        RpDisconnectPolicy_Update(&policy, now, steps[i].has_log,
                                  steps[i].fresh);
        bool keeps = RpDisconnectPolicy_AcceptsNodes(&policy);
        bool disconnects = RpDisconnectPolicy_ShouldDisconnect(&policy, now);
        if (keeps != steps[i].keeps || disconnects != steps[i].disconnects) {
            print_error("%" G_GINT64_FORMAT " ms, %s: keeps=%d "
                        "disconnects=%d\n",
                        steps[i].at_ms, steps[i].title, keeps, disconnects);
        }
        assert_int_equal(keeps, steps[i].keeps);
        assert_int_equal(disconnects, steps[i].disconnects);
    }
}

/* RpDisconnectPolicy_Update returns true exactly once for each change between
 * fresh and cut off. */
static void
test_update_reports_each_change_once(void **state)
{
    struct rp_disconnect_policy policy;

    (void)state;
    RpDisconnectPolicy_Init(&policy, START);
    assert_false(RpDisconnectPolicy_Update(&policy, START, false, false));
    assert_true(RpDisconnectPolicy_Update(&policy, START, true, true));
    assert_false(RpDisconnectPolicy_Update(&policy, START, true, true));
    assert_true(RpDisconnectPolicy_Update(&policy, START, true, false));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_keeps_and_disconnects_nodes),
        cmocka_unit_test(test_update_reports_each_change_once),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

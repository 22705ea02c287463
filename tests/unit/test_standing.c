/* When a replica keeps its nodes and when it sends them away: a table of
 * what it knows at which time. */
#include <glib.h>

#include "check.h"
#include "rp_standing.h"

#define START (1000 * RP_US_PER_SECOND)

/* One look at the replica, and what must follow for its nodes. */
static const struct {
    const char *what;
    int64_t at_ms; /* after its start */
    bool has_log;
    bool fresh;
    bool keeps;
    bool sends_away;
} steps[] = {
    {"an empty disk", 0, false, false, false, true},
    {"and still empty: whoever came meanwhile goes", 20, false, false, false,
     true},
    {"the log has come", 40, true, false, true, false},
    {"a majority too", 60, true, true, true, false},
    {"nothing to do while it is fresh", 9000, true, true, true, false},
    {"cut off: an election may be all that is missing", 10000, true, false,
     true, false},
    {"the longest that nodes wait for it", 10999, true, false, true, false},
    {"then they are sent away", 11000, true, false, true, true},
    {"once", 11020, true, false, true, false},
    {"at growing intervals", 12000, true, false, true, true},
    {"2 s after 12 s", 13999, true, false, true, false},
    {"2 s after 12 s", 14000, true, false, true, true},
    {"4 s after 14 s", 17999, true, false, true, false},
    {"4 s after 14 s", 18000, true, false, true, true},
    {"fresh again", 18500, true, true, true, false},
    {"cut off again: from the start", 19000, true, false, true, false},
    {"cut off again: from the start", 20000, true, false, true, true},
    {"its disk is replaced while it runs", 20020, false, false, false, true},
};

static void
test_keeps_and_sends_away(void **state)
{
    struct rp_standing standing;

    (void)state;
    RpStanding_Init(&standing, START);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        int64_t now = START + steps[i].at_ms * RP_US_PER_MS;
        RpStanding_Update(&standing, now, steps[i].has_log, steps[i].fresh);
        bool keeps = RpStanding_KeepsNodes(&standing);
        bool sends_away = RpStanding_SendsAway(&standing, now);
        if (keeps != steps[i].keeps || sends_away != steps[i].sends_away) {
            print_error("%" G_GINT64_FORMAT " ms, %s: keeps=%d "
                        "sends_away=%d\n",
                        steps[i].at_ms, steps[i].what, keeps, sends_away);
        }
        assert_int_equal(keeps, steps[i].keeps);
        assert_int_equal(sends_away, steps[i].sends_away);
    }
}

/* Each change between fresh and cut off is news once. */
static void
test_tells_changes_once(void **state)
{
    struct rp_standing standing;

    (void)state;
    RpStanding_Init(&standing, START);
    assert_false(RpStanding_Update(&standing, START, false, false));
    assert_true(RpStanding_Update(&standing, START, true, true));
    assert_false(RpStanding_Update(&standing, START, true, true));
    assert_true(RpStanding_Update(&standing, START, true, false));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_keeps_and_sends_away),
        cmocka_unit_test(test_tells_changes_once),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

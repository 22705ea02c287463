/* When a new flow is taken, passed on, sent back or refused: a table of
 * loads. */
#include <glib.h>

#include "check.h"
#include "rp_admission.h"

#define MS 1000 /* microseconds */

/* A load at the last of three candidates, and what must become of the flow.
 * Shares are in units of 1 / RP_SHARE_UNIT. */
static const struct {
    const char *what;
    struct rp_load load;
    enum rp_verdict verdict;
    enum rp_counter reason;
} cases[] = {
    {"a free slot",
     {.slots = 7, .busy = 6, .best_share = 20, .last = true, .priority = 2},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED},
    {"all slots busy, others left to try",
     {.slots = 7, .busy = 7, .best_share = 255, .priority = 2},
     RP_VERDICT_PASS,
     RP_COUNT_PASS_BUSY},
    {"the least busy of all",
     {.slots = 7, .busy = 8, .best_share = 32, .last = true, .priority = 2},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"another is less busy",
     {.slots = 7, .busy = 16, .best_share = 32, .last = true, .priority = 2},
     RP_VERDICT_BACK,
     RP_COUNT_PASS_BACK},
    {"nothing known of work or target: three times the slots",
     {.slots = 7, .busy = 21, .best_share = 50, .last = true, .priority = 2},
     RP_VERDICT_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"the same, for an important request: four times",
     {.slots = 7, .busy = 21, .best_share = 50, .last = true, .priority = 1},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"half of 400 ms are four times 50 ms: five times the slots",
     {.slots = 3,
      .busy = 14,
      .best_share = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .work_us = 50 * MS},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"and no more",
     {.slots = 3,
      .busy = 15,
      .best_share = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .work_us = 50 * MS},
     RP_VERDICT_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"a slow host: work that takes the whole target leaves two",
     {.slots = 4,
      .busy = 8,
      .best_share = 99,
      .last = true,
      .priority = 2,
      .target_us = 100 * MS,
      .work_us = 100 * MS},
     RP_VERDICT_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"short work: as far as shares can tell",
     {.slots = 2,
      .busy = 31,
      .best_share = 253,
      .last = true,
      .priority = 0,
      .target_us = 800 * MS,
      .work_us = 4 * MS},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"waited 100 ms of the 200 ms that it may: 3 times the slots, not 5",
     {.slots = 3,
      .busy = 9,
      .best_share = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .work_us = 50 * MS,
      .waited_us = 100 * MS},
     RP_VERDICT_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"a little less busy",
     {.slots = 3,
      .busy = 8,
      .best_share = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .work_us = 50 * MS,
      .waited_us = 100 * MS},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"late already: not behind others",
     {.slots = 3,
      .busy = 3,
      .best_share = 99,
      .last = true,
      .priority = 0,
      .target_us = 400 * MS,
      .waited_us = 600 * MS},
     RP_VERDICT_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"late already: where a slot is free",
     {.slots = 3,
      .busy = 2,
      .best_share = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .work_us = 50 * MS,
      .waited_us = 600 * MS},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED},
    {"waited, but nobody says how long is too long",
     {.slots = 3,
      .busy = 8,
      .best_share = 99,
      .last = true,
      .priority = 2,
      .waited_us = 600 * MS},
     RP_VERDICT_TAKE,
     RP_COUNT_FLOW_ADMITTED_LAST},
};

static void
test_bounded(void **state)
{
    struct rp_admission *policy = RpAdmission_CreateBounded();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_load load = cases[i].load;
        enum rp_counter reason = RP_COUNTER_COUNT;
        load.flow_limit = 1000;
        enum rp_verdict verdict = RpAdmission_Decide(policy, &load, &reason);
        if (verdict != cases[i].verdict || reason != cases[i].reason) {
            fail_msg("%s: verdict %d, reason %s", cases[i].what, verdict,
                     RpCounter_Name(reason));
        }
    }
    RpAdmission_Free(policy);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_bounded),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Tests for which loads a new flow is admitted, passed on, passed back or
 * refused. */
#include <glib.h>

#include "check.h"
#include "rp_admission.h"

#define MS 1000 /* microseconds */

/* A load and the decision that it must lead to. Utilisations are in
 * units of 1 / RP_UTILISATION_UNIT. */
static const struct {
    const char *what;
    struct rp_load load;
    enum rp_decision decision;
    enum rp_counter reason;
} cases[] = {
    {"a free slot",
     {.slots = 7,
      .busy = 6,
      .lowest_utilisation = 20,
      .last = true,
      .priority = 2},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED},
    {"all slots busy, more candidates follow",
     {.slots = 7, .busy = 7, .lowest_utilisation = 255, .priority = 2},
     RP_DECISION_PASS_ON,
     RP_COUNT_PASS_BUSY},
    {"the least busy candidate",
     {.slots = 7,
      .busy = 8,
      .lowest_utilisation = 32,
      .last = true,
      .priority = 2},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"a free slot of an unhealthy host, an earlier candidate is busy",
     {.slots = 7,
      .busy = 0,
      .lowest_utilisation = 32,
      .last = true,
      .unhealthy = true,
      .priority = 2},
     RP_DECISION_PASS_BACK,
     RP_COUNT_PASS_BACK},
    {"an unhealthy host, the earlier candidates at the limit",
     {.slots = 7,
      .busy = 0,
      .lowest_utilisation = 50,
      .last = true,
      .unhealthy = true,
      .priority = 2},
     RP_DECISION_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"an earlier candidate is less busy",
     {.slots = 7,
      .busy = 16,
      .lowest_utilisation = 32,
      .last = true,
      .priority = 2},
     RP_DECISION_PASS_BACK,
     RP_COUNT_PASS_BACK},
    {"no service time and no target known: limit 3 times the slots",
     {.slots = 7,
      .busy = 21,
      .lowest_utilisation = 50,
      .last = true,
      .priority = 2},
     RP_DECISION_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"the same with high priority: limit 4 times the slots",
     {.slots = 7,
      .busy = 21,
      .lowest_utilisation = 50,
      .last = true,
      .priority = 1},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"may wait 200 ms, 4 times 50 ms: below the limit of 5 times the slots",
     {.slots = 3,
      .busy = 14,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .service_time_us = 50 * MS},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"may wait 200 ms, 4 times 50 ms: limit 5 times the slots reached",
     {.slots = 3,
      .busy = 15,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .service_time_us = 50 * MS},
     RP_DECISION_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"service time equals the target: lowest limit, 2 times the slots",
     {.slots = 4,
      .busy = 8,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 2,
      .target_us = 100 * MS,
      .service_time_us = 100 * MS},
     RP_DECISION_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"short service time: limit capped at the largest utilisation",
     {.slots = 2,
      .busy = 31,
      .lowest_utilisation = 253,
      .last = true,
      .priority = 0,
      .target_us = 800 * MS,
      .service_time_us = 4 * MS},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"waited 100 ms of 200 ms: limit 3 times the slots, not 5",
     {.slots = 3,
      .busy = 9,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .service_time_us = 50 * MS,
      .waited_us = 100 * MS},
     RP_DECISION_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"waited 100 ms of 200 ms: below the limit of 3 times the slots",
     {.slots = 3,
      .busy = 8,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .service_time_us = 50 * MS,
      .waited_us = 100 * MS},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED_LAST},
    {"waited longer than the target: refused when all slots are busy",
     {.slots = 3,
      .busy = 3,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 0,
      .target_us = 400 * MS,
      .waited_us = 600 * MS},
     RP_DECISION_REFUSE,
     RP_COUNT_REFUSED_BUSY},
    {"waited longer than the target: admitted to a free slot",
     {.slots = 3,
      .busy = 2,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 2,
      .target_us = 400 * MS,
      .service_time_us = 50 * MS,
      .waited_us = 600 * MS},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED},
    {"waited, but no target known: limit 3 times the slots",
     {.slots = 3,
      .busy = 8,
      .lowest_utilisation = 99,
      .last = true,
      .priority = 2,
      .waited_us = 600 * MS},
     RP_DECISION_ADMIT,
     RP_COUNT_FLOW_ADMITTED_LAST},
};

static void
test_latency_policy(void **state)
{
    struct rp_admission *policy = RpAdmission_CreateLatencyTarget();

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_load load = cases[i].load;
        enum rp_counter reason = RP_COUNTER_COUNT;
        load.flow_limit = 1000;
        enum rp_decision decision = RpAdmission_Decide(policy, &load, &reason);
        if (decision != cases[i].decision || reason != cases[i].reason) {
            fail_msg("%s: decision %d, reason %s", cases[i].what, decision,
                     RpCounter_Name(reason));
        }
    }
    RpAdmission_Free(policy);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_latency_policy),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}

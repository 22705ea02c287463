#include "rp_health.h"

#include <string.h>

#include "rp_chart_files.h"

enum event { EV_ANSWERED, EV_FAILED, EV_FAILING, EV_DUE };
enum action { DO_NOTHING, DO_FORGET, DO_COUNT, DO_WAIT };

static const char *const state_names[] = {"healthy", "ill", "trial", NULL};
static const char *const event_names[] = {"answered", "failed", "failing",
                                          "due", NULL};
static const char *const action_names[] = {"nothing", "forget", "count",
                                           "wait", NULL};

enum rp_code
RpHealth_Init(struct rp_health *health, struct rp_error *error)
{
    const struct rp_chart_names names = {
        .states = state_names, .events = event_names, .actions = action_names};

    memset(health, 0, sizeof *health);
    return RpChart_Parse(&health->chart, &names,
                         RpChartFiles_Find("upstream.chart"), "upstream.chart",
                         error);
}

static void
apply(struct rp_health *health, enum event event, int64_t now)
{
    struct rp_chart_step step = RpChart_Step(&health->chart, health->state,
                                             (uint8_t)event);

    health->state = step.next;
    switch ((enum action)step.action) {
    case DO_NOTHING:
        break;
    case DO_FORGET:
        health->failures = 0;
        break;
    case DO_COUNT:
        health->failures++;
        break;
    case DO_WAIT:
        health->failures = 0;
        health->trial_deadline = now + RP_HEALTH_TRIAL_US;
        break;
    }
}

bool
RpHealth_Allows(struct rp_health *health, int64_t now)
{
    if (health->state == RP_HEALTH_HEALTHY) {
        return true;
    }
    if (now < health->trial_deadline) {
        return false;
    }
    health->trial_deadline = now + RP_HEALTH_TRIAL_US;
    apply(health, EV_DUE, now);
    return true;
}

void
RpHealth_Answered(struct rp_health *health, int64_t now)
{
    apply(health, EV_ANSWERED, now);
}

void
RpHealth_Failed(struct rp_health *health, int64_t now)
{
    bool too_many = health->failures + 1 >= RP_HEALTH_FAILURES;

    apply(health, too_many ? EV_FAILING : EV_FAILED, now);
}

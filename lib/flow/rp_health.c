/* Host health. The states, events and actions are those of
 * charts/upstream.chart; the enums follow the order of the name lists. */
#include "rp_health.h"

#include <string.h>

#include "rp_chart_files.h"

enum event { EV_SUCCESS, EV_FAILURE, EV_FAILURE_LIMIT, EV_TRIAL_DUE };
enum action {
    DO_NOTHING,
    DO_CLEAR_FAILURES,
    DO_COUNT_FAILURE,
    DO_SCHEDULE_TRIAL
};

static const char *const state_names[] = {"healthy", "unhealthy", "trial",
                                          NULL};
static const char *const event_names[] = {"success", "failure",
                                          "failure_limit", "trial_due", NULL};
static const char *const action_names[] = {
    "nothing", "clear_failures", "count_failure", "schedule_trial", NULL};

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
apply_event(struct rp_health *health, enum event event, int64_t now)
{
    struct rp_chart_step step = RpChart_Step(&health->chart, health->state,
                                             (uint8_t)event);

    health->state = step.next;
    switch ((enum action)step.action) {
    case DO_NOTHING:
        break;
    case DO_CLEAR_FAILURES:
        health->failures = 0;
        break;
    case DO_COUNT_FAILURE:
        health->failures++;
        break;
    case DO_SCHEDULE_TRIAL:
        health->failures = 0;
        health->trial_deadline = now + RP_HEALTH_TRIAL_INTERVAL_US;
        break;
    }
}

bool
RpHealth_AllowsNewFlow(struct rp_health *health, int64_t now)
{
    if (health->state == RP_HEALTH_HEALTHY) {
        return true;
    }
    if (now < health->trial_deadline) {
        return false;
    }
    health->trial_deadline = now + RP_HEALTH_TRIAL_INTERVAL_US;
    apply_event(health, EV_TRIAL_DUE, now);
    return true;
}

void
RpHealth_RecordSuccess(struct rp_health *health, int64_t now)
{
    apply_event(health, EV_SUCCESS, now);
}

void
RpHealth_RecordFailure(struct rp_health *health, int64_t now)
{
    bool reaches_limit = health->failures + 1 >= RP_HEALTH_FAILURE_LIMIT;

    apply_event(health, reaches_limit ? EV_FAILURE_LIMIT : EV_FAILURE, now);
}

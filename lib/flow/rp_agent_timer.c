/* Flows whose deadline has passed. */
#include "rp_agent_internal.h"

#define SWEEP_PERIOD_US (100 * RP_US_PER_MS)
#define SWEEP_SHARE 50 /* one call looks at 1/50 of the table */
#define SWEEP_MIN_PLACES 4096

static void
apply_timer(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
            struct rp_actions *actions)
{
    struct rp_chart_step step = RpChart_Step(agent->chart, flow->state,
                                             RP_FLOW_EV_TIMER);

    switch ((enum rp_flow_action)step.action) {
    case RP_FLOW_DO_RETRY:
        RpHealth_Failed(&agent->health, now);
        RpAgent_Retry(agent, now, flow, NULL, actions);
        break;
    case RP_FLOW_DO_PRESUME:
        RpAgent_Enter(agent, flow, step.next, now);
        break;
    case RP_FLOW_DO_CHECK:
        RpAgent_CheckSilence(agent, now, flow, actions);
        break;
    default:
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_EXPIRED);
        RpAgent_Forget(agent, flow);
    }
}

/* Slots kept for requests that did not come are free again. */
static void
end_reserves(struct rp_agent *agent, int64_t now)
{
    for (;;) {
        const struct rp_short_timer *timer = g_queue_peek_head(
            &agent->reserves);
        if (!timer || timer->deadline > now) {
            return;
        }
        struct rp_flow *flow = RpFlowTable_Find(agent->flows, timer->caller);
        if (flow && (flow->flags & RP_FLOW_RESERVED)) {
            RpAgent_SetBusy(agent, flow, false);
        }
        g_free(g_queue_pop_head(&agent->reserves));
    }
}

/* The next flow whose short timer has run out, or NULL. */
static struct rp_flow *
due_short(struct rp_agent *agent, int64_t now)
{
    for (;;) {
        const struct rp_short_timer *timer = g_queue_peek_head(
            &agent->short_timers);
        if (!timer || timer->deadline > now) {
            return NULL;
        }
        struct rp_flow *flow = RpFlowTable_Find(agent->flows, timer->caller);
        bool due = flow && RpAgent_HasShortTimer(flow->state) &&
                   flow->deadline == timer->deadline;
        g_free(g_queue_pop_head(&agent->short_timers));
        if (due) {
            return flow;
        }
    }
}

/* The next flow whose long deadline has passed. The table is walked in
 * small parts, so that a large one never stops the loop. */
static struct rp_flow *
due_long(struct rp_agent *agent, int64_t now)
{
    struct rp_flow_key caller;
    size_t share = RpFlowTable_Places(agent->flows) / SWEEP_SHARE;

    if (now < agent->swept_until) {
        return NULL;
    }
    if (RpFlowTable_Due(agent->flows, now, MAX(share, SWEEP_MIN_PLACES),
                        &caller, 1) == 0) {
        agent->swept_until = now + SWEEP_PERIOD_US;
        return NULL;
    }
    return RpFlowTable_Find(agent->flows, caller);
}

/* Tells the caller of one flow that the host has lost. */
static bool
reset_lost(struct rp_agent *agent, int64_t now, struct rp_actions *actions)
{
    while (agent->lost->len > 0) {
        struct rp_flow *flow = RpFlowTable_Find(
            agent->flows, g_array_index(agent->lost, struct rp_flow_key,
                                        agent->lost->len - 1));
        g_array_set_size(agent->lost, agent->lost->len - 1);
        if (flow && (flow->flags & RP_FLOW_OWNED)) {
            RpAgent_ResetLost(agent, now, flow, actions);
            return true;
        }
    }
    return false;
}

static int64_t
first_deadline(const GQueue *timers)
{
    const struct rp_short_timer *first = timers->head ? timers->head->data
                                                      : NULL;

    return first ? first->deadline : RP_NEVER;
}

int64_t
RpAgent_NextTimer(const struct rp_agent *agent)
{
    if (!agent->service) {
        return RP_NEVER;
    }
    if (agent->lost->len > 0) {
        return 0;
    }
    int64_t next = MIN(first_deadline(&agent->short_timers),
                       first_deadline(&agent->reserves));
    if (RpFlowTable_Count(agent->flows) > 0) {
        next = MIN(next, agent->swept_until);
    }
    return MIN(next, RpGate_NextDeadline(agent->gate));
}

bool
RpAgent_OnTimer(struct rp_agent *agent, int64_t now,
                struct rp_actions *actions)
{
    RpAgent_Begin(agent, actions);
    if (!agent->service) {
        return false;
    }
    if (reset_lost(agent, now, actions)) {
        return true;
    }
    end_reserves(agent, now);
    if (RpAgent_GatePump(agent, now, actions)) {
        return true;
    }
    struct rp_flow *flow = due_short(agent, now);
    if (!flow) {
        flow = due_long(agent, now);
    }
    if (!flow) {
        return false;
    }
    apply_timer(agent, now, flow, actions);
    return true;
}

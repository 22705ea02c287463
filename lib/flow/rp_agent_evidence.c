/* What the end of a request says of the host's health. */
#include "rp_agent_internal.h"

/* Whether the host has the flow's request and has not begun its answer. */
static bool
awaits_answer(const struct rp_flow *flow)
{
    return flow->state == RP_FLOW_ESTABLISHED &&
           (flow->flags & RP_FLOW_AWAITS_ANSWER);
}

void
RpAgent_RecordRequestReset(struct rp_agent *agent, const struct rp_flow *flow,
                           int64_t now)
{
    if (awaits_answer(flow)) {
        RpCounters_Add(agent->counters, RP_COUNT_REQUEST_RESET);
        RpHealth_RecordFailure(&agent->request_health, now);
    }
}

void
RpAgent_RecordRequestAbandoned(struct rp_agent *agent,
                               const struct rp_flow *flow, int64_t now)
{
    const struct rp_vip *vip = RpTable_FindVip(
        agent->table, RpFlowKey_Destination(flow->caller));

    /* A caller may also end a request for reasons of its own: only one that
     * has waited for longer than the answer should take counts. */
    if (awaits_answer(flow) && vip && vip->target_ms > 0 &&
        now - flow->request_since >= vip->target_ms * RP_US_PER_MS) {
        RpCounters_Add(agent->counters, RP_COUNT_REQUEST_ABANDONED);
        RpHealth_RecordFailure(&agent->request_health, now);
    }
}

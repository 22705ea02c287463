/* Timers: expired state deadlines, expired slot reservations, lost flows, and
 * packets whose request has left the request queue. */
#include "rp_agent_internal.h"

/* The flow table is scanned in parts, so that a large table does not block the
 * event loop. */
#define SCAN_INTERVAL_US (100 * RP_US_PER_MS)
#define SCANS_PER_TABLE 50    /* one scan covers 1/50 of the table */
#define MIN_SCAN_BUCKETS 4096 /* but at least this many buckets */

/* Whether the flow's timer event is the one without a living host: nothing
 * shows that the host has read the query, which may be about a flow of another
 * host. `host_seen` is the time of the query. */
static bool
lacks_host(const struct rp_agent *agent, const struct rp_flow *flow)
{
    return flow->state == RP_FLOW_QUERYING_HOST &&
           (agent->host_state == RP_HOST_UNKNOWN ||
            agent->host_state == RP_HOST_GONE ||
            agent->host_heard_at <= flow->host_seen);
}

/* Performs the action of the flow chart for the timer event. */
static void
handle_expired_flow(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                    struct rp_actions *actions)
{
    bool no_host = lacks_host(agent, flow);
    struct rp_chart_step step = RpChart_Step(agent->chart, flow->state,
                                             no_host ? RP_FLOW_EV_TIMER_NO_HOST
                                                     : RP_FLOW_EV_TIMER);

    switch ((enum rp_flow_action)step.action) {
    case RP_FLOW_DO_RETRY_SYN:
        RpHealth_RecordFailure(&agent->health, now);
        RpAgent_RetrySyn(agent, now, flow, NULL, actions);
        break;
    case RP_FLOW_DO_PRESUME_OWNED:
        RpAgent_EnterState(agent, flow, step.next, now);
        break;
    case RP_FLOW_DO_RELEASE_TO_NEXT_AGENT:
        /* The host may be there all the same and answer late: then its answer
         * proves that the flow is its own. */
        flow->flags |= RP_FLOW_MAYBE_AT_HOST;
        RpAgent_ReleaseToNextAgent(agent, now, flow, actions);
        break;
    case RP_FLOW_DO_CHECK_SILENCE:
        RpAgent_CheckSilence(agent, now, flow, actions);
        break;
    default:
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_EXPIRED);
        RpAgent_RemoveFlow(agent, flow);
    }
}

/* Frees the reserved slots of flows whose first request did not come in
 * time. */
static void
end_expired_reservations(struct rp_agent *agent, int64_t now)
{
    for (;;) {
        const struct rp_flow_timer *timer = g_queue_peek_head(
            &agent->reservations);
        if (!timer || timer->deadline > now) {
            return;
        }
        struct rp_flow *flow = RpFlowTable_Find(agent->flows, timer->caller);
        if (flow && (flow->flags & RP_FLOW_RESERVED)) {
            RpAgent_SetBusy(agent, flow, false);
        }
        g_free(g_queue_pop_head(&agent->reservations));
    }
}

/* Returns the next flow whose short timer has expired, or NULL. Timers whose
 * flow has changed its state since are discarded. */
static struct rp_flow *
next_expired_short_timer(struct rp_agent *agent, int64_t now)
{
    for (;;) {
        const struct rp_flow_timer *timer = g_queue_peek_head(
            &agent->short_timers);
        if (!timer || timer->deadline > now) {
            return NULL;
        }
        struct rp_flow *flow = RpFlowTable_Find(agent->flows, timer->caller);
        bool is_current = flow && RpAgent_HasShortTimer(flow->state) &&
                          flow->deadline == timer->deadline;
        g_free(g_queue_pop_head(&agent->short_timers));
        if (is_current) {
            return flow;
        }
    }
}

/* Scans the next part of the flow table and returns a flow whose deadline has
 * passed, or NULL. */
static struct rp_flow *
scan_for_expired_flow(struct rp_agent *agent, int64_t now)
{
    struct rp_flow_key caller;
    size_t bucket_count = RpFlowTable_CountBuckets(agent->flows) /
                          SCANS_PER_TABLE;

    if (now < agent->next_scan) {
        return NULL;
    }
    if (RpFlowTable_CollectExpired(agent->flows, now,
                                   MAX(bucket_count, MIN_SCAN_BUCKETS),
                                   &caller, 1) == 0) {
        agent->next_scan = now + SCAN_INTERVAL_US;
        return NULL;
    }
    return RpFlowTable_Find(agent->flows, caller);
}

/* Resets the caller of one flow that the host has lost; false if no such flow
 * is left. */
static bool
reset_next_lost_flow(struct rp_agent *agent, int64_t now,
                     struct rp_actions *actions)
{
    while (agent->lost_flows->len > 0) {
        struct rp_flow *flow = RpFlowTable_Find(
            agent->flows, g_array_index(agent->lost_flows, struct rp_flow_key,
                                        agent->lost_flows->len - 1));
        g_array_set_size(agent->lost_flows, agent->lost_flows->len - 1);
        if (flow && RpAgent_IsCertainOwner(flow->state)) {
            RpAgent_ResetLostFlow(agent, now, flow, actions);
            return true;
        }
    }
    return false;
}

/* Sends the host a copy of a packet that it got of the flow: a host that has
 * lost the flow returns or resets it. Without a copy, the caller's next packet
 * shows that. */
static bool
send_check(struct rp_agent *agent, const struct rp_flow *flow,
           struct rp_actions *actions)
{
    const struct rp_held_packet *copy = RpHold_Get(agent->first_packets,
                                                   flow->caller);

    if (!copy) {
        return false;
    }
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_HOST,
                          RP_COUNT_FLOW_CHECKED, copy->data, copy->len);
    return true;
}

/* Performs the action of the flow chart for a flow of a host that may have
 * restarted. Returns false if there is none. */
static bool
handle_unchecked_flow(struct rp_agent *agent, int64_t now,
                      struct rp_flow *flow, struct rp_actions *actions)
{
    struct rp_chart_step step = RpChart_Step(agent->chart, flow->state,
                                             RP_FLOW_EV_HOST_RESTARTED);

    if (step.listed && step.action == RP_FLOW_DO_RELEASE_TO_NEXT_AGENT) {
        flow->flags |= RP_FLOW_MAYBE_AT_HOST;
        RpAgent_ReleaseToNextAgent(agent, now, flow, actions);
        return true;
    }
    return step.listed && send_check(agent, flow, actions);
}

/* Handles one flow that the host may have lost; false if none is due. */
static bool
check_next_flow(struct rp_agent *agent, int64_t now,
                struct rp_actions *actions)
{
    GArray *unchecked = agent->unchecked_flows;
    bool handled = false;

    if (now < agent->next_check) {
        return false;
    }
    while (!handled && unchecked->len > 0) {
        struct rp_flow *flow = RpFlowTable_Find(
            agent->flows,
            g_array_index(unchecked, struct rp_flow_key, unchecked->len - 1));
        g_array_set_size(unchecked, unchecked->len - 1);
        handled = flow && handle_unchecked_flow(agent, now, flow, actions);
    }
    if (handled && ++agent->checks_in_batch >= RP_CHECKS_PER_BATCH) {
        agent->checks_in_batch = 0;
        agent->next_check = now + RP_CHECK_PAUSE_US;
    }
    return handled;
}

static int64_t
first_deadline(const GQueue *timers)
{
    const struct rp_flow_timer *first = timers->head ? timers->head->data
                                                     : NULL;

    return first ? first->deadline : RP_NEVER;
}

int64_t
RpAgent_NextTimer(const struct rp_agent *agent)
{
    if (!agent->service) {
        return RP_NEVER;
    }
    if (agent->lost_flows->len > 0) {
        return 0;
    }
    int64_t next = MIN(first_deadline(&agent->short_timers),
                       first_deadline(&agent->reservations));
    if (RpFlowTable_Count(agent->flows) > 0) {
        next = MIN(next, agent->next_scan);
    }
    if (agent->unchecked_flows->len > 0) {
        next = MIN(next, agent->next_check);
    }
    return MIN(next, RpRequestQueue_NextDeadline(agent->request_queue));
}

bool
RpAgent_OnTimer(struct rp_agent *agent, int64_t now,
                struct rp_actions *actions)
{
    RpAgent_BeginCall(agent, actions);
    RpAgent_AccountLoad(agent, now);
    if (!agent->service) {
        return false;
    }
    if (reset_next_lost_flow(agent, now, actions) ||
        check_next_flow(agent, now, actions)) {
        return true;
    }
    end_expired_reservations(agent, now);
    if (RpAgent_SendReleasedPacket(agent, now, actions)) {
        return true;
    }
    struct rp_flow *flow = next_expired_short_timer(agent, now);
    if (!flow) {
        flow = scan_for_expired_flow(agent, now);
    }
    if (!flow) {
        return false;
    }
    handle_expired_flow(agent, now, flow, actions);
    return true;
}

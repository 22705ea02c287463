/* Detection of flows that have lost an end or the path between the ends, while
 * new flows work.
 *
 * A flow is suspect if one end owes an acknowledgement and has sent nothing
 * for the service's silence timeout. The agent then probes both ends as TCP
 * keep-alives do. If one end does not answer, it resets both, so that the live
 * end learns of the loss at once and the flow's slot becomes free. In an idle
 * flow no end owes an acknowledgement, so it stays open; the agent only probes
 * its host at intervals to find out whether the host still has the flow. */
#include "rp_agent_internal.h"

/* Time that the ends have to answer a probe. */
#define PROBE_TIMEOUT_US (5 * RP_US_PER_SECOND)
/* Interval of the probes to the host of an idle flow. */
#define IDLE_PROBE_INTERVAL_US (900 * RP_US_PER_SECOND)

static int64_t
silence_timeout_us(const struct rp_agent *agent)
{
    return agent->service->silence_ms * RP_US_PER_MS;
}

/* Whether an end owes an acknowledgement and has sent nothing for the silence
 * timeout. */
static bool
is_suspect(const struct rp_agent *agent, const struct rp_flow *flow,
           int64_t now)
{
    bool host_owes_ack = RpSeq_Distance(flow->host_acked, flow->caller_next) >
                         0;
    bool caller_owes_ack = RpSeq_Distance(flow->caller_acked,
                                          flow->host_next) > 0;

    return (host_owes_ack &&
            now >= flow->host_seen + silence_timeout_us(agent)) ||
           (caller_owes_ack &&
            now >= flow->caller_seen + silence_timeout_us(agent));
}

/* Sends the host a segment with a sequence number below its window, which TCP
 * answers with an acknowledgement, or with a reset if the flow is unknown. */
static void
probe_host(struct rp_agent *agent, const struct rp_flow *flow,
           struct rp_actions *actions)
{
    RpAgent_AddSegmentAction(agent, actions, RP_ACTION_TO_HOST,
                             RP_COUNT_PROBE_SENT, flow->caller, RP_TCP_ACK,
                             flow->host_acked - 1, flow->caller_acked);
}

/* Probes the caller like probe_host. */
static void
probe_caller(struct rp_agent *agent, const struct rp_flow *flow,
             struct rp_actions *actions)
{
    RpAgent_AddSegmentAction(agent, actions, RP_ACTION_TO_CALLER,
                             RP_COUNT_PROBE_SENT,
                             RpFlowKey_Reverse(flow->caller), RP_TCP_ACK,
                             flow->caller_acked - 1, flow->host_acked);
}

/* Closes the flow and resets both ends. */
static void
reset_both_ends(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                enum rp_counter reason, struct rp_actions *actions)
{
    struct rp_flow_key key = flow->caller;

    RpAgent_AddSegmentAction(agent, actions, RP_ACTION_TO_HOST, reason, key,
                             RP_TCP_RST, flow->host_acked, 0);
    RpAgent_AddSegmentAction(agent, actions, RP_ACTION_TO_CALLER,
                             RP_COUNT_PACKETS_OUT, RpFlowKey_Reverse(key),
                             RP_TCP_RST, flow->caller_acked, 0);
    RpAgent_EnterState(agent, flow, RP_FLOW_CLOSED, now);
}

/* Resets a flow if an end did not answer its probe in time. */
static void
evaluate_probes(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                struct rp_actions *actions)
{
    int64_t probe_time = flow->deadline - PROBE_TIMEOUT_US;
    bool host_answered = flow->host_seen > probe_time;
    bool caller_answered = flow->caller_seen > probe_time;

    flow->flags &= (uint16_t)~RP_FLOW_PROBED;
    if (host_answered && caller_answered) {
        flow->deadline = now + silence_timeout_us(agent);
        return;
    }
    reset_both_ends(agent, now, flow,
                    host_answered ? RP_COUNT_RESET_SILENT_CALLER
                                  : RP_COUNT_RESET_SILENT_HOST,
                    actions);
}

/* Removes the entry of a flow that was idle for RP_IDLE_FLOW_TIMEOUT_US, in
 * formats in which the ends cannot be probed. */
static void
forget_if_idle(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
               int64_t last_seen)
{
    flow->deadline = last_seen + RP_IDLE_FLOW_TIMEOUT_US;
    if (flow->deadline <= now) {
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_EXPIRED);
        RpAgent_RemoveFlow(agent, flow);
    }
}

void
RpAgent_CheckSilence(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                     struct rp_actions *actions)
{
    int64_t last_seen = MAX(flow->host_seen, flow->caller_seen);

    if (!RpAgent_CanMakeSegments(agent)) {
        forget_if_idle(agent, now, flow, last_seen);
        return;
    }
    if (flow->flags & RP_FLOW_PROBED) {
        evaluate_probes(agent, now, flow, actions);
        return;
    }
    if (is_suspect(agent, flow, now)) {
        flow->flags |= RP_FLOW_PROBED;
        flow->deadline = now + PROBE_TIMEOUT_US;
        probe_host(agent, flow, actions);
        probe_caller(agent, flow, actions);
        return;
    }
    flow->deadline = now + silence_timeout_us(agent);
    if (now >= last_seen + IDLE_PROBE_INTERVAL_US) {
        probe_host(agent, flow, actions);
        /* The next idle probe follows after another interval, even if the
         * host does not answer. */
        flow->host_seen = now;
    }
}

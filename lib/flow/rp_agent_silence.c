/* Flows that have gone silent: something between the ends has lost track of
 * them, while new flows work.
 *
 * A flow is suspect when one end owes an acknowledgement and has not been
 * seen for the service's silence time. Then both ends are probed, as TCP
 * keep-alives do. An end that answers is alive; if the other is not, the
 * live one is reset, so that it learns of the loss at once and its slot is
 * free. Idle flows owe nothing and live on; only their host is asked now
 * and then whether it still has them. */
#include "rp_agent_internal.h"

/* How long the ends may take to answer a probe. */
#define PROBE_PATIENCE_US (5 * RP_US_PER_SECOND)
/* How often the host of an idle flow is asked. */
#define IDLE_PROBE_US (900 * RP_US_PER_SECOND)

static int64_t
silence_us(const struct rp_agent *agent)
{
    return agent->service->silence_ms * RP_US_PER_MS;
}

/* Whether an end owes an acknowledgement and has been silent too long. */
static bool
is_suspect(const struct rp_agent *agent, const struct rp_flow *flow,
           int64_t now)
{
    bool host_owes = RpSeq_Distance(flow->host_acked, flow->caller_next) > 0;
    bool caller_owes = RpSeq_Distance(flow->caller_acked, flow->host_next) > 0;

    return (host_owes && now >= flow->host_seen + silence_us(agent)) ||
           (caller_owes && now >= flow->caller_seen + silence_us(agent));
}

static void
probe_host(struct rp_agent *agent, const struct rp_flow *flow,
           struct rp_actions *actions)
{
    RpAgent_SendSegment(agent, actions, RP_ACTION_TO_HOST, RP_COUNT_PROBE_SENT,
                        flow->caller, RP_TCP_ACK, flow->host_acked - 1,
                        flow->caller_acked);
}

static void
probe_caller(struct rp_agent *agent, const struct rp_flow *flow,
             struct rp_actions *actions)
{
    RpAgent_SendSegment(agent, actions, RP_ACTION_TO_CALLER,
                        RP_COUNT_PROBE_SENT, RpFlowKey_Reverse(flow->caller),
                        RP_TCP_ACK, flow->caller_acked - 1, flow->host_acked);
}

static void
reset_both(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
           enum rp_counter reason, struct rp_actions *actions)
{
    struct rp_flow_key key = flow->caller;

    RpAgent_SendSegment(agent, actions, RP_ACTION_TO_HOST, reason, key,
                        RP_TCP_RST, flow->host_acked, 0);
    RpAgent_SendSegment(agent, actions, RP_ACTION_TO_CALLER,
                        RP_COUNT_PACKETS_OUT, RpFlowKey_Reverse(key),
                        RP_TCP_RST, flow->caller_acked, 0);
    RpAgent_Enter(agent, flow, RP_FLOW_CLOSED, now);
}

/* The answers to the probes are in, or not. */
static void
judge(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
      struct rp_actions *actions)
{
    int64_t probed = flow->deadline - PROBE_PATIENCE_US;
    bool host_lives = flow->host_seen > probed;
    bool caller_lives = flow->caller_seen > probed;

    flow->flags &= (uint16_t)~RP_FLOW_PROBED;
    if (host_lives && caller_lives) {
        flow->deadline = now + silence_us(agent);
        return;
    }
    reset_both(agent, now, flow,
               host_lives ? RP_COUNT_RESET_SILENT_CALLER
                          : RP_COUNT_RESET_SILENT_HOST,
               actions);
}

/* Without probes only time tells: an idle flow is forgotten. */
static void
forget_if_idle(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
               int64_t last_seen)
{
    flow->deadline = last_seen + RP_IDLE_FORGET_US;
    if (flow->deadline <= now) {
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_EXPIRED);
        RpAgent_Forget(agent, flow);
    }
}

void
RpAgent_CheckSilence(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                     struct rp_actions *actions)
{
    int64_t last_seen = MAX(flow->host_seen, flow->caller_seen);

    if (!RpAgent_CanForge(agent)) {
        forget_if_idle(agent, now, flow, last_seen);
        return;
    }
    if (flow->flags & RP_FLOW_PROBED) {
        judge(agent, now, flow, actions);
        return;
    }
    if (is_suspect(agent, flow, now)) {
        flow->flags |= RP_FLOW_PROBED;
        flow->deadline = now + PROBE_PATIENCE_US;
        probe_host(agent, flow, actions);
        probe_caller(agent, flow, actions);
        return;
    }
    flow->deadline = now + silence_us(agent);
    if (now >= last_seen + IDLE_PROBE_US) {
        probe_host(agent, flow, actions);
        flow->host_seen = now;
    }
}

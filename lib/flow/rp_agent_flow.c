/* What the agent keeps of one flow: its state, its counts, its sequence
 * numbers. */
#include <assert.h>

#include "rp_agent_internal.h"

void
RpAgent_SetBusy(struct rp_agent *agent, struct rp_flow *flow, bool busy)
{
    bool was = flow->flags & RP_FLOW_BUSY;

    if (busy && !was) {
        flow->flags |= RP_FLOW_BUSY;
        agent->busy++;
    }
    if (!busy) {
        RpAgent_GateLeave(agent, flow);
    }
    if (!busy && was) {
        flow->flags &= (uint16_t) ~(RP_FLOW_BUSY | RP_FLOW_RESERVED);
        assert(agent->busy > 0);
        agent->busy--;
    }
}

static void
set_owned(struct rp_agent *agent, struct rp_flow *flow, bool owned)
{
    bool was = flow->flags & RP_FLOW_OWNED;

    if (owned && !was) {
        flow->flags |= RP_FLOW_OWNED;
        agent->owned++;
    }
    if (!owned && was) {
        flow->flags &= (uint16_t)~RP_FLOW_OWNED;
        assert(agent->owned > 0);
        agent->owned--;
    }
}

static int64_t
deadline_of(const struct rp_agent *agent, uint8_t state, int64_t now)
{
    switch (state) {
    case RP_FLOW_OPENING:
    case RP_FLOW_ASKING:
        return now + agent->config.patience;
    case RP_FLOW_ANSWERED:
        return now + RP_CONFIRM_PATIENCE_US;
    case RP_FLOW_REDIRECT:
        return now + RP_REDIRECT_LINGER_US;
    case RP_FLOW_CLOSED:
        return now + RP_CLOSED_LINGER_US;
    default:
        return now + agent->service->silence_ms * RP_US_PER_MS;
    }
}

static void
push_timer(GQueue *queue, struct rp_flow_key caller, int64_t deadline)
{
    struct rp_short_timer *timer = g_new(struct rp_short_timer, 1);

    timer->caller = caller;
    timer->deadline = deadline;
    g_queue_push_tail(queue, timer);
}

void
RpAgent_Reserve(struct rp_agent *agent, struct rp_flow *flow, int64_t now)
{
    RpAgent_SetBusy(agent, flow, true);
    flow->flags |= RP_FLOW_RESERVED;
    push_timer(&agent->reserves, flow->caller, now + RP_RESERVE_US);
}

static bool
is_owning(uint8_t state)
{
    return state != RP_FLOW_CLOSED && state != RP_FLOW_REDIRECT &&
           state != RP_FLOW_ASKING;
}

bool
RpAgent_HasShortTimer(uint8_t state)
{
    return state == RP_FLOW_OPENING || state == RP_FLOW_ASKING;
}

void
RpAgent_Enter(struct rp_agent *agent, struct rp_flow *flow, uint8_t state,
              int64_t now)
{
    if (state == RP_FLOW_CLOSED && (flow->flags & RP_FLOW_OWNED)) {
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_CLOSED);
    }
    flow->state = state;
    flow->deadline = deadline_of(agent, state, now);
    set_owned(agent, flow, is_owning(state));
    if (!is_owning(state)) {
        RpAgent_SetBusy(agent, flow, false);
    }
    if (RpAgent_HasShortTimer(state)) {
        push_timer(&agent->short_timers, flow->caller, flow->deadline);
    }
}

void
RpAgent_Forget(struct rp_agent *agent, struct rp_flow *flow)
{
    RpHold_Drop(agent->hold, flow->caller);
    RpAgent_SetBusy(agent, flow, false);
    set_owned(agent, flow, false);
    RpFlowTable_Remove(agent->flows, flow);
}

/* Payload as the host gets it: that of a SYN is cut. */
static uint32_t
delivered_payload(const struct rp_packet *packet)
{
    return packet->flags & RP_TCP_SYN ? 0 : packet->payload_len;
}

/* The sequence number after everything that a segment delivers. */
static uint32_t
segment_end(const struct rp_packet *packet)
{
    return packet->seq + delivered_payload(packet) +
           ((packet->flags & RP_TCP_SYN) ? 1 : 0) +
           ((packet->flags & RP_TCP_FIN) ? 1 : 0);
}

static void
advance(uint32_t *mark, uint32_t to)
{
    if (RpSeq_Distance(*mark, to) > 0) {
        *mark = to;
    }
}

bool
RpAgent_TrackCaller(struct rp_agent *agent, struct rp_flow *flow,
                    const struct rp_packet *packet, int64_t now)
{
    uint32_t end = segment_end(packet);
    bool is_new = RpSeq_Distance(flow->caller_next, end) > 0;

    flow->caller_seen = now;
    advance(&flow->caller_next, end);
    if (packet->flags & RP_TCP_ACK) {
        advance(&flow->caller_acked, packet->ack);
    }
    if (!is_new || delivered_payload(packet) == 0 ||
        !(flow->flags & RP_FLOW_OWNED)) {
        return false;
    }
    bool begins = !(flow->flags & RP_FLOW_BUSY) ||
                  (flow->flags & RP_FLOW_RESERVED);
    if (begins) {
        flow->request_since = now;
        flow->flags |= RP_FLOW_AWAITED;
        flow->flags &= (uint16_t)~RP_FLOW_UNQUEUED;
    }
    RpAgent_SetBusy(agent, flow, true);
    if (begins && agent->busy <= agent->config.slots) {
        flow->flags |= RP_FLOW_UNQUEUED;
    }
    flow->flags &= (uint16_t)~RP_FLOW_RESERVED;
    return begins;
}

static void
learn_work(struct rp_agent *agent, const struct rp_flow *flow, int64_t now)
{
    RpWork_Answered(&agent->work, now, agent->busy, agent->config.slots);
    if (flow->flags & RP_FLOW_UNQUEUED) {
        RpWork_Took(&agent->work, now - flow->request_since);
    }
}

void
RpAgent_TrackHost(struct rp_agent *agent, struct rp_flow *flow,
                  const struct rp_packet *packet, int64_t now)
{
    flow->host_seen = now;
    if (packet->payload_len > 0 && (flow->flags & RP_FLOW_AWAITED)) {
        flow->flags &= (uint16_t)~RP_FLOW_AWAITED;
        learn_work(agent, flow, now);
        RpCounters_Time(agent->counters, RP_HISTOGRAM_FIRST_BYTE,
                        now - flow->request_since);
    }
    if (packet->flags & RP_TCP_SYN) {
        flow->host_isn = packet->seq;
        flow->host_next = packet->seq + 1;
        flow->caller_acked = packet->seq;
        flow->flags |= RP_FLOW_KNOWS_HOST_ISN;
    }
    else {
        advance(&flow->host_next, segment_end(packet));
    }
    if (packet->flags & RP_TCP_ACK) {
        advance(&flow->host_acked, packet->ack);
    }
    /* A sender marks the end of what it had to say with PSH. */
    bool ends = packet->flags & (RP_TCP_PSH | RP_TCP_FIN);
    if (ends && (packet->payload_len || (packet->flags & RP_TCP_FIN))) {
        RpAgent_GateLearn(flow, now);
        RpAgent_SetBusy(agent, flow, false);
    }
}

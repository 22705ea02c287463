/* The entry of one flow: its state and deadline, the counts of owned and busy
 * flows, and the sequence numbers of both ends. */
#include <assert.h>

#include "rp_agent_internal.h"

void
RpAgent_SetBusy(struct rp_agent *agent, struct rp_flow *flow, bool busy)
{
    bool was_busy = flow->flags & RP_FLOW_BUSY;

    if (busy && !was_busy) {
        flow->flags |= RP_FLOW_BUSY;
        agent->busy_flows++;
    }
    if (!busy) {
        RpAgent_EndRequest(agent, flow);
    }
    if (!busy && was_busy) {
        flow->flags &= (uint16_t) ~(RP_FLOW_BUSY | RP_FLOW_RESERVED);
        assert(agent->busy_flows > 0);
        agent->busy_flows--;
    }
}

static void
set_owned(struct rp_agent *agent, struct rp_flow *flow, bool owned)
{
    bool was_owned = flow->flags & RP_FLOW_OWNED;

    if (owned && !was_owned) {
        flow->flags |= RP_FLOW_OWNED;
        agent->owned_flows++;
    }
    if (!owned && was_owned) {
        flow->flags &= (uint16_t)~RP_FLOW_OWNED;
        assert(agent->owned_flows > 0);
        agent->owned_flows--;
    }
}

/* When a flow that enters `state` at `now` needs its timer event. */
static int64_t
state_deadline(const struct rp_agent *agent, uint8_t state, int64_t now)
{
    switch (state) {
    case RP_FLOW_SYN_SENT:
    case RP_FLOW_QUERYING_HOST:
        return now + agent->config.host_answer_timeout;
    case RP_FLOW_SYN_ANSWERED:
        return now + RP_HANDSHAKE_TIMEOUT_US;
    case RP_FLOW_REDIRECTED:
        return now + RP_REDIRECT_TIMEOUT_US;
    case RP_FLOW_CLOSED:
        return now + RP_CLOSED_FLOW_TIMEOUT_US;
    default:
        return now + agent->service->silence_ms * RP_US_PER_MS;
    }
}

/* Appends a timer to a queue whose timers all have the same duration. */
static void
append_timer(GQueue *queue, struct rp_flow_key caller, int64_t deadline)
{
    struct rp_flow_timer *timer = g_new(struct rp_flow_timer, 1);

    timer->caller = caller;
    timer->deadline = deadline;
    g_queue_push_tail(queue, timer);
}

void
RpAgent_ReserveSlot(struct rp_agent *agent, struct rp_flow *flow, int64_t now)
{
    RpAgent_SetBusy(agent, flow, true);
    flow->flags |= RP_FLOW_RESERVED;
    append_timer(&agent->reservations, flow->caller,
                 now + RP_RESERVATION_TIMEOUT_US);
}

/* Whether this agent counts as the owner of a flow in `state`. */
static bool
is_owner_state(uint8_t state)
{
    return state != RP_FLOW_CLOSED && state != RP_FLOW_REDIRECTED &&
           state != RP_FLOW_QUERYING_HOST;
}

bool
RpAgent_HasShortTimer(uint8_t state)
{
    return state == RP_FLOW_SYN_SENT || state == RP_FLOW_QUERYING_HOST;
}

void
RpAgent_KeepFirstPacket(struct rp_agent *agent, const struct rp_flow *flow,
                        const uint8_t *data, size_t len)
{
    static const struct rp_chain no_chain;

    if (!RpHold_Get(agent->first_packets, flow->caller)) {
        RpHold_Put(agent->first_packets, flow->caller, &no_chain, data, len);
    }
}

void
RpAgent_EnterState(struct rp_agent *agent, struct rp_flow *flow, uint8_t state,
                   int64_t now)
{
    if (state == RP_FLOW_CLOSED && (flow->flags & RP_FLOW_OWNED)) {
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_CLOSED);
    }
    if (!RpAgent_IsCertainOwner(state)) {
        RpHold_Drop(agent->first_packets, flow->caller);
    }
    flow->state = state;
    flow->deadline = state_deadline(agent, state, now);
    set_owned(agent, flow, is_owner_state(state));
    if (!is_owner_state(state)) {
        RpAgent_SetBusy(agent, flow, false);
    }
    if (RpAgent_HasShortTimer(state)) {
        append_timer(&agent->short_timers, flow->caller, flow->deadline);
    }
}

void
RpAgent_RemoveFlow(struct rp_agent *agent, struct rp_flow *flow)
{
    RpHold_Drop(agent->hold, flow->caller);
    RpHold_Drop(agent->first_packets, flow->caller);
    RpAgent_SetBusy(agent, flow, false);
    set_owned(agent, flow, false);
    RpFlowTable_Remove(agent->flows, flow);
}

/* Payload bytes that the host gets: a SYN is delivered without payload. */
static uint32_t
host_payload_len(const struct rp_packet *packet)
{
    return packet->flags & RP_TCP_SYN ? 0 : packet->payload_len;
}

/* The sequence number that follows the segment. */
static uint32_t
segment_end(const struct rp_packet *packet)
{
    return packet->seq + host_payload_len(packet) +
           ((packet->flags & RP_TCP_SYN) ? 1 : 0) +
           ((packet->flags & RP_TCP_FIN) ? 1 : 0);
}

/* Moves `*seq` forward to `to`, never back. */
static void
advance_seq(uint32_t *seq, uint32_t to)
{
    if (RpSeq_Distance(*seq, to) > 0) {
        *seq = to;
    }
}

bool
RpAgent_TrackCaller(struct rp_agent *agent, struct rp_flow *flow,
                    const struct rp_packet *packet, int64_t now)
{
    uint32_t end = segment_end(packet);
    /* False for a retransmission, which begins no request. */
    bool is_new = RpSeq_Distance(flow->caller_next, end) > 0;

    flow->caller_seen = now;
    advance_seq(&flow->caller_next, end);
    if (packet->flags & RP_TCP_ACK) {
        advance_seq(&flow->caller_acked, packet->ack);
    }
    if (!is_new || host_payload_len(packet) == 0 ||
        !(flow->flags & RP_FLOW_OWNED)) {
        return false;
    }
    /* Payload on a busy flow belongs to its outstanding request, unless the
     * slot is only reserved for a request. */
    bool begins_request = !(flow->flags & RP_FLOW_BUSY) ||
                          (flow->flags & RP_FLOW_RESERVED);
    if (begins_request) {
        flow->request_since = now;
        flow->flags |= RP_FLOW_AWAITS_ANSWER;
        flow->flags &= (uint16_t)~RP_FLOW_FOUND_FREE_SLOT;
    }
    RpAgent_SetBusy(agent, flow, true);
    if (begins_request && agent->busy_flows <= agent->config.slots) {
        flow->flags |= RP_FLOW_FOUND_FREE_SLOT;
    }
    flow->flags &= (uint16_t)~RP_FLOW_RESERVED;
    return begins_request;
}

/* Updates the mean service time when the first byte of an answer arrives. Only
 * a request that found a free slot measures the service time directly. */
static void
record_service_time(struct rp_agent *agent, const struct rp_flow *flow,
                    int64_t now)
{
    RpServiceTime_OnAnswer(&agent->service_time, now, agent->busy_flows,
                           agent->config.slots);
    if (flow->flags & RP_FLOW_FOUND_FREE_SLOT) {
        RpServiceTime_AddSample(&agent->service_time,
                                now - flow->request_since);
    }
}

void
RpAgent_TrackHost(struct rp_agent *agent, struct rp_flow *flow,
                  const struct rp_packet *packet, int64_t now)
{
    flow->host_seen = now;
    if (packet->payload_len > 0 && (flow->flags & RP_FLOW_AWAITS_ANSWER)) {
        flow->flags &= (uint16_t)~RP_FLOW_AWAITS_ANSWER;
        RpHealth_RecordSuccess(&agent->request_health, now);
        record_service_time(agent, flow, now);
        RpCounters_AddDuration(agent->counters, RP_HISTOGRAM_FIRST_BYTE,
                               now - flow->request_since);
    }
    if (packet->flags & RP_TCP_SYN) {
        flow->host_isn = packet->seq;
        flow->host_next = packet->seq + 1;
        flow->caller_acked = packet->seq;
        flow->flags |= RP_FLOW_KNOWS_HOST_ISN;
    }
    else {
        advance_seq(&flow->host_next, segment_end(packet));
    }
    if (packet->flags & RP_TCP_ACK) {
        advance_seq(&flow->host_acked, packet->ack);
    }
    /* A sender sets PSH on the last segment of an answer. */
    bool ends_answer = packet->flags & (RP_TCP_PSH | RP_TCP_FIN);
    if (ends_answer && (packet->payload_len || (packet->flags & RP_TCP_FIN))) {
        RpAgent_RecordAnswerTime(flow, now);
        RpAgent_SetBusy(agent, flow, false);
    }
}

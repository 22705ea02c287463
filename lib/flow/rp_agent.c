#include "rp_agent.h"

#include <assert.h>

#include "rp_agent_internal.h"

#define SWEEP_PERIOD_US (100 * RP_US_PER_MS)
#define SWEEP_SHARE 50 /* one call looks at 1/50 of the table */
#define SWEEP_MIN_PLACES 4096
/* A sequence number this far past the first one may have wrapped around. */
#define LATE_CHECK_SPAN (INT32_C(1) << 30)

struct rp_agent *
RpAgent_Create(const struct rp_agent_config *config,
               const struct rp_chart *chart, struct rp_admission *policy,
               struct rp_counters *counters)
{
    struct rp_agent *agent = g_new0(struct rp_agent, 1);

    g_queue_init(&agent->short_timers);
    g_queue_init(&agent->reserves);
    agent->config = *config;
    agent->chart = chart;
    agent->policy = policy;
    agent->counters = counters;
    agent->flows = RpFlowTable_Create(config->seed);
    agent->hold = RpHold_Create();
    RpAgent_GateCreate(agent);
    if (RpHealth_Init(&agent->health, NULL) != RP_OK) {
        RpAgent_Free(agent);
        return NULL;
    }
    agent->retry_cents = RP_RETRY_BURST_CENTS;
    return agent;
}

void
RpAgent_Free(struct rp_agent *agent)
{
    if (!agent) {
        return;
    }
    g_queue_clear_full(&agent->short_timers, g_free);
    g_queue_clear_full(&agent->reserves, g_free);
    RpAgent_GateFree(agent);
    RpFlowTable_Free(agent->flows);
    RpHold_Free(agent->hold);
    g_free(agent->taken);
    RpAdmission_Free(agent->policy);
    g_free(agent);
}

void
RpAgent_SetTable(struct rp_agent *agent, const struct rp_table *table,
                 const struct rp_service *service)
{
    agent->table = table;
    agent->service = service;
    RpAgent_GateConfigure(agent);
}

void
RpAgent_SetDraining(struct rp_agent *agent, bool draining)
{
    agent->draining = draining;
}

/* Starts a call: what the last one's actions pointed to is let go. */
static void
begin(struct rp_agent *agent, struct rp_actions *actions)
{
    actions->count = 0;
    g_free(agent->taken);
    agent->taken = NULL;
}

const struct rp_held *
RpAgent_TakeHeld(struct rp_agent *agent, const struct rp_flow *flow)
{
    assert(!agent->taken);
    agent->taken = RpHold_Take(agent->hold, flow->caller);
    return agent->taken;
}

struct rp_action *
RpAgent_Act(struct rp_agent *agent, struct rp_actions *actions,
            enum rp_action_kind kind, enum rp_counter reason)
{
    assert(actions->count < RP_MAX_ACTIONS);
    struct rp_action *action = &actions->item[actions->count++];
    *action = (struct rp_action){.kind = kind, .reason = reason};
    RpCounters_Add(agent->counters, reason);
    return action;
}

void
RpAgent_Send(struct rp_agent *agent, struct rp_actions *actions,
             enum rp_action_kind kind, enum rp_counter reason,
             const uint8_t *data, size_t len)
{
    struct rp_action *action = RpAgent_Act(agent, actions, kind, reason);

    action->data = data;
    action->len = len;
}

void
RpAgent_SendSegment(struct rp_agent *agent, struct rp_actions *actions,
                    enum rp_action_kind kind, enum rp_counter reason,
                    struct rp_flow_key key, uint8_t flags, uint32_t seq,
                    uint32_t ack)
{
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = RpPacket_MakeSegment(key, flags, seq, ack, scratch);

    RpAgent_Send(agent, actions, kind, reason, scratch, len);
}

void
RpAgent_ResetCaller(struct rp_agent *agent, struct rp_actions *actions,
                    enum rp_counter reason, const struct rp_packet *packet)
{
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = RpPacket_MakeReset(packet, scratch);

    RpAgent_Send(agent, actions, RP_ACTION_TO_CALLER, reason, scratch, len);
}

struct rp_flow_key
RpAgent_CallerKey(const struct rp_agent *agent, struct rp_endpoint caller)
{
    return (struct rp_flow_key){.src_ip = caller.ip,
                                .src_port = caller.port,
                                .dst_ip = agent->service->address.ip,
                                .dst_port = agent->service->address.port};
}

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
        return now + RP_SYN_PATIENCE_US;
    case RP_FLOW_ASKING:
        return now + RP_ASK_PATIENCE_US;
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
push_timer(GQueue *queue, struct rp_endpoint caller, int64_t deadline)
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

void
RpAgent_FillLoad(const struct rp_agent *agent, int64_t now,
                 const struct rp_chain *chain, struct rp_load *load)
{
    struct rp_agent_load mine = RpAgent_Load(agent, now);

    *load = (struct rp_load){.slots = mine.slots,
                             .busy = mine.busy,
                             .flows = mine.flows,
                             .flow_limit = agent->service->flows_per_upstream,
                             .position = chain->visited ? chain->visited - 1u
                                                        : 0,
                             .best_share = chain->best_share,
                             .last = chain->visited >= chain->count};
}

static bool
is_owning(uint8_t state)
{
    return state != RP_FLOW_CLOSED && state != RP_FLOW_REDIRECT &&
           state != RP_FLOW_ASKING;
}

static bool
has_short_timer(uint8_t state)
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
    if (has_short_timer(state)) {
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

void
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
    if (is_new && delivered_payload(packet) > 0 &&
        (flow->flags & RP_FLOW_OWNED)) {
        RpAgent_SetBusy(agent, flow, true);
        flow->flags &= (uint16_t)~RP_FLOW_RESERVED;
    }
}

void
RpAgent_TrackHost(struct rp_agent *agent, struct rp_flow *flow,
                  const struct rp_packet *packet, int64_t now)
{
    flow->host_seen = now;
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

/* Whether a segment is older than the SYN that opened the flow. */
static bool
is_late(const struct rp_flow *flow, const struct rp_packet *packet)
{
    return (flow->flags & RP_FLOW_KNOWS_CALLER_ISN) &&
           RpSeq_Distance(flow->caller_isn, flow->caller_next) <
               LATE_CHECK_SPAN &&
           RpSeq_Distance(flow->caller_isn, packet->seq) < 0;
}

/* Whether the caller acknowledges something that this host did not send. */
static bool
is_alien(const struct rp_flow *flow, const struct rp_packet *packet)
{
    if (flow->state != RP_FLOW_ANSWERED ||
        !(flow->flags & RP_FLOW_KNOWS_HOST_ISN) ||
        !(packet->flags & RP_TCP_ACK)) {
        return false;
    }
    return RpSeq_Distance(flow->host_isn + 1, packet->ack) < 0 ||
           RpSeq_Distance(packet->ack, flow->host_next) < 0;
}

static enum rp_flow_event
classify_syn(const struct rp_flow *flow, const struct rp_packet *packet,
             bool forced)
{
    if (!(flow->flags & RP_FLOW_KNOWS_CALLER_ISN)) {
        return RP_FLOW_EV_REUSE;
    }
    if (packet->seq == flow->caller_isn) {
        bool back = forced && flow->state == RP_FLOW_REDIRECT;
        return back ? RP_FLOW_EV_BACK : RP_FLOW_EV_SYN;
    }
    return is_late(flow, packet) ? RP_FLOW_EV_LATE : RP_FLOW_EV_REUSE;
}

static enum rp_flow_event
classify_caller(const struct rp_flow *flow, const struct rp_packet *packet,
                bool forced)
{
    if (RpPacket_Opens(packet)) {
        return classify_syn(flow, packet, forced);
    }
    if (is_late(flow, packet)) {
        return RP_FLOW_EV_LATE;
    }
    if (is_alien(flow, packet)) {
        return RP_FLOW_EV_ALIEN;
    }
    if (packet->flags & RP_TCP_RST) {
        return RP_FLOW_EV_RST;
    }
    if (flow->state == RP_FLOW_REDIRECT && (flow->flags & RP_FLOW_UNSURE)) {
        return RP_FLOW_EV_UNSURE;
    }
    return packet->flags & RP_TCP_FIN ? RP_FLOW_EV_FIN : RP_FLOW_EV_DATA;
}

static enum rp_flow_event
classify_host(const struct rp_packet *packet)
{
    if (packet->flags & RP_TCP_RST) {
        return RP_FLOW_EV_HRST;
    }
    if (packet->flags & RP_TCP_SYN) {
        return RP_FLOW_EV_SYNACK;
    }
    return packet->flags & RP_TCP_FIN ? RP_FLOW_EV_HFIN : RP_FLOW_EV_HDATA;
}

static void
change_state(struct rp_agent *agent, struct rp_flow *flow, uint8_t next,
             int64_t now)
{
    if (flow->state == next) {
        return;
    }
    if (flow->state == RP_FLOW_OPENING) {
        RpHold_Drop(agent->hold, flow->caller);
    }
    RpAgent_Enter(agent, flow, next, now);
}

/* Gives an owned flow's packet to the host. */
static void
to_host(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
        const struct rp_packet *packet, struct rp_actions *actions)
{
    const uint8_t *data = packet->data;
    size_t len = packet->len;

    RpAgent_TrackCaller(agent, flow, packet, now);
    if (!(packet->flags & (RP_TCP_RST | RP_TCP_SYN)) &&
        RpAgent_GateHolds(agent, now, flow, packet)) {
        return;
    }
    if ((packet->flags & RP_TCP_SYN) && packet->payload_len > 0) {
        uint8_t *scratch = actions->scratch[actions->count];
        len = RpPacket_TrimPayload(packet, scratch);
        data = scratch;
        RpCounters_Add(agent->counters, RP_COUNT_SYN_TRIMMED);
    }
    RpAgent_Send(agent, actions, RP_ACTION_TO_HOST, RP_COUNT_PACKETS_OUT, data,
                 len);
}

static void
apply_caller(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
             const struct rp_packet *packet, const struct rp_chain *chain,
             struct rp_actions *actions)
{
    enum rp_flow_event event = classify_caller(flow, packet, chain->forced);
    struct rp_chart_step step = RpChart_Step(agent->chart, flow->state, event);

    change_state(agent, flow, step.next, now);
    switch ((enum rp_flow_action)step.action) {
    case RP_FLOW_DO_TO_HOST:
        to_host(agent, now, flow, packet, actions);
        break;
    case RP_FLOW_DO_TO_HOST_AND_PASS:
        to_host(agent, now, flow, packet, actions);
        RpAgent_Pass(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_PASS:
        RpAgent_Pass(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_DECIDE:
        RpAgent_Decide(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_RENEW:
        RpAgent_Renew(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_ASK:
        RpAgent_AskAgain(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_YIELD:
        RpAgent_Yield(agent, now, flow, packet, chain, actions);
        break;
    default:
        RpAgent_Act(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_LATE);
    }
}

/* Whether the packet is meant for this agent's service, in its present
 * life, at its address. */
static bool
is_ours(const struct rp_agent *agent, const struct rp_packet *packet,
        const struct rp_geneve *geneve)
{
    const struct rp_service *service = agent->service;

    return geneve->has_tag && geneve->has_chain &&
           geneve->tag.service_id == service->tag.service_id &&
           geneve->tag.incarnation == service->tag.incarnation &&
           packet->key.dst_ip == service->address.ip &&
           packet->key.dst_port == service->address.port;
}

void
RpAgent_FromCaller(struct rp_agent *agent, int64_t now,
                   const struct rp_packet *packet,
                   const struct rp_geneve *geneve, struct rp_actions *actions)
{
    struct rp_endpoint caller = RpFlowKey_Source(packet->key);

    begin(agent, actions);
    if (!agent->service) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_NO_TABLE);
        return;
    }
    if (!is_ours(agent, packet, geneve)) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP,
                    RP_COUNT_DROP_WRONG_SERVICE);
        return;
    }
    struct rp_flow *flow = RpFlowTable_Find(agent->flows, caller);
    if (flow) {
        apply_caller(agent, now, flow, packet, &geneve->chain, actions);
    }
    else if (packet->flags & RP_TCP_RST) {
        RpAgent_Send(agent, actions, RP_ACTION_TO_HOST, RP_COUNT_PACKETS_OUT,
                     packet->data, packet->len);
        RpAgent_Pass(agent, now, NULL, packet, &geneve->chain, actions);
    }
    else if (RpPacket_Opens(packet)) {
        RpAgent_Decide(agent, now, NULL, packet, &geneve->chain, actions);
    }
    else {
        RpAgent_Ask(agent, now, packet, &geneve->chain, actions);
    }
}

static void
to_caller(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
          const struct rp_packet *packet, struct rp_actions *actions)
{
    RpAgent_TrackHost(agent, flow, packet, now);
    RpAgent_Send(agent, actions, RP_ACTION_TO_CALLER, RP_COUNT_PACKETS_OUT,
                 packet->data, packet->len);
}

/* Whether a host's reset answers a segment of another host's flow that was
 * shown to it, and not the flow that it has itself. */
static bool
is_foreign_reset(const struct rp_flow *flow, const struct rp_packet *packet)
{
    if (flow->state == RP_FLOW_OPENING) {
        return !(packet->flags & RP_TCP_ACK);
    }
    if (!(flow->flags & RP_FLOW_KNOWS_HOST_ISN) ||
        (packet->flags & RP_TCP_ACK)) {
        return false;
    }
    bool young = RpSeq_Distance(flow->host_isn, flow->host_next) <
                 LATE_CHECK_SPAN;
    return RpSeq_Distance(packet->seq, flow->host_next) < 0 ||
           (young && RpSeq_Distance(flow->host_isn, packet->seq) < 0);
}

static void
apply_host(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
           const struct rp_packet *packet, struct rp_actions *actions)
{
    enum rp_flow_event event = classify_host(packet);

    if (event == RP_FLOW_EV_HRST && is_foreign_reset(flow, packet)) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_HOST_STRAY);
        return;
    }
    if (flow->state == RP_FLOW_REDIRECT && (flow->flags & RP_FLOW_UNSURE) &&
        event != RP_FLOW_EV_HRST) {
        /* The agent may have forgotten that the flow is its host's, and the
         * host's word counts more than its own redirect. */
        change_state(agent, flow, RP_FLOW_ASKING, now);
    }
    struct rp_chart_step step = RpChart_Step(agent->chart, flow->state, event);
    switch ((enum rp_flow_action)step.action) {
    case RP_FLOW_DO_TO_CALLER:
        if (flow->state == RP_FLOW_OPENING) {
            RpHealth_Answered(&agent->health, now);
        }
        change_state(agent, flow, step.next, now);
        to_caller(agent, now, flow, packet, actions);
        break;
    case RP_FLOW_DO_ADOPT:
        RpAgent_Adopt(agent, flow, step.next, now);
        to_caller(agent, now, flow, packet, actions);
        break;
    case RP_FLOW_DO_RELEASE:
        RpAgent_Release(agent, now, flow, actions);
        break;
    case RP_FLOW_DO_RETRY:
        RpHealth_Failed(&agent->health, now);
        RpAgent_Retry(agent, now, flow, packet, actions);
        break;
    case RP_FLOW_DO_QUASH:
        RpAgent_Quash(agent, flow, packet, actions);
        break;
    default:
        RpAgent_Act(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_HOST_STRAY);
    }
}

void
RpAgent_FromHost(struct rp_agent *agent, int64_t now,
                 const struct rp_packet *packet, struct rp_actions *actions)
{
    struct rp_endpoint caller = RpFlowKey_Target(packet->key);

    begin(agent, actions);
    if (!agent->service) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_NO_TABLE);
        return;
    }
    if (packet->key.src_ip != agent->service->address.ip ||
        packet->key.src_port != agent->service->address.port) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP,
                    RP_COUNT_DROP_WRONG_SERVICE);
        return;
    }
    struct rp_flow *flow = RpFlowTable_Find(agent->flows, caller);
    if (flow) {
        apply_host(agent, now, flow, packet, actions);
    }
    else {
        RpAgent_AdoptFromHost(agent, now, packet, actions);
    }
}

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
        bool due = flow && has_short_timer(flow->state) &&
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
    struct rp_endpoint caller;
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

bool
RpAgent_OnTimer(struct rp_agent *agent, int64_t now,
                struct rp_actions *actions)
{
    begin(agent, actions);
    if (!agent->service) {
        return false;
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

struct rp_agent_load
RpAgent_Load(const struct rp_agent *agent, int64_t now)
{
    const struct rp_agent_config *config = &agent->config;
    uint32_t slots = config->slots;

    int64_t whole = config->ramp_until - config->ramp_from;

    if (whole > 0 && now < config->ramp_until) {
        int64_t part = MAX(now - config->ramp_from, 0);
        slots = (uint32_t)(slots * part / whole);
    }
    return (struct rp_agent_load){
        .slots = MAX(slots, 1), .flows = agent->owned, .busy = agent->busy};
}

uint8_t
RpAgent_FlowState(const struct rp_agent *agent, struct rp_endpoint caller)
{
    const struct rp_flow *flow = RpFlowTable_Find(agent->flows, caller);

    return flow ? flow->state : RP_FLOW_NONE;
}

size_t
RpAgent_Bytes(const struct rp_agent *agent)
{
    return RpFlowTable_Bytes(agent->flows);
}

/* The agent's entry points: creation, state changes, packets from callers
 * and packets from the host. See rp_agent.h. */
#include "rp_agent.h"

#include <assert.h>

#include "rp_agent_internal.h"

struct rp_agent *
RpAgent_Create(const struct rp_agent_config *config,
               const struct rp_chart *chart, struct rp_admission *policy,
               struct rp_counters *counters)
{
    struct rp_agent *agent = g_new0(struct rp_agent, 1);

    g_queue_init(&agent->short_timers);
    g_queue_init(&agent->reservations);
    agent->config = *config;
    if (!agent->config.codec) {
        agent->config.codec = &rp_codec_ipv4;
    }
    if (agent->config.host_answer_timeout == 0) {
        agent->config.host_answer_timeout = RP_HOST_ANSWER_TIMEOUT_US;
    }
    agent->lost_flows = g_array_new(FALSE, FALSE, sizeof(struct rp_flow_key));
    agent->unchecked_flows = g_array_new(FALSE, FALSE,
                                         sizeof(struct rp_flow_key));
    RpLoadAverage_Init(&agent->load_average, config->started);
    agent->chart = chart;
    agent->policy = policy;
    agent->counters = counters;
    agent->flows = RpFlowTable_Create(config->seed);
    agent->hold = RpHold_Create();
    agent->first_packets = RpHold_Create();
    agent->searches = RpOwnerSearch_Create();
    agent->search_targets = g_array_new(FALSE, FALSE,
                                        sizeof(struct rp_endpoint));
    RpAgent_CreateRequestQueue(agent);
    RpColdStart_Init(&agent->cold, config->started);
    if (RpHealth_Init(&agent->health, NULL) != RP_OK ||
        RpHealth_Init(&agent->request_health, NULL) != RP_OK) {
        RpAgent_Free(agent);
        return NULL;
    }
    agent->retry_budget_cents = RP_RETRY_BUDGET_MAX_CENTS;
    return agent;
}

void
RpAgent_Free(struct rp_agent *agent)
{
    if (!agent) {
        return;
    }
    g_queue_clear_full(&agent->short_timers, g_free);
    g_queue_clear_full(&agent->reservations, g_free);
    g_array_free(agent->lost_flows, TRUE);
    g_array_free(agent->unchecked_flows, TRUE);
    RpAgent_FreeRequestQueue(agent);
    RpColdStart_Clear(&agent->cold);
    RpFlowTable_Free(agent->flows);
    RpHold_Free(agent->hold);
    RpHold_Free(agent->first_packets);
    RpOwnerSearch_Free(agent->searches);
    g_array_free(agent->search_targets, TRUE);
    g_free(agent->action_packet);
    RpAdmission_Free(agent->policy);
    g_free(agent);
}

void
RpAgent_SetTable(struct rp_agent *agent, const struct rp_table *table,
                 const struct rp_service *service)
{
    agent->table = table;
    agent->service = service;
    RpAgent_ConfigureRequestQueue(agent);
    /* Without the service, no flow is admitted: its last rate still holds when
     * it returns. */
    if (service) {
        RpColdStart_SetRate(&agent->cold, service->cold_per_1000_s);
    }
}

void
RpAgent_SetDraining(struct rp_agent *agent, bool draining)
{
    agent->draining = draining;
}

void
RpAgent_SetHostState(struct rp_agent *agent, enum rp_host_state state)
{
    agent->host_state = state;
}

void
RpAgent_HostHeard(struct rp_agent *agent, int64_t now)
{
    agent->host_heard_at = now;
}

void
RpAgent_SetHostSlots(struct rp_agent *agent, uint32_t slots)
{
    agent->config.slots = MAX(slots, 1);
    RpAgent_ConfigureRequestQueue(agent);
}

void
RpAgent_SetHostColdUntil(struct rp_agent *agent, int64_t deadline)
{
    RpColdStart_SetColdUntil(&agent->cold, deadline);
}

bool
RpAgent_IsHostLimited(const struct rp_agent *agent, int64_t now)
{
    return RpColdStart_IsLimited(&agent->cold, now);
}

void
RpAgent_SetKnowsAllFlows(struct rp_agent *agent, bool knows)
{
    agent->knows_all_flows = knows;
}

void
RpAgent_SetSeenFromStart(struct rp_agent *agent)
{
    RpColdStart_SetSeenFromStart(&agent->cold);
}

void
RpAgent_HostRestarted(struct rp_agent *agent, int64_t now)
{
    g_array_set_size(agent->unchecked_flows, 0);
    RpFlowTable_CollectFlagged(agent->flows, RP_FLOW_OWNED,
                               agent->unchecked_flows);
    RpHealth_RecordSuccess(&agent->health, now);
    RpHealth_RecordSuccess(&agent->request_health, now);
}

void
RpAgent_HostEnded(struct rp_agent *agent)
{
    g_array_set_size(agent->lost_flows, 0);
    RpFlowTable_CollectFlagged(agent->flows, RP_FLOW_OWNED, agent->lost_flows);
}

void
RpAgent_BeginCall(struct rp_agent *agent, struct rp_actions *actions)
{
    actions->count = 0;
    actions->begins_request = false;
    actions->begins_answer = false;
    g_free(agent->action_packet);
    agent->action_packet = NULL;
}

const struct rp_held_packet *
RpAgent_TakeHeldPacket(struct rp_agent *agent, const struct rp_flow *flow)
{
    assert(!agent->action_packet);
    agent->action_packet = RpHold_Take(agent->hold, flow->caller);
    return agent->action_packet;
}

struct rp_action *
RpAgent_AddAction(struct rp_agent *agent, struct rp_actions *actions,
                  enum rp_action_kind kind, enum rp_counter reason)
{
    assert(actions->count < RP_MAX_ACTIONS);
    struct rp_action *action = &actions->item[actions->count++];
    *action = (struct rp_action){.kind = kind, .reason = reason};
    RpCounters_Add(agent->counters, reason);
    return action;
}

void
RpAgent_AddSendAction(struct rp_agent *agent, struct rp_actions *actions,
                      enum rp_action_kind kind, enum rp_counter reason,
                      const uint8_t *data, size_t len)
{
    struct rp_action *action = RpAgent_AddAction(agent, actions, kind, reason);

    action->data = data;
    action->len = len;
}

void
RpAgent_AddSegmentAction(struct rp_agent *agent, struct rp_actions *actions,
                         enum rp_action_kind kind, enum rp_counter reason,
                         struct rp_flow_key key, uint8_t flags, uint32_t seq,
                         uint32_t ack)
{
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = agent->config.codec->ops->make_segment(key, flags, seq, ack,
                                                        scratch);

    RpAgent_AddSendAction(agent, actions, kind, reason, scratch, len);
}

void
RpAgent_ResetCaller(struct rp_agent *agent, struct rp_actions *actions,
                    enum rp_counter reason, const struct rp_packet *packet)
{
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = agent->config.codec->ops->make_reset(packet, scratch);

    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_CALLER, reason, scratch,
                          len);
}

void
RpAgent_ResetLostFlow(struct rp_agent *agent, int64_t now,
                      struct rp_flow *flow, struct rp_actions *actions)
{
    const struct rp_packet last = {.key = flow->caller,
                                   .flags = RP_TCP_ACK,
                                   .seq = flow->caller_next,
                                   .ack = flow->caller_acked};

    RpAgent_EnterState(agent, flow, RP_FLOW_CLOSED, now);
    RpAgent_ResetCaller(agent, actions, RP_COUNT_RESET_HOST_LOST, &last);
}

/* Enters the state `next` if it differs from the current one. A flow that
 * leaves RP_FLOW_SYN_SENT no longer needs the copy of its SYN. */
static void
change_state(struct rp_agent *agent, struct rp_flow *flow, uint8_t next,
             int64_t now)
{
    if (flow->state == next) {
        return;
    }
    if (flow->state == RP_FLOW_SYN_SENT) {
        RpHold_Drop(agent->hold, flow->caller);
    }
    RpAgent_EnterState(agent, flow, next, now);
}

/* Records that a SYN of a known flow may open a flow at the host. Returns
 * false if the host must not get it now; the caller repeats it. */
static bool
record_opening(struct rp_agent *agent, int64_t now, const struct rp_flow *flow,
               const struct rp_packet *packet)
{
    /* The host has answered this SYN: it repeats its answer. */
    if (flow->state != RP_FLOW_SYN_SENT &&
        (flow->flags & RP_FLOW_KNOWS_HOST_ISN) &&
        (flow->flags & RP_FLOW_KNOWS_CALLER_ISN) &&
        packet->seq == flow->caller_isn) {
        return true;
    }
    if (!RpColdStart_Allows(&agent->cold, now)) {
        return false;
    }
    RpColdStart_Record(&agent->cold, now);
    return true;
}

/* Sends a caller's packet to the host, or queues it if its request must wait
 * for a slot. A SYN is sent without its payload. */
static void
forward_to_host(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                const struct rp_packet *packet, struct rp_actions *actions)
{
    const uint8_t *data = packet->data;
    size_t len = packet->len;

    if ((packet->flags & RP_TCP_SYN) &&
        !record_opening(agent, now, flow, packet)) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_COLD);
        return;
    }
    actions->begins_request = RpAgent_TrackCaller(agent, flow, packet, now);
    if (!(packet->flags & (RP_TCP_RST | RP_TCP_SYN)) &&
        RpAgent_DeferPacket(agent, now, flow, packet)) {
        return;
    }
    if ((packet->flags & RP_TCP_SYN) && packet->payload_len > 0) {
        uint8_t *scratch = actions->scratch[actions->count];
        len = agent->config.codec->ops->trim_payload(packet, scratch);
        data = scratch;
        RpCounters_Add(agent->counters, RP_COUNT_SYN_TRIMMED);
    }
    if (RpAgent_IsCertainOwner(flow->state)) {
        RpAgent_KeepFirstPacket(agent, flow, data, len);
    }
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_HOST,
                          RP_COUNT_PACKETS_OUT, data, len);
}

/* Whether a presumed flow must be queried again: the host got the flow's last
 * packet a while ago and has not been heard since. */
static bool
is_presumption_outdated(const struct rp_agent *agent, int64_t now,
                        const struct rp_flow *flow)
{
    return flow->state == RP_FLOW_PRESUMED_OWNED &&
           agent->host_heard_at <= flow->caller_seen &&
           now >= flow->caller_seen + agent->config.host_answer_timeout;
}

/* Looks up a caller's packet in the flow chart and performs the action. */
static void
handle_caller_packet(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                     const struct rp_packet *packet,
                     const struct rp_chain *chain, struct rp_actions *actions)
{
    enum rp_flow_event event = RpAgent_ClassifyCaller(flow, packet,
                                                      chain->forced);
    if ((event == RP_FLOW_EV_DATA || event == RP_FLOW_EV_FIN) &&
        is_presumption_outdated(agent, now, flow)) {
        event = RP_FLOW_EV_MAYBE_OWNED;
    }
    struct rp_chart_step step = RpChart_Step(agent->chart, flow->state, event);

    if (event == RP_FLOW_EV_RST || event == RP_FLOW_EV_FIN) {
        RpAgent_RecordRequestAbandoned(agent, flow, now);
    }
    change_state(agent, flow, step.next, now);
    switch ((enum rp_flow_action)step.action) {
    case RP_FLOW_DO_TO_HOST:
        forward_to_host(agent, now, flow, packet, actions);
        RpAgent_HintOwner(agent, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_TO_HOST_AND_NEXT_AGENT:
        /* In formats where the host returns packets of unknown flows, it
         * does not need to see a reset of a flow that another agent is known
         * to own. */
        if (RpAgent_CanMakeSegments(agent) ||
            flow->state != RP_FLOW_REDIRECTED) {
            forward_to_host(agent, now, flow, packet, actions);
        }
        RpAgent_ForwardToNextAgent(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_TO_NEXT_AGENT:
        RpAgent_ForwardToNextAgent(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_DECIDE_ADMISSION:
        RpAgent_DecideAdmission(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_RESTART_FLOW:
        RpAgent_RestartFlow(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_QUERY_HOST:
        RpAgent_QueryHostForFlow(agent, now, flow, packet, chain, actions);
        break;
    case RP_FLOW_DO_YIELD_TO_NEXT_AGENT:
        RpAgent_YieldToNextAgent(agent, now, flow, packet, chain, actions);
        break;
    default:
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_LATE);
    }
}

/* Whether `address` is an address of the service. A service without an
 * address of its own (port 0) accepts any: its virtual addresses change more
 * often than agents receive tables, so the balancer's tag decides. */
static bool
is_service_address(const struct rp_service *service,
                   struct rp_endpoint address)
{
    return service->address.port == 0 ||
           RpEndpoint_Equal(service->address, address);
}

/* Whether the packet's tag names this agent's service and its current
 * incarnation, and its destination is an address of that service. */
static bool
is_for_own_service(const struct rp_agent *agent,
                   const struct rp_packet *packet,
                   const struct rp_geneve *geneve)
{
    const struct rp_service *service = agent->service;

    return geneve->has_tag && geneve->has_chain &&
           geneve->tag.service_id == service->tag.service_id &&
           geneve->tag.incarnation == service->tag.incarnation &&
           is_service_address(service, RpFlowKey_Destination(packet->key));
}

void
RpAgent_FromCaller(struct rp_agent *agent, int64_t now,
                   const struct rp_packet *packet,
                   const struct rp_geneve *geneve, struct rp_actions *actions)
{
    struct rp_flow_key caller = packet->key;

    RpAgent_BeginCall(agent, actions);
    RpAgent_AccountLoad(agent, now);
    if (!agent->service) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_NO_TABLE);
        return;
    }
    if (!is_for_own_service(agent, packet, geneve)) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_WRONG_SERVICE);
        return;
    }
    struct rp_flow *flow = RpFlowTable_Find(agent->flows, caller);
    if (flow) {
        handle_caller_packet(agent, now, flow, packet, &geneve->chain,
                             actions);
    }
    else if (RpPacket_Opens(packet)) {
        RpAgent_DecideAdmission(agent, now, NULL, packet, &geneve->chain,
                                actions);
    }
    else if (agent->knows_all_flows) {
        RpAgent_ForwardToNextAgent(agent, now, NULL, packet, &geneve->chain,
                                   actions);
    }
    else if (packet->flags & RP_TCP_RST) {
        /* A host does not answer a reset, so the agent cannot query it with
         * this packet: the reset goes to the host and to the next agent. */
        RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_HOST,
                              RP_COUNT_PACKETS_OUT, packet->data, packet->len);
        RpAgent_ForwardToNextAgent(agent, now, NULL, packet, &geneve->chain,
                                   actions);
    }
    else {
        RpAgent_QueryHost(agent, now, packet, &geneve->chain, actions);
    }
    if (RpPacket_Opens(packet)) {
        RpAgent_NoteLoad(agent, now, &geneve->chain, actions);
    }
}

/* Sends the host's packet to the caller. */
static void
forward_to_caller(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                  const struct rp_packet *packet, struct rp_actions *actions)
{
    actions->begins_answer = packet->payload_len > 0 &&
                             (flow->flags & RP_FLOW_AWAITS_ANSWER);
    actions->answer_us = now - flow->request_since;
    RpAgent_TrackHost(agent, flow, packet, now);
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_CALLER,
                          RP_COUNT_PACKETS_OUT, packet->data, packet->len);
}

/* Looks up a host's packet in the flow chart and performs the action. */
static void
handle_host_packet(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                   const struct rp_packet *packet, struct rp_actions *actions)
{
    static const struct rp_chain no_chain = {
        .lowest_utilisation = RP_CHAIN_NO_UTILISATION};
    enum rp_flow_event event = RpAgent_ClassifyHost(packet);

    if (event == RP_FLOW_EV_HOST_RST && RpAgent_IsForeignReset(flow, packet)) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_HOST_STRAY);
        return;
    }
    if (RpAgent_IsLateHostPacket(flow, packet)) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_HOST_STRAY);
        return;
    }
    if (event == RP_FLOW_EV_HOST_SYNACK &&
        RpAgent_IsForeignSynAck(flow, packet)) {
        RpAgent_ReleaseToNextAgent(agent, now, flow, actions);
        return;
    }
    if (flow->state == RP_FLOW_REDIRECTED &&
        (flow->flags & RP_FLOW_MAYBE_AT_HOST) &&
        event != RP_FLOW_EV_HOST_RST && event != RP_FLOW_EV_HOST_RETURNED) {
        /* This agent may have lost the entry of a flow that its host serves.
         * A packet from the host proves ownership, so it overrides the
         * redirect. */
        change_state(agent, flow, RP_FLOW_QUERYING_HOST, now);
    }
    if (event == RP_FLOW_EV_HOST_RST) {
        RpAgent_RecordRequestReset(agent, flow, now);
    }
    struct rp_chart_step step = RpChart_Step(agent->chart, flow->state, event);
    switch ((enum rp_flow_action)step.action) {
    case RP_FLOW_DO_TO_CALLER:
        if (flow->state == RP_FLOW_SYN_SENT) {
            RpHealth_RecordSuccess(&agent->health, now);
            RpCounters_AddDuration(agent->counters, RP_HISTOGRAM_SYN_ANSWER,
                                   now - flow->host_seen);
        }
        change_state(agent, flow, step.next, now);
        forward_to_caller(agent, now, flow, packet, actions);
        break;
    case RP_FLOW_DO_TAKE_OWNERSHIP:
        RpAgent_ConfirmOwnership(agent, flow, step.next, now, actions);
        forward_to_caller(agent, now, flow, packet, actions);
        break;
    case RP_FLOW_DO_RELEASE_TO_NEXT_AGENT:
        RpAgent_ReleaseToNextAgent(agent, now, flow, actions);
        break;
    case RP_FLOW_DO_RETRY_SYN:
        RpHealth_RecordFailure(&agent->health, now);
        RpAgent_RetrySyn(agent, now, flow, packet, actions);
        break;
    case RP_FLOW_DO_RESET_CALLER:
        RpAgent_ResetLostFlow(agent, now, flow, actions);
        break;
    case RP_FLOW_DO_TO_NEXT_AGENT:
        RpAgent_ForwardToNextAgent(agent, now, flow, packet, &no_chain,
                                   actions);
        break;
    case RP_FLOW_DO_RESET_HOST:
        RpAgent_ResetHost(agent, flow, packet, actions);
        break;
    default:
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_HOST_STRAY);
    }
}

/* Handles a host's packet while the agent has no table, as just after its
 * start. Answers go to their callers without delay. */
static void
forward_without_table(struct rp_agent *agent, const struct rp_packet *packet,
                      struct rp_actions *actions)
{
    if (packet->returned) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_NO_TABLE);
        return;
    }
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_CALLER,
                          RP_COUNT_PACKETS_OUT, packet->data, packet->len);
}

void
RpAgent_FromHost(struct rp_agent *agent, int64_t now,
                 const struct rp_packet *packet, struct rp_actions *actions)
{
    struct rp_flow_key caller = packet->returned
                                    ? packet->key
                                    : RpFlowKey_Reverse(packet->key);

    RpAgent_BeginCall(agent, actions);
    RpAgent_AccountLoad(agent, now);
    RpAgent_HostHeard(agent, now);
    if (packet->returned) {
        RpCounters_Add(agent->counters, RP_COUNT_HOST_GAVE_BACK);
    }
    if (packet->returned && (packet->flags & RP_TCP_RST)) {
        /* The agent already forwarded this reset to the next agent when it
         * sent it to the host. Forwarding it again would create a loop. */
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_HOST_STRAY);
        return;
    }
    if (!agent->service) {
        forward_without_table(agent, packet, actions);
        return;
    }
    if (!is_service_address(agent->service, RpFlowKey_Destination(caller))) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_WRONG_SERVICE);
        return;
    }
    struct rp_flow *flow = RpFlowTable_Find(agent->flows, caller);
    if (flow) {
        handle_host_packet(agent, now, flow, packet, actions);
    }
    else {
        RpAgent_LearnFlowFromHost(agent, now, packet, actions);
    }
}

/* Whether every candidate that is left in the chain is in an evacuated data
 * centre. */
static bool
has_no_candidate_left(const struct rp_agent *agent,
                      const struct rp_chain *chain)
{
    for (uint8_t i = chain->visited; i < chain->count; i++) {
        if (!RpAgent_IsEvacuatedHop(agent, chain->hop[i])) {
            return false;
        }
    }
    return true;
}

/* Returns the chain's lowest utilisation, unless the candidate that it is of
 * has been evacuated since. */
static uint8_t
get_lowest_utilisation(const struct rp_agent *agent,
                       const struct rp_chain *chain)
{
    bool is_usable = chain->lowest_utilisation != RP_CHAIN_NO_UTILISATION &&
                     chain->best < chain->count &&
                     !RpAgent_IsEvacuatedHop(agent, chain->hop[chain->best]);

    return is_usable ? chain->lowest_utilisation : RP_CHAIN_NO_UTILISATION;
}

void
RpAgent_FillLoad(const struct rp_agent *agent, int64_t now,
                 struct rp_endpoint address, const struct rp_chain *chain,
                 struct rp_load *load)
{
    struct rp_agent_load own = RpAgent_Load(agent, now);

    const struct rp_vip *vip = RpTable_FindVip(agent->table, address);

    *load = (struct rp_load){
        .slots = own.slots,
        .busy = own.busy,
        .flows = own.flows,
        .flow_limit = agent->service->flows_per_upstream,
        .position = chain->visited ? chain->visited - 1u : 0,
        .lowest_utilisation = get_lowest_utilisation(agent, chain),
        .last = has_no_candidate_left(agent, chain),
        .service_time_us = (uint32_t)MIN(agent->service_time.mean_us,
                                         UINT32_MAX)};
    if (vip) {
        load->priority = vip->priority;
        load->target_us = (uint32_t)MIN(vip->target_ms * RP_US_PER_MS,
                                        UINT32_MAX);
    }
}

struct rp_agent_load
RpAgent_Load(const struct rp_agent *agent, int64_t now)
{
    const struct rp_agent_config *config = &agent->config;
    uint32_t slots = config->slots;

    int64_t ramp_length = config->ramp_until - config->ramp_from;

    if (ramp_length > 0 && now < config->ramp_until) {
        int64_t elapsed = MAX(now - config->ramp_from, 0);
        slots = (uint32_t)(slots * elapsed / ramp_length);
    }
    return (struct rp_agent_load){.slots = MAX(slots, 1),
                                  .flows = agent->owned_flows,
                                  .busy = agent->busy_flows};
}

uint8_t
RpAgent_FlowState(const struct rp_agent *agent, struct rp_flow_key caller)
{
    const struct rp_flow *flow = RpFlowTable_Find(agent->flows, caller);

    return flow ? flow->state : RP_FLOW_NONE;
}

size_t
RpAgent_TableBytes(const struct rp_agent *agent)
{
    return RpFlowTable_Bytes(agent->flows);
}

/* SYNs and forwarded packets: admission of new flows, retries at the next
 * candidate, and half-open flows that the caller opened with another host. */
#include <string.h>

#include "rp_agent_internal.h"

#define CENTS_PER_RETRY 100 /* the budget is in hundredths of a retry */

/* Copies a SYN without its payload and returns the copy's size. A SYN never
 * delivers payload to a host, because the flow may still move to another
 * host; the caller repeats the payload after the SYN-ACK. */
static size_t
copy_syn_without_payload(struct rp_agent *agent,
                         const struct rp_packet *packet,
                         uint8_t out[RP_SCRATCH_SIZE])
{
    if (packet->payload_len > 0) {
        RpCounters_Add(agent->counters, RP_COUNT_SYN_TRIMMED);
        return agent->config.codec->ops->trim_payload(packet, out);
    }
    memcpy(out, packet->data, packet->len);
    return packet->len;
}

/* Adds an action that sends `data` to the agent at `next`. */
static void
add_forward_action(struct rp_agent *agent, struct rp_actions *actions,
                   enum rp_counter reason, const uint8_t *data, size_t len,
                   const struct rp_chain *chain, struct rp_endpoint next)
{
    struct rp_action *action = RpAgent_AddAction(
        agent, actions, RP_ACTION_TO_NEXT_AGENT, reason);

    action->data = data;
    action->len = len;
    action->chain = *chain;
    action->next = next;
    action->tag = agent->service->tag;
    if (chain->visited > 0) {
        action->tag = RpChain_HopTag(chain, chain->visited - 1u, action->tag);
    }
}

/* Marks an entry that was made from a SYN as unsure, if this agent may have
 * lost the entry of a flow that it admitted before: within RP_SYN_LIFETIME_US
 * of its start the SYN may be a copy of the one that opened that flow. */
static void
mark_if_unsure(const struct rp_agent *agent, struct rp_flow *flow, int64_t now)
{
    if (!agent->knows_all_flows &&
        now < agent->config.started + RP_SYN_LIFETIME_US) {
        flow->flags |= RP_FLOW_MAYBE_AT_HOST;
    }
}

/* Records that another agent, reached through `next`, handles the flow. */
static void
redirect_flow(struct rp_agent *agent, struct rp_flow *flow,
              struct rp_endpoint next, int64_t now)
{
    RpAgent_EnterState(agent, flow, RP_FLOW_REDIRECTED, now);
    flow->next_hop = next;
    mark_if_unsure(agent, flow, now);
}

/* Decides about a new flow for which a cold host has no place now. The host
 * counts as the busiest of all candidates. */
static enum rp_decision
decide_without_place(struct rp_agent *agent, const struct rp_chain *chain,
                     struct rp_load *load, enum rp_counter *reason)
{
    if (load->last && !chain->forced &&
        chain->lowest_utilisation != RP_CHAIN_NO_UTILISATION) {
        load->busy = load->slots * RP_UTILISATION_MAX;
        enum rp_decision decision = RpAdmission_Decide(agent->policy, load,
                                                       reason);
        if (decision != RP_DECISION_ADMIT) {
            return decision;
        }
    }
    *reason = RP_COUNT_PASS_COLD;
    return RP_DECISION_PASS_ON;
}

/* Decides whether this agent takes a new flow; `*reason` is the counter of
 * the decision. */
static enum rp_decision
get_admission_decision(struct rp_agent *agent, int64_t now,
                       const struct rp_packet *packet,
                       const struct rp_chain *chain, enum rp_counter *reason)
{
    struct rp_load load;

    if (agent->draining || agent->host_state == RP_HOST_DRAINING ||
        agent->host_state == RP_HOST_GONE) {
        *reason = RP_COUNT_PASS_DRAINING;
        return RP_DECISION_PASS_ON;
    }
    if (RpTable_IsEvacuated(agent->table, &agent->config.zone)) {
        *reason = RP_COUNT_PASS_EVACUATED;
        return RP_DECISION_PASS_ON;
    }
    if (agent->host_state == RP_HOST_UNKNOWN) {
        *reason = RP_COUNT_PASS_HOST_UNKNOWN;
        return RP_DECISION_PASS_ON;
    }
    RpAgent_FillLoad(agent, now, RpFlowKey_Destination(packet->key), chain,
                     &load);
    load.waited_us = packet->waited_us;
    if (!RpColdStart_Allows(&agent->cold, now)) {
        return decide_without_place(agent, chain, &load, reason);
    }
    bool is_healthy = RpHealth_AllowsNewFlow(&agent->health, now) &&
                      RpHealth_AllowsNewFlow(&agent->request_health, now);
    if (!load.last && !is_healthy) {
        *reason = RP_COUNT_PASS_UNHEALTHY;
        return RP_DECISION_PASS_ON;
    }
    /* The last candidate of an unhealthy host leaves the flow to a busy one,
     * and takes it if there is none. */
    load.unhealthy = !is_healthy &&
                     chain->lowest_utilisation != RP_CHAIN_NO_UTILISATION;
    /* The last candidate sent the SYN back: this agent is the least busy. */
    if (chain->forced && load.flows < load.flow_limit) {
        *reason = RP_COUNT_FLOW_ADMITTED_LAST;
        return RP_DECISION_ADMIT;
    }
    return RpAdmission_Decide(agent->policy, &load, reason);
}

/* Returns `flow`, or a new entry if it is NULL; NULL if the table is full. */
static struct rp_flow *
find_or_insert_entry(struct rp_agent *agent, struct rp_flow *flow,
                     struct rp_flow_key caller)
{
    if (flow) {
        return flow;
    }
    if (RpFlowTable_Count(agent->flows) >= RP_AGENT_MAX_ENTRIES) {
        return NULL;
    }
    return RpFlowTable_Insert(agent->flows, caller);
}

/* Resets the entry for the flow that this SYN opens. Only the flags that the
 * counts of owned flows and busy slots depend on are kept. */
static void
init_flow_from_syn(struct rp_flow *flow, const struct rp_packet *packet,
                   int64_t now)
{
    flow->flags &= RP_FLOW_OWNED | RP_FLOW_BUSY | RP_FLOW_RESERVED;
    flow->flags |= RP_FLOW_KNOWS_CALLER_ISN;
    flow->caller_isn = packet->seq;
    flow->caller_next = packet->seq + 1;
    flow->host_acked = packet->seq;
    flow->host_isn = 0;
    flow->host_next = 0;
    flow->caller_acked = 0;
    flow->caller_seen = now;
    flow->host_seen = now;
}

/* Records this agent in the chain as the least busy candidate so far, if it
 * is: the candidates after it decide by the lowest utilisation. */
static void
record_utilisation(struct rp_agent *agent, int64_t now,
                   struct rp_endpoint address, struct rp_chain *chain)
{
    struct rp_load load;

    RpAgent_FillLoad(agent, now, address, chain, &load);
    uint8_t utilisation = RpLoad_Utilisation(&load);
    if (chain->visited > 0 && utilisation < load.lowest_utilisation) {
        chain->lowest_utilisation = utilisation;
        chain->best = chain->visited - 1;
    }
}

/* Chooses the agent to which a SYN is forwarded: the least busy of the earlier
 * candidates if `reason` is RP_COUNT_PASS_BACK, else the next candidate, to
 * which it advances the chain. Returns false if no candidate is left. */
static bool
choose_next_for_syn(struct rp_agent *agent, int64_t now,
                    struct rp_chain *chain, struct rp_flow_key caller,
                    enum rp_counter reason, struct rp_endpoint *next)
{
    if (reason == RP_COUNT_PASS_BACK) {
        *next = chain->hop[chain->best];
        chain->forced = true;
        return true;
    }
    chain->forced = false;
    if (reason == RP_COUNT_PASS_BUSY) {
        record_utilisation(agent, now, RpFlowKey_Destination(caller), chain);
    }
    return RpAgent_NextHop(agent, chain, caller, true, next);
}

/* Refuses a new flow with a reset and removes its entry. A repeated SYN is
 * dropped instead: another agent may just have admitted an earlier copy, and
 * that flow must not be reset. */
static void
refuse_syn(struct rp_agent *agent, struct rp_flow *flow,
           const struct rp_packet *packet, enum rp_counter reason,
           struct rp_actions *actions)
{
    if (packet->syn_retransmits > 0) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP, reason);
    }
    else {
        RpAgent_ResetCaller(agent, actions, reason, packet);
    }
    if (flow) {
        RpAgent_RemoveFlow(agent, flow);
    }
}

/* Forwards a SYN to the next candidate, or refuses the flow if there is
 * none. `reason` is why this agent does not take the flow. */
static void
forward_syn(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
            const struct rp_packet *packet, const struct rp_chain *chain,
            enum rp_counter reason, struct rp_actions *actions)
{
    struct rp_flow_key caller = packet->key;
    struct rp_chain next_chain = *chain;
    struct rp_endpoint next;

    if (!choose_next_for_syn(agent, now, &next_chain, caller, reason, &next)) {
        RpCounters_Add(agent->counters, reason);
        refuse_syn(agent, flow, packet,
                   reason == RP_COUNT_PASS_COLD ? RP_COUNT_REFUSED_COLD
                                                : RP_COUNT_REFUSED_ALL,
                   actions);
        return;
    }
    flow = find_or_insert_entry(agent, flow, caller);
    if (flow) {
        init_flow_from_syn(flow, packet, now);
        redirect_flow(agent, flow, next, now);
    }
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = copy_syn_without_payload(agent, packet, scratch);
    add_forward_action(agent, actions, reason, scratch, len, &next_chain,
                       next);
}

/* Admits a flow: sends the SYN to the host, reserves a slot and keeps a copy
 * of the SYN for a retry at another candidate. */
static void
send_syn_to_host(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                 const struct rp_packet *packet, const struct rp_chain *chain,
                 enum rp_counter reason, struct rp_actions *actions)
{
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = copy_syn_without_payload(agent, packet, scratch);

    init_flow_from_syn(flow, packet, now);
    RpAgent_EnterState(agent, flow, RP_FLOW_SYN_SENT, now);
    RpAgent_ReserveSlot(agent, flow, now);
    RpHold_Put(agent->hold, flow->caller, chain, scratch, len);
    RpColdStart_Record(&agent->cold, now);
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_HOST, reason, scratch,
                          len);
}

/* Adds to the retry budget for an admitted flow: the service allows
 * `retries_percent` retries per 100 of them. */
static void
add_to_retry_budget(struct rp_agent *agent)
{
    agent->retry_budget_cents += (int32_t)agent->service->retries_percent;
    agent->retry_budget_cents = MIN(agent->retry_budget_cents,
                                    RP_RETRY_BUDGET_MAX_CENTS);
}

void
RpAgent_DecideAdmission(struct rp_agent *agent, int64_t now,
                        struct rp_flow *flow, const struct rp_packet *packet,
                        const struct rp_chain *chain,
                        struct rp_actions *actions)
{
    enum rp_counter reason;
    enum rp_decision decision = get_admission_decision(agent, now, packet,
                                                       chain, &reason);

    if (decision == RP_DECISION_REFUSE) {
        refuse_syn(agent, flow, packet, reason, actions);
        return;
    }
    if (decision != RP_DECISION_ADMIT) {
        forward_syn(agent, now, flow, packet, chain, reason, actions);
        return;
    }
    flow = find_or_insert_entry(agent, flow, packet->key);
    if (!flow) {
        forward_syn(agent, now, NULL, packet, chain, RP_COUNT_PASS_FLOW_LIMIT,
                    actions);
        return;
    }
    add_to_retry_budget(agent);
    send_syn_to_host(agent, now, flow, packet, chain, reason, actions);
}

void
RpAgent_RestartFlow(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                    const struct rp_packet *packet,
                    const struct rp_chain *chain, struct rp_actions *actions)
{
    if (RpTable_IsEvacuated(agent->table, &agent->config.zone) ||
        !RpColdStart_Allows(&agent->cold, now)) {
        RpHold_Drop(agent->hold, flow->caller);
        RpAgent_DecideAdmission(agent, now, flow, packet, chain, actions);
        return;
    }
    send_syn_to_host(agent, now, flow, packet, chain, RP_COUNT_FLOW_ADMITTED,
                     actions);
}

/* Takes one retry from the budget; false if less than one is left. */
static bool
take_from_retry_budget(struct rp_agent *agent)
{
    if (agent->retry_budget_cents < CENTS_PER_RETRY) {
        RpCounters_Add(agent->counters, RP_COUNT_RETRY_BUDGET_SPENT);
        return false;
    }
    agent->retry_budget_cents -= CENTS_PER_RETRY;
    return true;
}

/* Sends the host's refusal to the caller when no other candidate can take
 * the flow. The refusal is correct, as no host has received payload. */
static void
deliver_refusal(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                const struct rp_packet *refusal, struct rp_actions *actions)
{
    if (refusal->returned) {
        refuse_syn(agent, flow, refusal, RP_COUNT_REFUSED_ALL, actions);
        return;
    }
    RpAgent_EnterState(agent, flow, RP_FLOW_CLOSED, now);
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_CALLER,
                          RP_COUNT_REFUSED_ALL, refusal->data, refusal->len);
}

void
RpAgent_RetrySyn(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                 const struct rp_packet *refusal, struct rp_actions *actions)
{
    const struct rp_held_packet *held = RpAgent_TakeHeldPacket(agent, flow);
    struct rp_chain next_chain = held ? held->chain : (struct rp_chain){0};
    struct rp_endpoint next;
    bool can_retry = held &&
                     RpAgent_NextHop(agent, &next_chain, flow->caller, true,
                                     &next) &&
                     take_from_retry_budget(agent);

    if (can_retry) {
        redirect_flow(agent, flow, next, now);
        add_forward_action(agent, actions,
                           refusal ? RP_COUNT_RETRY_HOST_REFUSED
                                   : RP_COUNT_RETRY_HOST_SILENT,
                           held->data, held->len, &next_chain, next);
    }
    else if (refusal) {
        deliver_refusal(agent, now, flow, refusal, actions);
    }
    else if (held) {
        /* No other candidate or no retry budget is left: wait for the host,
         * and for the caller to repeat its SYN. The host's answer may be lost
         * and an earlier one have reached the caller. */
        flow->deadline = now + RP_HANDSHAKE_TIMEOUT_US;
        mark_if_unsure(agent, flow, now);
    }
    else {
        /* The SYN was not kept, or this timer ends the wait above. */
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_EXPIRED);
        RpAgent_RemoveFlow(agent, flow);
    }
}

void
RpAgent_YieldToNextAgent(struct rp_agent *agent, int64_t now,
                         struct rp_flow *flow, const struct rp_packet *packet,
                         const struct rp_chain *chain,
                         struct rp_actions *actions)
{
    struct rp_flow_key key = flow->caller;

    if (RpAgent_CanMakeSegments(agent)) {
        RpAgent_AddSegmentAction(agent, actions, RP_ACTION_TO_HOST,
                                 RP_COUNT_FLOW_YIELDED, key, RP_TCP_RST,
                                 flow->caller_isn + 1, 0);
    }
    else {
        /* No reset can be made in this format. The host drops its half-open
         * connection when its own timeout ends. */
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_YIELDED);
        /* If the SYN may be an old copy, its answer may be one, too: the host
         * may have sent what the caller acknowledges before this agent's
         * start. */
        mark_if_unsure(agent, flow, flow->caller_seen);
    }
    flow->next_hop = (struct rp_endpoint){0};
    RpAgent_ForwardToNextAgent(agent, now, flow, packet, chain, actions);
}

void
RpAgent_ResetHost(struct rp_agent *agent, struct rp_flow *flow,
                  const struct rp_packet *packet, struct rp_actions *actions)
{
    struct rp_flow_key key = flow->caller;

    if (!RpAgent_CanMakeSegments(agent)) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_SYN_LATE_ANSWER);
        return;
    }
    RpAgent_AddSegmentAction(agent, actions, RP_ACTION_TO_HOST,
                             RP_COUNT_SYN_LATE_ANSWER, key, RP_TCP_RST,
                             packet->ack, 0);
}

/* Forwards a packet whose owner is not among this service's agents to the
 * next service behind the same virtual address. When the weights of the
 * services change, open flows stay at the service that had them. A packet is
 * forwarded like this once: `forced` in its chain marks that. Returns false
 * if there is no such service. */
static bool
forward_to_sibling(struct rp_agent *agent, const struct rp_packet *packet,
                   const struct rp_chain *chain, struct rp_actions *actions)
{
    const struct rp_vip *vip = RpTable_FindVip(
        agent->table, RpFlowKey_Destination(packet->key));
    uint64_t hash = RpTable_HashFlow(agent->table, packet->key);

    for (size_t i = 0; vip && !chain->forced && i < vip->count; i++) {
        const struct rp_service *service = RpTable_FindById(
            agent->table, vip->targets[i].service_id);
        const struct rp_member *candidates[RP_MAX_CHAIN];
        struct rp_chain sibling_chain = {
            .lowest_utilisation = RP_CHAIN_NO_UTILISATION,
            .forced = true,
            .visited = 1,
            .origin = chain->origin};
        if (!service || service == agent->service) {
            continue;
        }
        size_t count = RpService_RankMembers(service, hash, RP_MEMBERS_SERVING,
                                             candidates,
                                             RP_ROUTE_MAX_CANDIDATES);
        for (size_t j = 0; j < count; j++) {
            RpChain_Append(&sibling_chain, candidates[j]->agent);
        }
        if (count > 0) {
            add_forward_action(agent, actions, RP_COUNT_PASS_SIBLING,
                               packet->data, packet->len, &sibling_chain,
                               sibling_chain.hop[0]);
            actions->item[actions->count - 1].tag = service->tag;
            return true;
        }
    }
    return false;
}

/* Handles a packet of an open flow when no agent is left that may own it.
 * Tables can differ for a while, so the caller of a flow that has an entry is
 * reset only after RP_OWNER_SEARCH_TIMEOUT_US without an owner. */
static void
handle_missing_owner(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                     const struct rp_packet *packet,
                     const struct rp_chain *chain, struct rp_actions *actions)
{
    /* Where segments can be made, a search over time takes the place of one
     * that asks every agent. */
    if (!RpAgent_CanMakeSegments(agent) &&
        RpAgent_BeginSearch(agent, now, flow, packet, chain, actions)) {
        return;
    }
    if (flow && !(flow->flags & RP_FLOW_OWNER_UNKNOWN)) {
        flow->flags |= RP_FLOW_OWNER_UNKNOWN;
        flow->host_seen = now;
    }
    bool keep_waiting = flow &&
                        now < flow->host_seen + RP_OWNER_SEARCH_TIMEOUT_US;
    if (keep_waiting || !RpAgent_CanMakeSegments(agent) ||
        (packet->flags & RP_TCP_RST) ||
        !RpAgent_ListsAllServices(agent, RpFlowKey_Destination(packet->key))) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_NO_OWNER);
        return;
    }
    RpAgent_ResetCaller(agent, actions, RP_COUNT_RESET_OWNER_GONE, packet);
}

void
RpAgent_ForwardToNextAgent(struct rp_agent *agent, int64_t now,
                           struct rp_flow *flow,
                           const struct rp_packet *packet,
                           const struct rp_chain *chain,
                           struct rp_actions *actions)
{
    struct rp_flow_key caller = packet->key;
    struct rp_chain next_chain = *chain;
    struct rp_endpoint next;
    bool is_new_flow = RpPacket_Opens(packet);
    bool has_next_hop = flow && flow->state == RP_FLOW_REDIRECTED &&
                        flow->next_hop.port != 0;
    bool found = has_next_hop ? RpAgent_PreferredNextHop(agent, &next_chain,
                                                         caller, is_new_flow,
                                                         flow->next_hop, &next)
                              : RpAgent_NextHop(agent, &next_chain, caller,
                                                is_new_flow, &next);

    if (!found && is_new_flow) {
        /* Every candidate has forwarded the SYN, so this agent decides as
         * the last one. */
        RpAgent_DecideAdmission(agent, now, flow, packet, chain, actions);
        return;
    }
    if (!found) {
        if (!forward_to_sibling(agent, packet, chain, actions)) {
            handle_missing_owner(agent, now, flow, packet, chain, actions);
        }
        return;
    }
    if (flow && flow->state == RP_FLOW_REDIRECTED) {
        struct rp_service_tag tag = RpChain_HopTag(
            &next_chain, next_chain.visited - 1u, agent->service->tag);
        if (tag.service_id == agent->service->tag.service_id) {
            flow->next_hop = next;
        }
        flow->flags &= (uint16_t)~RP_FLOW_OWNER_UNKNOWN;
        flow->deadline = now + RP_REDIRECT_TIMEOUT_US;
    }
    const uint8_t *data = packet->data;
    size_t len = packet->len;
    if (is_new_flow) {
        uint8_t *scratch = actions->scratch[actions->count];
        len = copy_syn_without_payload(agent, packet, scratch);
        data = scratch;
    }
    add_forward_action(agent, actions, RP_COUNT_FLOW_PASSED, data, len,
                       &next_chain, next);
}

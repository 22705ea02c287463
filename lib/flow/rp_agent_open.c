/* New flows: admission, retries, and half-open flows that another agent
 * has won. */
#include <string.h>

#include "rp_agent_internal.h"

#define CENTS 100

/* A SYN never carries payload to a host: the caller sends it again once it
 * has an answer, and until then the flow may still move. */
static size_t
trim_syn(struct rp_agent *agent, const struct rp_packet *packet,
         uint8_t out[RP_SCRATCH_SIZE])
{
    if (packet->payload_len > 0) {
        RpCounters_Add(agent->counters, RP_COUNT_SYN_TRIMMED);
        return agent->config.codec->ops->trim_payload(packet, out);
    }
    memcpy(out, packet->data, packet->len);
    return packet->len;
}

static void
pass_action(struct rp_agent *agent, struct rp_actions *actions,
            enum rp_counter reason, const uint8_t *data, size_t len,
            const struct rp_chain *chain, struct rp_endpoint next)
{
    struct rp_action *action = RpAgent_Act(agent, actions, RP_ACTION_PASS,
                                           reason);

    action->data = data;
    action->len = len;
    action->chain = *chain;
    action->next = next;
    action->tag = agent->service->tag;
}

static void
redirect_to(struct rp_agent *agent, struct rp_flow *flow,
            struct rp_endpoint next, int64_t now)
{
    RpAgent_Enter(agent, flow, RP_FLOW_REDIRECT, now);
    flow->next_hop = next;
    if (!agent->knows_all &&
        now < agent->config.started + RP_SYN_LIFETIME_US) {
        flow->flags |= RP_FLOW_UNSURE;
    }
}

static enum rp_verdict
decide(struct rp_agent *agent, int64_t now, const struct rp_packet *packet,
       const struct rp_chain *chain, enum rp_counter *reason)
{
    struct rp_load load;

    if (agent->draining || agent->host == RP_HOST_DRAINING ||
        agent->host == RP_HOST_GONE) {
        *reason = RP_COUNT_PASS_DRAINING;
        return RP_VERDICT_PASS;
    }
    if (agent->host == RP_HOST_UNKNOWN) {
        *reason = RP_COUNT_PASS_HOST_UNKNOWN;
        return RP_VERDICT_PASS;
    }
    RpAgent_FillLoad(agent, now, RpFlowKey_Target(packet->key), chain, &load);
    load.waited_us = packet->waited_us;
    /* When all others passed, an ill host is better than none. */
    if (!load.last && !RpHealth_Allows(&agent->health, now)) {
        *reason = RP_COUNT_PASS_UNHEALTHY;
        return RP_VERDICT_PASS;
    }
    if (chain->forced && load.flows < load.flow_limit) {
        *reason = RP_COUNT_FLOW_ADMITTED_LAST;
        return RP_VERDICT_TAKE;
    }
    return RpAdmission_Decide(agent->policy, &load, reason);
}

/* Makes sure that the flow has an entry; NULL when the table is full. */
static struct rp_flow *
entry_for(struct rp_agent *agent, struct rp_flow *flow,
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

/* Notes the SYN that opens a flow and forgets the flow before it. */
static void
start_flow(struct rp_flow *flow, const struct rp_packet *packet, int64_t now)
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

/* Tells the candidates that follow how busy this one is. */
static void
note_share(struct rp_agent *agent, int64_t now, struct rp_endpoint address,
           struct rp_chain *chain)
{
    struct rp_load load;

    RpAgent_FillLoad(agent, now, address, chain, &load);
    uint8_t share = RpLoad_Share(&load);
    if (chain->visited > 0 && share < chain->best_share) {
        chain->best_share = share;
        chain->best = chain->visited - 1;
    }
}

/* Moves the chain on to where a new flow goes from here. */
static bool
next_for_syn(struct rp_agent *agent, int64_t now, struct rp_chain *chain,
             struct rp_flow_key caller, enum rp_counter reason,
             struct rp_endpoint *next)
{
    if (reason == RP_COUNT_PASS_BACK) {
        *next = chain->hop[chain->best];
        chain->forced = true;
        return true;
    }
    chain->forced = false;
    if (reason == RP_COUNT_PASS_BUSY) {
        note_share(agent, now, RpFlowKey_Target(caller), chain);
    }
    return RpAgent_NextHop(agent, chain, caller, true, next);
}

/* Tells a caller at once that nobody takes its new flow. For a SYN that was
 * sent again nothing is said: an earlier copy may have been admitted by
 * another agent just now, and that flow must not be reset. */
static void
refuse_syn(struct rp_agent *agent, struct rp_flow *flow,
           const struct rp_packet *packet, enum rp_counter reason,
           struct rp_actions *actions)
{
    if (packet->copy > 0) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP, reason);
    }
    else {
        RpAgent_ResetCaller(agent, actions, reason, packet);
    }
    if (flow) {
        RpAgent_Forget(agent, flow);
    }
}

/* Leaves a new flow to the next candidate, or refuses it when there is
 * none. */
static void
pass_syn(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
         const struct rp_packet *packet, const struct rp_chain *chain,
         enum rp_counter reason, struct rp_actions *actions)
{
    struct rp_flow_key caller = packet->key;
    struct rp_chain rest = *chain;
    struct rp_endpoint next;

    if (!next_for_syn(agent, now, &rest, caller, reason, &next)) {
        RpCounters_Add(agent->counters, reason);
        refuse_syn(agent, flow, packet, RP_COUNT_REFUSED_ALL, actions);
        return;
    }
    flow = entry_for(agent, flow, caller);
    if (flow) {
        start_flow(flow, packet, now);
        redirect_to(agent, flow, next, now);
    }
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = trim_syn(agent, packet, scratch);
    pass_action(agent, actions, reason, scratch, len, &rest, next);
}

static void
give_syn_to_host(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                 const struct rp_packet *packet, const struct rp_chain *chain,
                 enum rp_counter reason, struct rp_actions *actions)
{
    uint8_t *scratch = actions->scratch[actions->count];
    size_t len = trim_syn(agent, packet, scratch);

    start_flow(flow, packet, now);
    RpAgent_Enter(agent, flow, RP_FLOW_OPENING, now);
    RpAgent_Reserve(agent, flow, now);
    RpHold_Put(agent->hold, flow->caller, chain, scratch, len);
    RpAgent_Send(agent, actions, RP_ACTION_TO_HOST, reason, scratch, len);
}

/* Each admitted flow earns a share of a retry. */
static void
earn_retry(struct rp_agent *agent)
{
    agent->retry_cents += (int32_t)agent->service->retries_percent;
    agent->retry_cents = MIN(agent->retry_cents, RP_RETRY_BURST_CENTS);
}

void
RpAgent_Decide(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
               const struct rp_packet *packet, const struct rp_chain *chain,
               struct rp_actions *actions)
{
    enum rp_counter reason;
    enum rp_verdict verdict = decide(agent, now, packet, chain, &reason);

    if (verdict == RP_VERDICT_REFUSE) {
        refuse_syn(agent, flow, packet, reason, actions);
        return;
    }
    if (verdict != RP_VERDICT_TAKE) {
        pass_syn(agent, now, flow, packet, chain, reason, actions);
        return;
    }
    flow = entry_for(agent, flow, packet->key);
    if (!flow) {
        pass_syn(agent, now, NULL, packet, chain, RP_COUNT_PASS_FLOW_LIMIT,
                 actions);
        return;
    }
    earn_retry(agent);
    give_syn_to_host(agent, now, flow, packet, chain, reason, actions);
}

void
RpAgent_Renew(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
              const struct rp_packet *packet, const struct rp_chain *chain,
              struct rp_actions *actions)
{
    give_syn_to_host(agent, now, flow, packet, chain, RP_COUNT_FLOW_ADMITTED,
                     actions);
}

/* Takes one retry from the budget. */
static bool
spend_retry(struct rp_agent *agent)
{
    if (agent->retry_cents < CENTS) {
        RpCounters_Add(agent->counters, RP_COUNT_RETRY_BUDGET_SPENT);
        return false;
    }
    agent->retry_cents -= CENTS;
    return true;
}

/* The host refused and nobody else can take the flow: its refusal is the
 * answer, and a true one, for no payload was delivered to any host. */
static void
refuse(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
       const struct rp_packet *refusal, struct rp_actions *actions)
{
    if (refusal->returned) {
        refuse_syn(agent, flow, refusal, RP_COUNT_REFUSED_ALL, actions);
        return;
    }
    RpAgent_Enter(agent, flow, RP_FLOW_CLOSED, now);
    RpAgent_Send(agent, actions, RP_ACTION_TO_CALLER, RP_COUNT_REFUSED_ALL,
                 refusal->data, refusal->len);
}

void
RpAgent_Retry(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
              const struct rp_packet *refusal, struct rp_actions *actions)
{
    const struct rp_held *held = RpAgent_TakeHeld(agent, flow);
    struct rp_chain rest = held ? held->chain : (struct rp_chain){0};
    struct rp_endpoint next;
    bool can = held &&
               RpAgent_NextHop(agent, &rest, flow->caller, true, &next) &&
               spend_retry(agent);

    if (can) {
        redirect_to(agent, flow, next, now);
        pass_action(agent, actions,
                    refusal ? RP_COUNT_RETRY_HOST_REFUSED
                            : RP_COUNT_RETRY_HOST_SILENT,
                    held->data, held->len, &rest, next);
    }
    else if (refusal) {
        refuse(agent, now, flow, refusal, actions);
    }
    else if (held) {
        /* Only this host is left: wait on; the caller repeats its SYN. */
        flow->deadline = now + RP_CONFIRM_PATIENCE_US;
    }
    else {
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_EXPIRED);
        RpAgent_Forget(agent, flow);
    }
}

void
RpAgent_Yield(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
              const struct rp_packet *packet, const struct rp_chain *chain,
              struct rp_actions *actions)
{
    struct rp_flow_key key = flow->caller;

    if (RpAgent_CanForge(agent)) {
        RpAgent_SendSegment(agent, actions, RP_ACTION_TO_HOST,
                            RP_COUNT_FLOW_YIELDED, key, RP_TCP_RST,
                            flow->caller_isn + 1, 0);
    }
    else {
        /* The host gives its half-open flow up by itself. */
        RpCounters_Add(agent->counters, RP_COUNT_FLOW_YIELDED);
    }
    flow->next_hop = (struct rp_endpoint){0};
    RpAgent_Pass(agent, now, flow, packet, chain, actions);
}

void
RpAgent_Quash(struct rp_agent *agent, struct rp_flow *flow,
              const struct rp_packet *packet, struct rp_actions *actions)
{
    struct rp_flow_key key = flow->caller;

    if (!RpAgent_CanForge(agent)) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP, RP_COUNT_SYN_LATE_ANSWER);
        return;
    }
    RpAgent_SendSegment(agent, actions, RP_ACTION_TO_HOST,
                        RP_COUNT_SYN_LATE_ANSWER, key, RP_TCP_RST, packet->ack,
                        0);
}

/* Another service behind the same virtual address may have the flow: shares
 * of new flows change, and open flows stay where they are. Moves the packet
 * on to it, once; the chain's mark says that this was done. */
static bool
pass_to_sibling(struct rp_agent *agent, const struct rp_packet *packet,
                const struct rp_chain *chain, struct rp_actions *actions)
{
    const struct rp_vip *vip = RpTable_FindVip(agent->table,
                                               RpFlowKey_Target(packet->key));
    uint64_t hash = RpTable_HashFlow(agent->table, packet->key);

    for (size_t i = 0; vip && !chain->forced && i < vip->count; i++) {
        const struct rp_service *service = RpTable_FindId(
            agent->table, vip->targets[i].service_id);
        const struct rp_member *ranked[RP_MAX_CHAIN];
        struct rp_chain fresh = {
            .best_share = RP_CHAIN_NO_SHARE, .forced = true, .visited = 1};
        if (!service || service == agent->service) {
            continue;
        }
        size_t count = RpService_Rank(service, hash, RP_MEMBERS_SERVING,
                                      ranked, RP_CHAIN_LENGTH);
        for (size_t j = 0; j < count; j++) {
            RpChain_Append(&fresh, ranked[j]->agent);
        }
        if (count > 0) {
            pass_action(agent, actions, RP_COUNT_PASS_SIBLING, packet->data,
                        packet->len, &fresh, fresh.hop[0]);
            actions->item[actions->count - 1].tag = service->tag;
            return true;
        }
    }
    return false;
}

/* Nobody is left to pass a packet to. */
static void
give_up(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
        const struct rp_packet *packet, struct rp_actions *actions)
{
    if (flow && !(flow->flags & RP_FLOW_ORPHAN)) {
        flow->flags |= RP_FLOW_ORPHAN;
        flow->host_seen = now;
    }
    bool waits = flow && now < flow->host_seen + RP_OWNER_PATIENCE_US;
    if (waits || !RpAgent_CanForge(agent) || (packet->flags & RP_TCP_RST)) {
        RpAgent_Act(agent, actions, RP_ACTION_DROP, RP_COUNT_DROP_NO_OWNER);
        return;
    }
    RpAgent_ResetCaller(agent, actions, RP_COUNT_RESET_OWNER_GONE, packet);
}

void
RpAgent_Pass(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
             const struct rp_packet *packet, const struct rp_chain *chain,
             struct rp_actions *actions)
{
    struct rp_flow_key caller = packet->key;
    struct rp_chain rest = *chain;
    struct rp_endpoint next;
    bool opens = RpPacket_Opens(packet);
    bool known = flow && flow->state == RP_FLOW_REDIRECT &&
                 flow->next_hop.port != 0;
    bool found = known ? RpAgent_NextHopPrefer(agent, &rest, caller, opens,
                                               flow->next_hop, &next)
                       : RpAgent_NextHop(agent, &rest, caller, opens, &next);

    if (!found && opens) {
        /* Every candidate has passed it on, so each sees itself as last. */
        RpAgent_Decide(agent, now, flow, packet, chain, actions);
        return;
    }
    if (!found) {
        if (!pass_to_sibling(agent, packet, chain, actions)) {
            give_up(agent, now, flow, packet, actions);
        }
        return;
    }
    if (flow && flow->state == RP_FLOW_REDIRECT) {
        flow->next_hop = next;
        flow->flags &= (uint16_t)~RP_FLOW_ORPHAN;
        flow->deadline = now + RP_REDIRECT_LINGER_US;
    }
    const uint8_t *data = packet->data;
    size_t len = packet->len;
    if (opens) {
        uint8_t *scratch = actions->scratch[actions->count];
        len = trim_syn(agent, packet, scratch);
        data = scratch;
    }
    pass_action(agent, actions, RP_COUNT_FLOW_PASSED, data, len, &rest, next);
}

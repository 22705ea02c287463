/* Flows without an entry, as after a restart of the agent: a packet sent to
 * the host shows by the host's answer whether the host has the flow. */
#include "rp_agent_internal.h"

void
RpAgent_QueryHost(struct rp_agent *agent, int64_t now,
                  const struct rp_packet *packet, const struct rp_chain *chain,
                  struct rp_actions *actions)
{
    struct rp_flow_key caller = packet->key;

    if (RpFlowTable_Count(agent->flows) >= RP_AGENT_MAX_ENTRIES) {
        RpAgent_ForwardToNextAgent(agent, now, NULL, packet, chain, actions);
        return;
    }
    struct rp_flow *flow = RpFlowTable_Insert(agent->flows, caller);
    RpAgent_QueryHostForFlow(agent, now, flow, packet, chain, actions);
}

void
RpAgent_QueryHostForFlow(struct rp_agent *agent, int64_t now,
                         struct rp_flow *flow, const struct rp_packet *packet,
                         const struct rp_chain *chain,
                         struct rp_actions *actions)
{
    flow->flags = 0;
    flow->caller_next = packet->seq;
    flow->host_acked = packet->seq;
    flow->host_next = packet->ack;
    flow->caller_acked = packet->ack;
    flow->host_seen = now;
    RpAgent_EnterState(agent, flow, RP_FLOW_QUERYING_HOST, now);
    RpAgent_TrackCaller(agent, flow, packet, now);
    RpHold_Put(agent->hold, flow->caller, chain, packet->data, packet->len);
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_HOST,
                          RP_COUNT_FLOW_ASKED, packet->data, packet->len);
}

void
RpAgent_TakeOwnership(struct rp_agent *agent, struct rp_flow *flow,
                      uint8_t state, int64_t now)
{
    RpHold_Drop(agent->hold, flow->caller);
    RpAgent_EnterState(agent, flow, state, now);
    RpCounters_Add(agent->counters, RP_COUNT_FLOW_RELEARNED);
}

void
RpAgent_LearnFlowFromHost(struct rp_agent *agent, int64_t now,
                          const struct rp_packet *packet,
                          struct rp_actions *actions)
{
    struct rp_flow_key caller = RpFlowKey_Reverse(packet->key);

    if ((packet->flags & RP_TCP_RST) || packet->returned ||
        RpFlowTable_Count(agent->flows) >= RP_AGENT_MAX_ENTRIES) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_HOST_STRAY);
        return;
    }
    struct rp_flow *flow = RpFlowTable_Insert(agent->flows, caller);
    uint8_t state = RP_FLOW_ESTABLISHED;
    flow->host_next = packet->seq;
    flow->caller_acked = packet->seq;
    flow->caller_next = packet->ack;
    flow->host_acked = packet->ack;
    flow->caller_seen = now;
    if (packet->flags & RP_TCP_SYN) {
        state = RP_FLOW_SYN_ANSWERED;
    }
    else if (packet->flags & RP_TCP_FIN) {
        state = RP_FLOW_HOST_CLOSED;
    }
    RpAgent_TakeOwnership(agent, flow, state, now);
    RpAgent_TrackHost(agent, flow, packet, now);
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_CALLER,
                          RP_COUNT_PACKETS_OUT, packet->data, packet->len);
}

void
RpAgent_ReleaseToNextAgent(struct rp_agent *agent, int64_t now,
                           struct rp_flow *flow, struct rp_actions *actions)
{
    const struct rp_held_packet *held = RpAgent_TakeHeldPacket(agent, flow);
    struct rp_packet packet;
    enum rp_counter reason;

    RpCounters_Add(agent->counters, RP_COUNT_FLOW_NOT_HOSTS);
    RpAgent_EnterState(agent, flow, RP_FLOW_REDIRECTED, now);
    if (!held || !agent->config.codec->ops->parse(held->data, held->len,
                                                  &packet, &reason)) {
        RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                          RP_COUNT_DROP_HOLD_FULL);
        return;
    }
    RpAgent_ForwardToNextAgent(agent, now, flow, &packet, &held->chain,
                               actions);
}

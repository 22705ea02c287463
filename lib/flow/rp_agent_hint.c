/* Hints to balancers: the owner of a flow tells the balancer that sent a
 * packet of it to another agent first. See rp_owner_hints.h. */
#include "rp_agent_internal.h"

void
RpAgent_HintOwner(struct rp_agent *agent, const struct rp_flow *flow,
                  const struct rp_packet *packet, const struct rp_chain *chain,
                  struct rp_actions *actions)
{
    if (chain->origin.port == 0 || chain->visited <= 1 ||
        !RpAgent_IsCertainOwner(flow->state) ||
        (packet->flags & (RP_TCP_SYN | RP_TCP_RST))) {
        return;
    }
    struct rp_action *action = RpAgent_AddAction(
        agent, actions, RP_ACTION_HINT, RP_COUNT_HINT_SENT);
    action->next = chain->origin;
    action->hint = (struct rp_owner_hint){
        .flow = packet->key,
        .service_id = agent->service->tag.service_id,
        .seq = packet->seq};
}

void
RpAgent_ConfirmOwnership(struct rp_agent *agent, struct rp_flow *flow,
                         uint8_t state, int64_t now,
                         struct rp_actions *actions)
{
    const struct rp_held_packet *held = RpAgent_TakeHeldPacket(agent, flow);
    struct rp_packet packet;
    enum rp_counter reason;

    RpAgent_TakeOwnership(agent, flow, state, now);
    if (held) {
        RpAgent_KeepFirstPacket(agent, flow, held->data, held->len);
    }
    if (held && agent->config.codec->ops->parse(held->data, held->len, &packet,
                                                &reason)) {
        RpAgent_HintOwner(agent, flow, &packet, &held->chain, actions);
    }
}

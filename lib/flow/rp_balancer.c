/* The routing decision of a balancer. See rp_balancer.h. */
#include "rp_balancer.h"

/* Picks the highest-ranked members whose state is in `states`, at most
 * `limit`. Returns their number.
 *
 * If all members picked before the last place are in the preferred zone, the
 * best member of another zone gets the last place. Otherwise a flow could not
 * reach idle members elsewhere when its own zone is full. */
static size_t
pick_members(const struct rp_service *service, uint64_t hash, unsigned states,
             const struct rp_member *picked[RP_MAX_CHAIN], size_t limit)
{
    const struct rp_member *ranked[RP_MAX_CHAIN];
    size_t count = RpService_RankMembers(service, hash, states, ranked,
                                         RP_MAX_CHAIN);
    size_t picked_count = 0;
    bool all_in_zone = true;

    for (size_t i = 0; i < count && picked_count < limit; i++) {
        bool is_last = picked_count == limit - 1;
        size_t pick = i;
        while (is_last && all_in_zone && pick < count &&
               ranked[pick]->in_preferred_zone) {
            pick++;
        }
        pick = pick < count ? pick : i;
        all_in_zone = all_in_zone && ranked[pick]->in_preferred_zone;
        picked[picked_count++] = ranked[pick];
    }
    return picked_count;
}

/* Appends candidates until the chain has `limit`. */
static void
append_candidates(struct rp_chain *chain, const struct rp_service *service,
                  uint64_t hash, unsigned states, size_t limit)
{
    const struct rp_member *picked[RP_MAX_CHAIN];
    size_t count = pick_members(service, hash, states, picked,
                                limit - MIN(limit, chain->count));

    for (size_t i = 0; i < count; i++) {
        RpChain_AppendOf(chain, picked[i]->agent, service->tag.service_id);
    }
}

/* Appends the candidates of a new flow in the order that loads give them;
 * `order` may be NULL. Returns the counter for that decision. */
static enum rp_counter
append_ready(struct rp_chain *chain, const struct rp_service *service,
             const struct rp_load_order *order, uint64_t hash)
{
    const struct rp_member *picked[RP_MAX_CHAIN];
    size_t count = pick_members(service, hash, RP_MEMBERS_READY, picked,
                                RP_ROUTE_MAX_CANDIDATES);
    const struct rp_member *first = count > 0 ? picked[0] : NULL;

    if (order) {
        RpLoadView_Order(order->view, order->now, service, hash, order->spill,
                         picked, count);
    }
    for (size_t i = 0; i < count; i++) {
        RpChain_AppendOf(chain, picked[i]->agent, service->tag.service_id);
    }
    if (count == 0 || picked[0] == first) {
        return RP_COUNT_ROUTED;
    }
    return first->in_preferred_zone && !picked[0]->in_preferred_zone
               ? RP_COUNT_ROUTED_ABROAD
               : RP_COUNT_ROUTED_BY_LOAD;
}

/* Appends candidates for a packet of an open flow: members whose lease has
 * expired only where others leave room. */
static void
append_owners(struct rp_chain *chain, const struct rp_service *service,
              uint64_t hash)
{
    size_t limit = MIN(chain->count + RP_ROUTE_MAX_CANDIDATES, RP_MAX_CHAIN);

    append_candidates(chain, service, hash, RP_MEMBERS_SERVING, limit);
    append_candidates(chain, service, hash, RP_MEMBERS_LOST, limit);
}

/* Sets the services of the chain: the selected one and the former targets of
 * the address. Leaves the chain with one service if there are none. */
static void
set_chain_services(struct rp_chain *chain, const struct rp_table *table,
                   struct rp_endpoint address,
                   const struct rp_service *selected)
{
    const struct rp_vip *vip = RpTable_FindVip(table, address);
    size_t count = 1;

    chain->service[0] = selected->tag;
    for (size_t i = 0; vip && i < vip->count && count < RP_CHAIN_MAX_SERVICES;
         i++) {
        const struct rp_service *service = RpTable_FindById(
            table, vip->targets[i].service_id);
        if (vip->targets[i].weight == 0 && service && service != selected) {
            chain->service[count++] = service->tag;
        }
    }
    chain->service_count = count > 1 ? (uint8_t)count : 0;
}

/* Rotates the candidates by `steps`, so that each copy of a SYN goes to
 * another candidate first: the one that got the previous copy may not be
 * answering. */
static void
rotate_candidates(struct rp_chain *chain, uint32_t steps)
{
    struct rp_chain old = *chain;

    for (size_t i = 0; i < chain->count; i++) {
        chain->hop[i] = old.hop[(i + steps) % chain->count];
    }
}

void
RpBalancer_Route(const struct rp_table *table, const struct rp_packet *packet,
                 struct rp_route *route)
{
    RpBalancer_RouteByLoad(table, NULL, packet, route);
}

void
RpBalancer_RouteByLoad(const struct rp_table *table,
                       const struct rp_load_order *order,
                       const struct rp_packet *packet, struct rp_route *route)
{
    struct rp_endpoint address = RpFlowKey_Destination(packet->key);
    bool opens = RpPacket_Opens(packet);
    enum rp_counter reason = RP_COUNT_ROUTED;

    *route = (struct rp_route){
        .kind = RP_ROUTE_DROP,
        .chain = {.lowest_utilisation = RP_CHAIN_NO_UTILISATION}};
    if (RpTable_Revision(table) == 0) {
        route->kind = RP_ROUTE_WAIT;
        route->reason = RP_COUNT_DROP_NO_TABLE;
        return;
    }
    uint64_t hash = RpTable_HashFlow(table, packet->key);
    route->flow_hash = hash;
    const struct rp_service *service = RpTable_SelectService(table, address,
                                                             hash);
    if (!service) {
        route->reason = RP_COUNT_DROP_UNKNOWN_ADDRESS;
        return;
    }
    route->tag = service->tag;
    if (opens) {
        reason = append_ready(&route->chain, service, order, hash);
    }
    else {
        set_chain_services(&route->chain, table, address, service);
        append_owners(&route->chain, service, hash);
        for (size_t i = 1; i < route->chain.service_count; i++) {
            append_owners(
                &route->chain,
                RpTable_FindById(table, route->chain.service[i].service_id),
                hash);
        }
        if (route->chain.count > 0) {
            route->tag = RpChain_HopTag(&route->chain, 0, service->tag);
        }
    }
    if (opens && packet->syn_retransmits > 0 && route->chain.count > 1) {
        rotate_candidates(&route->chain, packet->syn_retransmits);
    }
    if (route->chain.count > 0) {
        route->kind = RP_ROUTE_SEND;
        route->reason = reason;
    }
    else if (RpTable_MayLackMembers(table)) {
        route->kind = RP_ROUTE_WAIT;
        route->reason = RP_COUNT_DROP_NO_MEMBER;
    }
    else if (opens && RpService_IsEvacuated(service)) {
        /* An earlier copy may have opened the flow before the evacuation. */
        route->kind = packet->syn_retransmits > 0 ? RP_ROUTE_DROP
                                                  : RP_ROUTE_RESET;
        route->reason = RP_COUNT_REFUSED_EVACUATED;
    }
    else if (opens) {
        route->kind = RP_ROUTE_RESET;
        route->reason = RP_COUNT_RESET_NO_MEMBER;
    }
    else {
        route->reason = RP_COUNT_DROP_NO_MEMBER;
    }
}

void
RpBalancer_NoteChoice(struct rp_owner_hints *hints, int64_t now,
                      const struct rp_packet *packet,
                      const struct rp_route *route)
{
    const struct rp_chain *chain = &route->chain;

    if (route->reason != RP_COUNT_ROUTED_BY_LOAD &&
        route->reason != RP_COUNT_ROUTED_ABROAD) {
        return;
    }
    const struct rp_owner_hint choice = {.flow = packet->key,
                                         .service_id = route->tag.service_id,
                                         .seq = packet->seq};
    size_t steps = packet->syn_retransmits % chain->count;
    RpOwnerHints_Put(hints, now, route->flow_hash, &choice,
                     chain->hop[(chain->count - steps) % chain->count]);
}

/* Whether the service lists the agent as serving. A hint to a lost one is not
 * followed: if it were wrong, nobody else would get the packet. */
static bool
is_serving(const struct rp_service *service, struct rp_endpoint agent)
{
    const struct rp_member *member = service
                                         ? RpService_FindMember(service, agent)
                                         : NULL;

    return member && (1u << member->state) & RP_MEMBERS_SERVING;
}

/* Moves the owner to the front of the chain, and adds it if the chain lacks
 * it. Returns false if there is no room or the chain lacks its service. */
static bool
move_to_front(struct rp_chain *chain, const struct rp_owner *owner)
{
    size_t index = 0;

    while (index < chain->count &&
           !RpEndpoint_Equal(chain->hop[index], owner->agent)) {
        index++;
    }
    if (index == chain->count &&
        !RpChain_AppendOf(chain, owner->agent, owner->service_id)) {
        return false;
    }
    uint8_t hop_service = chain->hop_service[index];
    for (; index > 0; index--) {
        chain->hop[index] = chain->hop[index - 1];
        chain->hop_service[index] = chain->hop_service[index - 1];
    }
    chain->hop[0] = owner->agent;
    chain->hop_service[0] = hop_service;
    return true;
}

void
RpBalancer_PreferOwner(const struct rp_table *table,
                       struct rp_owner_hints *hints, int64_t now,
                       const struct rp_packet *packet, struct rp_route *route)
{
    struct rp_chain *chain = &route->chain;
    const struct rp_owner *owner = RpOwnerHints_Find(hints, now,
                                                     route->flow_hash, packet);

    if (!owner || route->kind != RP_ROUTE_SEND ||
        (chain->service_count == 0 &&
         owner->service_id != route->tag.service_id) ||
        !is_serving(RpTable_FindById(table, owner->service_id),
                    owner->agent) ||
        !move_to_front(chain, owner)) {
        return;
    }
    route->reason = RP_COUNT_HINT_FOLLOWED;
    if (chain->service_count > 0) {
        route->tag = RpChain_HopTag(chain, 0, chain->service[0]);
    }
}

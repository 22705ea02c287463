/* The choice of the agent to which a packet is forwarded. */
#include "rp_agent_internal.h"

bool
RpAgent_IsEvacuatedHop(const struct rp_agent *agent,
                       struct rp_endpoint endpoint)
{
    if (RpTable_Evacuated(agent->table)->len == 0) {
        return false;
    }
    const struct rp_member *member = RpService_FindMember(agent->service,
                                                          endpoint);
    return member && member->evacuated;
}

/* Advances to the next candidate in the chain that is not this agent and, for
 * a new flow, not in an evacuated data centre. */
static bool
next_in_chain(const struct rp_agent *agent, struct rp_chain *chain,
              bool is_new_flow, struct rp_endpoint *next)
{
    while (chain->visited < chain->count) {
        *next = chain->hop[chain->visited++];
        if (RpEndpoint_Equal(*next, agent->config.self)) {
            continue;
        }
        if (!is_new_flow || !RpAgent_IsEvacuatedHop(agent, *next)) {
            return true;
        }
        RpCounters_Add(agent->counters, RP_COUNT_HOP_EVACUATED);
    }
    return false;
}

/* Appends the best-ranked member in one of `states` that the chain does not
 * contain, from this agent's own table. That table may be newer than the one
 * that the chain was made from. */
static bool
next_from_table(const struct rp_agent *agent, struct rp_chain *chain,
                struct rp_flow_key caller, unsigned states,
                struct rp_endpoint *next)
{
    const struct rp_member *ranked[RP_MAX_CHAIN];
    uint64_t hash = RpTable_HashFlow(agent->table, caller);
    size_t count = RpService_RankMembers(agent->service, hash, states, ranked,
                                         RP_MAX_CHAIN);

    for (size_t i = 0; i < count; i++) {
        struct rp_endpoint candidate = ranked[i]->agent;
        if (RpEndpoint_Equal(candidate, agent->config.self) ||
            RpChain_Contains(chain, candidate)) {
            continue;
        }
        if (!RpChain_AppendOf(chain, candidate,
                              agent->service->tag.service_id)) {
            return false;
        }
        chain->visited = chain->count;
        *next = candidate;
        return true;
    }
    return false;
}

bool
RpAgent_NextHop(const struct rp_agent *agent, struct rp_chain *chain,
                struct rp_flow_key caller, bool is_new_flow,
                struct rp_endpoint *next)
{
    if (next_in_chain(agent, chain, is_new_flow, next)) {
        return true;
    }
    if (is_new_flow) {
        return next_from_table(agent, chain, caller, RP_MEMBERS_READY, next);
    }
    /* A lost agent may not answer, and then the packet goes no further: try
     * those last. */
    return next_from_table(agent, chain, caller, RP_MEMBERS_SERVING, next) ||
           next_from_table(agent, chain, caller, RP_MEMBERS_LOST, next);
}

/* Whether a new flow may go to this endpoint. Packets of open flows need no
 * such check and go to the owner in any case: this table may be older than the
 * one by which the flow was placed, and an upstream whose lease has ended
 * still serves its flows. */
static bool
accepts_new_flows(const struct rp_agent *agent, struct rp_endpoint endpoint)
{
    const struct rp_member *member = RpService_FindMember(agent->service,
                                                          endpoint);

    return member && member->state != RP_UPSTREAM_LOST && !member->evacuated;
}

bool
RpAgent_PreferredNextHop(const struct rp_agent *agent, struct rp_chain *chain,
                         struct rp_flow_key caller, bool is_new_flow,
                         struct rp_endpoint preferred,
                         struct rp_endpoint *next)
{
    size_t index = 0;

    while (index < chain->count &&
           !RpEndpoint_Equal(chain->hop[index], preferred)) {
        index++;
    }
    bool visited = index < chain->visited;
    if (visited || (is_new_flow && !accepts_new_flows(agent, preferred)) ||
        (index == chain->count &&
         !RpChain_AppendOf(chain, preferred,
                           agent->service->tag.service_id))) {
        return RpAgent_NextHop(agent, chain, caller, is_new_flow, next);
    }
    /* Swaps it with the first candidate that has not had the packet. */
    uint8_t preferred_service = chain->hop_service[index];
    chain->hop[index] = chain->hop[chain->visited];
    chain->hop_service[index] = chain->hop_service[chain->visited];
    chain->hop_service[chain->visited] = preferred_service;
    chain->hop[chain->visited++] = preferred;
    *next = preferred;
    return true;
}

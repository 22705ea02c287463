/* Which agent a packet goes to next. */
#include "rp_agent_internal.h"

/* Moves on within the candidates that the chain names. */
static bool
next_named(const struct rp_agent *agent, struct rp_chain *chain,
           struct rp_endpoint *next)
{
    while (chain->visited < chain->count) {
        *next = chain->hop[chain->visited++];
        if (!RpEndpoint_Equal(*next, agent->config.self)) {
            return true;
        }
    }
    return false;
}

/* Adds the best member that the chain does not name yet, by this agent's
 * own table, which may be newer than the one the chain was made from. */
static bool
next_from_table(const struct rp_agent *agent, struct rp_chain *chain,
                struct rp_flow_key caller, unsigned states,
                struct rp_endpoint *next)
{
    const struct rp_member *ranked[RP_MAX_CHAIN];
    uint64_t hash = RpTable_HashFlow(agent->table, caller);
    size_t count = RpService_Rank(agent->service, hash, states, ranked,
                                  RP_MAX_CHAIN);

    for (size_t i = 0; i < count; i++) {
        struct rp_endpoint candidate = ranked[i]->agent;
        if (RpEndpoint_Equal(candidate, agent->config.self) ||
            RpChain_Contains(chain, candidate)) {
            continue;
        }
        if (!RpChain_Append(chain, candidate)) {
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
                struct rp_flow_key caller, bool opens,
                struct rp_endpoint *next)
{
    if (next_named(agent, chain, next)) {
        return true;
    }
    if (opens) {
        return next_from_table(agent, chain, caller, RP_MEMBERS_READY, next);
    }
    /* A packet ends at an agent that is gone: those come last. */
    return next_from_table(agent, chain, caller, RP_MEMBERS_SERVING, next) ||
           next_from_table(agent, chain, caller, RP_MEMBERS_LOST, next);
}

/* Whether a new flow may go to this endpoint. An open flow follows its
 * owner wherever that is: this table may be older than the one by which the
 * flow was placed, and an upstream out of lease still serves its flows. */
static bool
takes_new_flows(const struct rp_agent *agent, struct rp_endpoint endpoint)
{
    const struct rp_service *service = agent->service;

    for (size_t i = 0; i < service->count; i++) {
        if (RpEndpoint_Equal(service->members[i].agent, endpoint)) {
            return service->members[i].state != RP_UPSTREAM_LOST;
        }
    }
    return false;
}

bool
RpAgent_NextHopPrefer(const struct rp_agent *agent, struct rp_chain *chain,
                      struct rp_flow_key caller, bool opens,
                      struct rp_endpoint wanted, struct rp_endpoint *next)
{
    size_t place = 0;

    while (place < chain->count &&
           !RpEndpoint_Equal(chain->hop[place], wanted)) {
        place++;
    }
    bool visited = place < chain->visited;
    if (visited || (opens && !takes_new_flows(agent, wanted)) ||
        (place == chain->count && !RpChain_Append(chain, wanted))) {
        return RpAgent_NextHop(agent, chain, caller, opens, next);
    }
    chain->hop[place] = chain->hop[chain->visited];
    chain->hop[chain->visited++] = wanted;
    *next = wanted;
    return true;
}

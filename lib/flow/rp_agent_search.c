/* Searches for the owner of a flow that no agent on the way owned: begins
 * them, answers those of other agents, and resets the caller of a flow that
 * certainly has no owner. */
#include "rp_agent_internal.h"

/* How long the table must not have got new members or a new configuration
 * before it is taken to list every agent that may own a flow: longer than an
 * update takes to every node, and than a replica takes to find that it is cut
 * off. */
#define TABLE_SETTLE_US (500 * RP_US_PER_MS)

/* After a start together with control: how long it takes until the agents of
 * hosts that live on have found control again, and how long the table must
 * have been unchanged before a request is refused for which that is too late.
 */
#define MEMBERS_RETURN_US (2500 * RP_US_PER_MS)
#define FIRST_TABLE_SETTLE_US (200 * RP_US_PER_MS)

/* Services of one search: the agents of each are asked by one action. */
#define MAX_SERVICES RP_MAX_ACTIONS

/* The services whose agents are asked, and the agents in groups by service. */
struct search_plan {
    GArray *agents; /* of struct rp_endpoint */
    size_t service_count;
    const struct rp_service *service[MAX_SERVICES];
    guint first[MAX_SERVICES]; /* index in `agents` */
};

/* Whether the table surely lists each agent that may own a flow. */
static bool
is_table_settled(const struct rp_agent *agent, int64_t now)
{
    return RpTable_IsAuthoritative(agent->table) &&
           now >= agent->table_changed_at + TABLE_SETTLE_US;
}

/* Whether a part of a request has no owner within reach before the request's
 * timeout, because this agent and control have just started and an agent that
 * lives on would be back only after that. Refusing it at once lets its caller
 * try again. It has not run: its owner, if there is one, did not get it. */
static bool
is_too_late(const struct rp_agent *agent, int64_t now,
            const struct rp_packet *packet)
{
    const struct rp_vip *vip = RpTable_FindVip(
        agent->table, RpFlowKey_Destination(packet->key));
    int64_t back_at = agent->config.started + MEMBERS_RETURN_US;

    return RpTable_IsFirst(agent->table) && packet->payload_len > 0 && vip &&
           now + vip->timeout_ms * RP_US_PER_MS < back_at &&
           now >= agent->table_changed_at + FIRST_TABLE_SETTLE_US;
}

/* Returns the reason for which the packet's caller is reset if no agent owns
 * the flow, or RP_COUNT_DROP_NO_OWNER if it is not reset. */
static enum rp_counter
find_reset_reason(const struct rp_agent *agent, int64_t now,
                  const struct rp_packet *packet)
{
    if (!agent->knows_all_flows || !agent->control_connected ||
        agent->host_state == RP_HOST_UNKNOWN) {
        return RP_COUNT_DROP_NO_OWNER;
    }
    if (is_table_settled(agent, now)) {
        return RP_COUNT_RESET_OWNER_GONE;
    }
    return is_too_late(agent, now, packet) ? RP_COUNT_RESET_OWNER_UNREACHABLE
                                           : RP_COUNT_DROP_NO_OWNER;
}

static void
add_service(const struct rp_agent *agent, struct search_plan *plan,
            const struct rp_service *service)
{
    plan->service[plan->service_count] = service;
    plan->first[plan->service_count++] = plan->agents->len;
    for (size_t i = 0; i < service->count; i++) {
        if (!RpEndpoint_Equal(service->members[i].agent, agent->config.self)) {
            g_array_append_val(plan->agents, service->members[i].agent);
        }
    }
}

/* Collects the agents of every service that the address has or had. Returns
 * false if the table does not have one of these services, or does not list all
 * that the address had. */
static bool
make_plan(const struct rp_agent *agent, struct rp_endpoint address,
          struct search_plan *plan)
{
    const struct rp_vip *vip = RpTable_FindVip(agent->table, address);

    add_service(agent, plan, agent->service);
    for (size_t i = 0; vip && i < vip->count; i++) {
        const struct rp_service *service = RpTable_FindById(
            agent->table, vip->targets[i].service_id);
        bool is_listed = false;
        for (size_t j = 0; j < plan->service_count; j++) {
            is_listed = is_listed || plan->service[j] == service;
        }
        if (is_listed) {
            continue;
        }
        if (!service || plan->service_count == MAX_SERVICES) {
            return false;
        }
        add_service(agent, plan, service);
    }
    return vip || agent->service->address.port != 0;
}

/* Whether the address has or had more services than a chain can name: only a
 * search reaches the owners of the flows that are longest open. */
static bool
exceeds_chain(const struct rp_agent *agent, struct rp_endpoint address)
{
    const struct rp_vip *vip = RpTable_FindVip(agent->table, address);

    return vip && vip->count > RP_CHAIN_MAX_SERVICES;
}

bool
RpAgent_ListsAllServices(const struct rp_agent *agent,
                         struct rp_endpoint address)
{
    const struct rp_vip *vip = RpTable_FindVip(agent->table, address);

    for (size_t i = 0; vip && i < vip->count; i++) {
        if (!RpTable_FindById(agent->table, vip->targets[i].service_id)) {
            return false;
        }
    }
    return true;
}

/* Whether the plan has every candidate of the chain that brought the packet
 * here. A candidate that it lacks may be newer than the table. */
static bool
covers_chain(const struct rp_agent *agent, const struct search_plan *plan,
             const struct rp_chain *chain)
{
    for (size_t i = 0; i < chain->count; i++) {
        bool found = RpEndpoint_Equal(chain->hop[i], agent->config.self);
        for (guint j = 0; !found && j < plan->agents->len; j++) {
            found = RpEndpoint_Equal(
                g_array_index(plan->agents, struct rp_endpoint, j),
                chain->hop[i]);
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

static void
add_search_actions(struct rp_agent *agent, const struct search_plan *plan,
                   const struct rp_packet *packet, uint32_t id,
                   struct rp_actions *actions)
{
    g_array_set_size(agent->search_targets, 0);
    g_array_append_vals(agent->search_targets, plan->agents->data,
                        plan->agents->len);
    for (size_t i = 0; i < plan->service_count; i++) {
        guint end = i + 1 < plan->service_count ? plan->first[i + 1]
                                                : plan->agents->len;
        if (end == plan->first[i]) {
            continue;
        }
        struct rp_action *action = RpAgent_AddAction(
            agent, actions, RP_ACTION_SEARCH, RP_COUNT_OWNER_SEARCHED);
        action->data = packet->data;
        action->len = packet->len;
        action->tag = plan->service[i]->tag;
        action->search_id = id;
        action->targets = &g_array_index(agent->search_targets,
                                         struct rp_endpoint, plan->first[i]);
        action->target_count = end - plan->first[i];
    }
}

bool
RpAgent_BeginSearch(struct rp_agent *agent, int64_t now,
                    const struct rp_flow *flow, const struct rp_packet *packet,
                    const struct rp_chain *chain, struct rp_actions *actions)
{
    struct search_plan plan = {.service_count = 0};
    bool maybe_own = flow && (flow->state != RP_FLOW_REDIRECTED ||
                              (flow->flags & RP_FLOW_MAYBE_AT_HOST));
    bool has_purpose =
        find_reset_reason(agent, now, packet) != RP_COUNT_DROP_NO_OWNER ||
        exceeds_chain(agent, RpFlowKey_Destination(packet->key));
    uint32_t id = 0;

    if (maybe_own || (packet->flags & RP_TCP_RST) || !has_purpose) {
        return false;
    }
    plan.agents = g_array_new(FALSE, FALSE, sizeof(struct rp_endpoint));
    if (make_plan(agent, RpFlowKey_Destination(packet->key), &plan) &&
        covers_chain(agent, &plan, chain) && plan.agents->len > 0) {
        id = RpOwnerSearch_Begin(agent->searches, now, packet, plan.agents);
    }
    if (id != 0) {
        add_search_actions(agent, &plan, packet, id, actions);
    }
    g_array_free(plan.agents, TRUE);
    return id != 0;
}

/* Returns what this agent knows about a flow that another agent searches. */
static enum rp_search_verdict
find_verdict(const struct rp_agent *agent, const struct rp_flow *flow)
{
    if (!flow) {
        return agent->knows_all_flows ? RP_SEARCH_NOT_OWNED : RP_SEARCH_UNSURE;
    }
    switch ((enum rp_flow_state)flow->state) {
    case RP_FLOW_REDIRECTED:
        return flow->flags & RP_FLOW_MAYBE_AT_HOST ? RP_SEARCH_UNSURE
                                                   : RP_SEARCH_NOT_OWNED;
    case RP_FLOW_SYN_SENT:
    case RP_FLOW_SYN_ANSWERED: /* another host may have answered, too */
    case RP_FLOW_QUERYING_HOST:
        return RP_SEARCH_UNSURE;
    default:
        return RP_SEARCH_OWNS;
    }
}

void
RpAgent_OnSearch(struct rp_agent *agent, int64_t now,
                 const struct rp_packet *packet,
                 const struct rp_geneve *geneve, struct rp_actions *actions)
{
    const struct rp_flow *flow = RpFlowTable_Find(agent->flows, packet->key);
    enum rp_search_verdict verdict = RP_SEARCH_UNSURE;

    RpAgent_BeginCall(agent, actions);
    if (agent->service) {
        if (geneve->tag.service_id != agent->service->tag.service_id ||
            geneve->tag.incarnation != agent->service->tag.incarnation) {
            RpAgent_AddAction(agent, actions, RP_ACTION_DROP,
                              RP_COUNT_DROP_WRONG_SERVICE);
            return;
        }
        verdict = find_verdict(agent, flow);
    }
    if (verdict == RP_SEARCH_OWNS) {
        struct rp_geneve found = *geneve;
        found.has_chain = true;
        found.chain.forced = true;
        RpAgent_FromCaller(agent, now, packet, &found, actions);
    }
    struct rp_action *action = RpAgent_AddAction(
        agent, actions, RP_ACTION_SEARCH_ANSWER, RP_COUNT_SEARCH_ANSWERED);
    action->next = geneve->searcher;
    action->search_id = geneve->search_id;
    action->verdict = verdict;
}

void
RpAgent_OnSearchAnswer(struct rp_agent *agent, int64_t now,
                       struct rp_endpoint from, const struct rp_geneve *geneve,
                       struct rp_actions *actions)
{
    struct rp_packet packet;

    RpAgent_BeginCall(agent, actions);
    enum rp_search_result result = RpOwnerSearch_Answer(
        agent->searches, now, geneve->search_id, from, geneve->verdict,
        &packet);
    if (result != RP_SEARCH_NO_OWNER || !agent->service) {
        return;
    }
    enum rp_counter reason = find_reset_reason(agent, now, &packet);
    if (reason != RP_COUNT_DROP_NO_OWNER) {
        RpAgent_ResetCaller(agent, actions, reason, &packet);
    }
}

void
RpAgent_TableUpdated(struct rp_agent *agent, int64_t now)
{
    uint64_t additions = RpTable_CountAdditions(agent->table);
    uint64_t revision = RpTable_Revision(agent->table);

    if (additions != agent->table_additions ||
        revision != agent->table_revision) {
        agent->table_additions = additions;
        agent->table_revision = revision;
        agent->table_changed_at = now;
    }
}

void
RpAgent_SetControlConnected(struct rp_agent *agent, bool connected)
{
    agent->control_connected = connected;
}

/* The host's mean utilisation, and notes about it to balancers. See
 * rp_load_average.h and rp_load_view.h. */
#include <stdlib.h>

#include "rp_agent_internal.h"

void
RpAgent_AccountLoad(struct rp_agent *agent, int64_t now)
{
    RpLoadAverage_Update(&agent->load_average, now, agent->busy_flows,
                         RpAgent_Load(agent, now).slots);
}

/* The utilisation that balancers are told: that of a full host if this one
 * takes no new flows. */
static uint8_t
utilisation_to_tell(const struct rp_agent *agent, int64_t now)
{
    bool takes_flows = !agent->draining &&
                       agent->host_state == RP_HOST_READY &&
                       agent->health.state == RP_HEALTH_HEALTHY &&
                       agent->request_health.state == RP_HEALTH_HEALTHY &&
                       RpColdStart_Allows(&agent->cold, now) &&
                       !RpTable_IsEvacuated(agent->table,
                                            &agent->config.zone) &&
                       agent->owned_flows < agent->service->flows_per_upstream;

    return takes_flows ? RpLoadAverage_Utilisation(&agent->load_average)
                       : RP_LOAD_MAX;
}

/* Returns the entry of the balancer at `origin`, or the one that was told
 * least recently. */
static struct rp_told_load *
find_told(struct rp_agent *agent, struct rp_endpoint origin)
{
    struct rp_told_load *oldest = &agent->told[0];

    for (size_t i = 0; i < RP_TOLD_BALANCERS; i++) {
        struct rp_told_load *told = &agent->told[i];
        if (RpEndpoint_Equal(told->balancer, origin)) {
            return told;
        }
        if (told->balancer.port == 0 || told->at < oldest->at) {
            oldest = told;
        }
    }
    return oldest;
}

void
RpAgent_NoteLoad(struct rp_agent *agent, int64_t now,
                 const struct rp_chain *chain, struct rp_actions *actions)
{
    if (chain->origin.port == 0) {
        return;
    }
    struct rp_told_load *told = find_told(agent, chain->origin);
    uint8_t utilisation = utilisation_to_tell(agent, now);
    bool is_known = RpEndpoint_Equal(told->balancer, chain->origin);
    bool differs = abs(utilisation - told->utilisation) >= RP_LOAD_STEP;
    if (is_known && now < told->at + (differs ? RP_LOAD_NOTE_MIN_US
                                              : RP_LOAD_NOTE_MAX_US)) {
        return;
    }
    *told = (struct rp_told_load){
        .balancer = chain->origin, .at = now, .utilisation = utilisation};
    struct rp_action *action = RpAgent_AddAction(
        agent, actions, RP_ACTION_LOAD_NOTE, RP_COUNT_LOAD_NOTE_SENT);
    action->next = chain->origin;
    action->load = (struct rp_load_note){
        .service_id = agent->service->tag.service_id,
        .utilisation = utilisation};
}

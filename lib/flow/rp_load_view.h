/* What a balancer knows of the load of agents' hosts, and the order in which
 * it asks a new flow's candidates.
 *
 * An agent that has decided on a new flow tells the balancer that sent it the
 * mean utilisation of its host (rp_load_average.h). What is known of a host is
 * always a little old, and other balancers choose at the same moment. So the
 * load changes the chance of a host and never decides: the weight by which
 * members are ranked for a flow is multiplied by the host's free capacity.
 * The flow's hash is the only source of chance, so copies of a packet find the
 * same order as long as the knowledge does not change.
 *
 * Knowledge ages: within RP_LOAD_LIFETIME_US a host's utilisation moves to the
 * mean of its group, which are the members in the preferred zone or those in
 * other zones. A host of which nothing is known counts as the mean.
 *
 * Which candidates a new flow has does not depend on loads, only their order:
 * packets of open flows have the same candidates, so that the owner is among
 * them whatever the balancers knew.
 *
 * Nothing here reads a clock: times are microseconds on the monotonic clock.
 */
#ifndef RP_LOAD_VIEW_H
#define RP_LOAD_VIEW_H

#include "rp_load_average.h"
#include "rp_table.h"

/* How long a report of a host's load counts. */
#define RP_LOAD_LIFETIME_US (4 * RP_US_PER_SECOND)
/* Most hosts of which the load is known. */
#define RP_LOAD_VIEW_MAX 8192

struct rp_load_view;

/* The mean utilisations of a service's members that take new flows, in units
 * of 1 / RP_LOAD_UNIT. */
struct rp_load_means {
    bool known;    /* something is known of a member */
    uint32_t home; /* members in the preferred zone */
    uint32_t away; /* members in other zones */
};

struct rp_load_view *RpLoadView_Create(void);

/* Frees the view; `view` may be NULL. */
void RpLoadView_Free(struct rp_load_view *view);

/* Stores what the agent at `agent` has told. Returns false if there is no room
 * for one more agent. */
bool RpLoadView_Put(struct rp_load_view *view, int64_t now,
                    struct rp_endpoint agent, const struct rp_load_note *note);

/* Returns the means of a service; they are up to 100 ms old. */
struct rp_load_means RpLoadView_Means(struct rp_load_view *view, int64_t now,
                                      const struct rp_service *service);

/* Returns the utilisation to be expected of a member. */
uint32_t RpLoadView_Utilisation(const struct rp_load_view *view, int64_t now,
                                const struct rp_service *service,
                                const struct rp_member *member,
                                const struct rp_load_means *means);

/* Orders the candidates for a new flow with this hash, at most
 * RP_ROUTE_MAX_CANDIDATES members of a service.
 *
 * With `spill`, members of other zones take part by how busy the own zone is:
 * their weight is multiplied by the square of its mean utilisation, the chance
 * that two of its hosts in turn have no free slot. So next to no flow leaves
 * an idle zone, and the part that leaves grows without a step. */
void RpLoadView_Order(struct rp_load_view *view, int64_t now,
                      const struct rp_service *service, uint64_t flow_hash,
                      bool spill, const struct rp_member **candidates,
                      size_t count);

/* Returns the number of hosts of which something was told, also long ago. */
size_t RpLoadView_Count(const struct rp_load_view *view);

#endif

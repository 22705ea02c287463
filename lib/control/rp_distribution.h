/* Distribution: which node has which table, and what it must be sent.
 *
 * Nodes (balancers and agents) subscribe over a connection, known here by a
 * number. A new subscriber gets a whole table, later only the services that
 * changed. Changes are gathered for RP_TABLE_BATCH_US so that a burst costs
 * each node one message. A node confirms the configuration revision that it
 * runs; what it has confirmed outlives its connection, so that a node that
 * is cut off still shows up as behind.
 */
#ifndef RP_DISTRIBUTION_H
#define RP_DISTRIBUTION_H

#include <glib.h>

#include "rp_catalog.h"
#include "rp_msg.h"
#include "rp_registry.h"

#define RP_TABLE_BATCH_US (50 * RP_US_PER_MS)
/* A node that has been away this long is forgotten. */
#define RP_NODE_KEEP_US (3600 * RP_US_PER_SECOND)
#define RP_NODE_MAX 65536
/* How long upstreams may take to be heard by a replica that has just
 * started: they notice the loss of another one (1.2 s), then try each of
 * the others. */
#define RP_GATHER_US (2500 * RP_US_PER_MS)

/* Called to send a message on a connection. */
typedef void (*RpDistribution_Send)(void *user, uint64_t connection,
                                    const struct rp_msg *msg);

struct rp_distribution;

/* `catalog` and `registry` are borrowed. */
struct rp_distribution *
RpDistribution_Create(const struct rp_catalog *catalog,
                      const struct rp_registry *registry,
                      RpDistribution_Send send, void *user);

void RpDistribution_Free(struct rp_distribution *distribution);

/* A node asks for its table. `hello` says who it is. */
void RpDistribution_Subscribe(struct rp_distribution *distribution,
                              int64_t now, uint64_t connection,
                              const struct rp_msg_hello *hello,
                              const struct rp_msg_subscribe *subscribe);

/* A node runs a revision; true if it is the newest and news. */
bool RpDistribution_Confirm(struct rp_distribution *distribution, int64_t now,
                            uint64_t connection, uint64_t revision);

/* The connection has ended. */
void RpDistribution_Disconnect(struct rp_distribution *distribution,
                               int64_t now, uint64_t connection);

/* The service's document or members changed. */
void RpDistribution_Touch(struct rp_distribution *distribution, int64_t now,
                          const struct rp_name *service);

/* The service is gone. */
void RpDistribution_Remove(struct rp_distribution *distribution, int64_t now,
                           const struct rp_name *service, uint32_t id);

/* Another edition is in force: works out which services and virtual
 * addresses differ. */
void RpDistribution_TouchEdition(struct rp_distribution *distribution,
                                 int64_t now);

/* Everything changed, as after a restored snapshot. */
void RpDistribution_TouchAll(struct rp_distribution *distribution,
                             int64_t now);

/* Whether this replica may give out first tables. While it may not, a
 * balancer that has no table yet waits; agents, and nodes that run a table
 * already, get this replica's if it is not older. */
void RpDistribution_SetFresh(struct rp_distribution *distribution, int64_t now,
                             bool fresh);

/* Tables say that members may be missing until `until`: agents take a moment
 * to find a replica that has just started. Then every node gets a whole
 * table. */
void RpDistribution_GatherUntil(struct rp_distribution *distribution,
                                int64_t until);

/* Sends what is due. Returns the next time at which something may be. */
int64_t RpDistribution_Flush(struct rp_distribution *distribution,
                             int64_t now);

/* The connections of nodes, as a list of uint64_t; free it. */
GArray *RpDistribution_Connections(const struct rp_distribution *distribution);

/* How often a first table was held back. */
uint64_t RpDistribution_Withheld(const struct rp_distribution *distribution);

/* The lowest revision that all connected nodes have confirmed (the
 * catalogue's own if there is no node). */
uint64_t
RpDistribution_LowestConfirmed(const struct rp_distribution *distribution);

/* A list of struct rp_msg_node_info, for a status message. */
GArray *RpDistribution_Nodes(const struct rp_distribution *distribution,
                             int64_t now);

#endif

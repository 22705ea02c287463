/* Sends service tables to nodes and tracks which revision each node runs.
 *
 * Nodes (balancers and agents) subscribe over a connection, which is
 * identified here by a number. A new subscriber gets a full table, and later
 * only updates with the services that changed. Changes are collected for
 * RP_TABLE_BATCH_US, so that a burst of changes costs one message per node.
 * Each node confirms the configuration revision that it runs. The confirmed
 * revision is kept after the connection closes, so that a disconnected node
 * is still listed as behind.
 *
 * All times are microseconds on one monotonic clock.
 */
#ifndef RP_DISTRIBUTION_H
#define RP_DISTRIBUTION_H

#include <glib.h>

#include "rp_catalog.h"
#include "rp_msg.h"
#include "rp_registry.h"

#define RP_TABLE_BATCH_US (50 * RP_US_PER_MS)
/* A node that stays disconnected this long is removed from the list. */
#define RP_NODE_RETENTION_US (3600 * RP_US_PER_SECOND)
#define RP_NODE_MAX 65536
/* A balancer that disconnected less than this long ago may have been cut off,
 * and still route by the table that it had. */
#define RP_NODE_ROUTING_US (600 * RP_US_PER_SECOND)
/* How long after its start a replica waits for agents to announce their
 * upstreams to it: agents need 1.2 s to detect that their replica is gone,
 * and then try each of the other replicas. */
#define RP_GATHERING_US (2500 * RP_US_PER_MS)

/* Sends a message on a connection. `msg` is valid only during the call. */
typedef void (*RpDistribution_Send)(void *user, uint64_t connection,
                                    const struct rp_msg *msg);

struct rp_distribution;

/* Creates a distribution without nodes. It borrows `catalog` and `registry`,
 * which must outlive it. `user` is passed to `send`. */
struct rp_distribution *
RpDistribution_Create(const struct rp_catalog *catalog,
                      const struct rp_registry *registry,
                      RpDistribution_Send send, void *user);

void RpDistribution_Free(struct rp_distribution *distribution);

/* Adds or updates the node that `hello` names and binds it to `connection`.
 * The next flush sends it a full table. A new node is ignored when
 * RP_NODE_MAX nodes are known. */
void RpDistribution_Subscribe(struct rp_distribution *distribution,
                              int64_t now, uint64_t connection,
                              const struct rp_msg_hello *hello,
                              const struct rp_msg_subscribe *subscribe);

/* Records that the node on `connection` runs `revision`. Returns true if this
 * is the catalogue's current revision and the node confirms it for the first
 * time. */
bool RpDistribution_Confirm(struct rp_distribution *distribution, int64_t now,
                            uint64_t connection, uint64_t revision);

/* Fills in a TABLE message with the whole table that a balancer gets. The
 * caller clears it with RpMsg_Clear. */
void RpDistribution_FillTable(struct rp_distribution *distribution,
                              struct rp_msg *msg);

/* Marks the node on `connection` as disconnected. */
void RpDistribution_Disconnect(struct rp_distribution *distribution,
                               int64_t now, uint64_t connection);

/* Schedules an update because the document or the members of `service`
 * changed. */
void RpDistribution_MarkServiceChanged(struct rp_distribution *distribution,
                                       int64_t now,
                                       const struct rp_name *service);

/* Schedules an update that removes the service with this name and id. */
void RpDistribution_MarkServiceRemoved(struct rp_distribution *distribution,
                                       int64_t now,
                                       const struct rp_name *service,
                                       uint32_t id);

/* Schedules an update because a new edition is in force: finds the services
 * and virtual addresses that differ from the previous edition. */
void RpDistribution_MarkEditionChanged(struct rp_distribution *distribution,
                                       int64_t now);

/* Schedules an update for every node because the evacuated data centres have
 * changed, and with them the revision. */
void RpDistribution_MarkZonesChanged(struct rp_distribution *distribution,
                                     int64_t now);

/* Schedules full tables for all nodes, for example after a snapshot was
 * restored. */
void RpDistribution_MarkAllChanged(struct rp_distribution *distribution,
                                   int64_t now);

/* Sets whether this replica's state is up to date. While it is not, a
 * balancer that has no table yet is not sent one. Agents, and balancers that
 * already run a table, still get this replica's table unless it is older
 * than theirs. */
void RpDistribution_SetFresh(struct rp_distribution *distribution, int64_t now,
                             bool fresh);

/* Marks tables as possibly lacking members (`gathering`) until the time
 * `until`, because agents need time to find a replica that has just started.
 * At that time every node is sent a full table. */
void RpDistribution_SetGatheringUntil(struct rp_distribution *distribution,
                                      int64_t until);

/* Sends the tables and updates that are due. Returns the time of the next
 * scheduled flush, or RP_NEVER. */
int64_t RpDistribution_Flush(struct rp_distribution *distribution,
                             int64_t now);

/* Lists the connections of all connected nodes as uint64_t. The caller frees
 * the array. */
GArray *
RpDistribution_ListConnections(const struct rp_distribution *distribution);

/* Returns how often a flush withheld a full table from a node, summed over all
 * nodes. */
uint64_t
RpDistribution_WithheldCount(const struct rp_distribution *distribution);

/* Returns the lowest of the catalogue's revision and the revisions that the
 * connected nodes have confirmed. */
uint64_t
RpDistribution_LowestConfirmed(const struct rp_distribution *distribution);

/* Returns the lowest of the catalogue's revision and the revisions that
 * balancers may still route by: those that are connected, and those that
 * disconnected less than RP_NODE_ROUTING_US ago. */
uint64_t
RpDistribution_LowestRouted(const struct rp_distribution *distribution,
                            int64_t now);

/* Lists all known nodes as struct rp_msg_node_info, for a STATUS message. The
 * caller frees the array. */
GArray *RpDistribution_ListNodes(const struct rp_distribution *distribution,
                                 int64_t now);

#endif

/* Decides whether a replica accepts nodes, and when it disconnects its nodes
 * so that they connect to another replica.
 *
 *   no log    The replica has no state and does not know the addresses of the
 *             other replicas, because it has lost its disk or has not joined
 *             yet. It accepts no nodes.
 *   cut off   The replica has a log, but its state is not confirmed by a
 *             majority. It keeps its nodes for RP_DISCONNECT_WAIT_MIN_US, the
 *             longest time that an election takes. After that it disconnects
 *             them at increasing intervals, because the other replicas may
 *             be cut off too.
 *   fresh     The replica's state is confirmed by a majority. It keeps its
 *             nodes.
 *
 * All times are microseconds on one monotonic clock.
 */
#ifndef RP_DISCONNECT_POLICY_H
#define RP_DISCONNECT_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_time.h"

/* First wait before nodes are disconnected: twice RP_ELECTION_TIMEOUT_US, the
 * longest time that a replica waits before it asks for votes. */
#define RP_DISCONNECT_WAIT_MIN_US (1 * RP_US_PER_SECOND)
/* Longest wait. The waits double and reach this value after five minutes, so
 * that nodes are disconnected about 20 times in one hour, the time for which
 * regions may lose contact with each other. */
#define RP_DISCONNECT_WAIT_MAX_US (300 * RP_US_PER_SECOND)

struct rp_disconnect_policy {
    bool has_log;
    bool fresh;
    int64_t cut_off_since;
    int64_t next_disconnect; /* when nodes are disconnected next */
};

/* Initialises the state of a replica that has just started: no log, and cut
 * off. */
void RpDisconnectPolicy_Init(struct rp_disconnect_policy *policy, int64_t now);

/* Sets whether the replica has a log and is fresh. Returns true if it became
 * fresh or cut off. */
bool RpDisconnectPolicy_Update(struct rp_disconnect_policy *policy,
                               int64_t now, bool has_log, bool fresh);

/* Returns whether a node that subscribes now is accepted. */
bool
RpDisconnectPolicy_AcceptsNodes(const struct rp_disconnect_policy *policy);

/* Returns whether all nodes must be disconnected now, and schedules the next
 * time. Without a log it returns true at each call. */
bool RpDisconnectPolicy_ShouldDisconnect(struct rp_disconnect_policy *policy,
                                         int64_t now);

#endif

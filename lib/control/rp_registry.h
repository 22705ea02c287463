/* The registry: which upstreams have announced themselves.
 *
 * Announcements are soft state. Each replica keeps the newest one of each
 * upstream by the total order (incarnation, sequence, state, bytes), so
 * merging is commutative, associative and idempotent and needs no leader.
 *
 * An upstream is heard by the one replica that its agent is connected to;
 * there its lease must be renewed. The other replicas are told only what
 * changes: for them it is there as long as that replica is heard and does
 * not say that the lease is over. So renewals cost nothing between replicas.
 *
 * An upstream out of lease is LOST and dropped after
 * RP_REGISTRY_LOST_KEEP_US.
 */
#ifndef RP_REGISTRY_H
#define RP_REGISTRY_H

#include <glib.h>

#include "rp_msg.h"
#include "rp_time.h"

#define RP_LEASE_MIN_MS 500
#define RP_LEASE_MAX_MS 60000
/* How long flows may still be looked for at a lost upstream. */
#define RP_REGISTRY_LOST_KEEP_US (600 * RP_US_PER_SECOND)
#define RP_REGISTRY_MAX 65536 /* upstreams */
/* How long the upstreams of a replica that is not heard any more may take
 * to be heard by another one. */
#define RP_REGISTRY_MOVE_US (10 * RP_US_PER_SECOND)

/* One upstream. */
struct rp_upstream {
    struct rp_msg_announce last;
    enum rp_upstream_state state; /* LOST once the lease is over */
    int64_t lease_deadline;
    int64_t drop_deadline; /* of a lost one */
    struct rp_name via;    /* replica that hears it; empty: this one */
};

enum rp_registry_change {
    RP_REGISTRY_STALE,   /* older than what is known: not taken */
    RP_REGISTRY_RENEWED, /* taken; nothing that a table shows changed */
    RP_REGISTRY_CHANGED, /* taken; tables must change */
    RP_REGISTRY_REFUSED  /* not acceptable, or the registry is full */
};

struct rp_registry;

struct rp_registry *RpRegistry_Create(void);

void RpRegistry_Free(struct rp_registry *registry);

/* Merges an announcement; `via` is the replica that passed it on, or NULL
 * if it came from the agent itself. */
enum rp_registry_change RpRegistry_Merge(struct rp_registry *registry,
                                         int64_t now,
                                         const struct rp_msg_announce *news,
                                         const struct rp_name *via);

/* Another replica was heard: what it vouches for goes on. */
void RpRegistry_ReplicaSeen(struct rp_registry *registry, int64_t now,
                            const struct rp_name *replica);

/* Says whether this replica hears the others. While it is cut off, what it
 * knows through others stays as it is: their silence says nothing. */
void RpRegistry_SetCutOff(struct rp_registry *registry, int64_t now,
                          bool cut_off);

/* Handles at most one lease or entry whose time is over. `*over` gets its
 * last announcement, with state LOST when its lease ended and GONE when it
 * was dropped. Call it until it returns false. */
bool RpRegistry_Expire(struct rp_registry *registry, int64_t now,
                       struct rp_msg_announce *over);

/* An upstream by name, or NULL. */
const struct rp_upstream *RpRegistry_Find(const struct rp_registry *registry,
                                          const struct rp_name *upstream);

/* The upstreams of a service (all if `service` is NULL), ordered by name;
 * free with g_ptr_array_unref. */
GPtrArray *RpRegistry_List(const struct rp_registry *registry,
                           const struct rp_name *service);

/* Total order of two announcements of one upstream: below, at or above 0. */
int RpAnnounce_Compare(const struct rp_msg_announce *a,
                       const struct rp_msg_announce *b);

#endif

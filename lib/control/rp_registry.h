/* The registry: which upstreams have announced themselves.
 *
 * Announcements are soft state. Each replica keeps the newest one of each
 * upstream by the total order (incarnation, sequence, bytes), so merging is
 * commutative, associative and idempotent and needs no leader. A lease
 * gives each announcement an end; an upstream out of lease is LOST and is
 * dropped after RP_REGISTRY_LOST_KEEP_US.
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

/* One upstream. */
struct rp_upstream {
    struct rp_msg_announce last;
    enum rp_upstream_state state; /* LOST once the lease is over */
    int64_t lease_deadline;
    int64_t drop_deadline; /* of a lost one */
    bool direct;           /* heard from its agent, not from a replica */
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

/* Merges an announcement. `direct`: it came from the agent itself. */
enum rp_registry_change RpRegistry_Merge(struct rp_registry *registry,
                                         int64_t now,
                                         const struct rp_msg_announce *news,
                                         bool direct);

/* Says whether this replica hears the others. While it is cut off, leases
 * of upstreams that it knows through others do not run out: their silence
 * says nothing. When it hears them again, those get a whole new lease. */
void RpRegistry_SetCutOff(struct rp_registry *registry, int64_t now,
                          bool cut_off);

/* Handles at most one lease or entry whose time is over; its service goes
 * to `*service`. Call it until it returns false. */
bool RpRegistry_Expire(struct rp_registry *registry, int64_t now,
                       struct rp_name *service);

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

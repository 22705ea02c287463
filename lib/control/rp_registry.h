/* The registry of the upstreams that agents have announced.
 *
 * Announcements are soft state: they are not in the replicated log. Each
 * replica keeps the newest announcement of each upstream. RpAnnounce_Compare
 * defines a total order, so merging announcements is commutative,
 * associative and idempotent and needs no leader.
 *
 * An agent is connected to one replica, and renews the lease of its upstream
 * there. That replica forwards only changes to the other replicas. They keep
 * the upstream as long as they receive messages from that replica and it does
 * not report the lease as expired. So renewals cause no traffic between
 * replicas.
 *
 * An upstream whose lease has expired is LOST, and is removed after
 * RP_REGISTRY_LOST_RETENTION_US.
 *
 * All times are microseconds on one monotonic clock.
 */
#ifndef RP_REGISTRY_H
#define RP_REGISTRY_H

#include <glib.h>

#include "rp_msg.h"
#include "rp_time.h"

#define RP_LEASE_MIN_MS 500
#define RP_LEASE_MAX_MS 60000
/* How long a lost upstream stays listed, so that its agent can still be asked
 * for its open flows. */
#define RP_REGISTRY_LOST_RETENTION_US (600 * RP_US_PER_SECOND)
#define RP_REGISTRY_MAX 65536 /* upstreams */
/* How long after the latest message from a replica its upstreams stay valid,
 * so that their agents can connect to another replica and announce them. */
#define RP_REGISTRY_RECONNECT_US (10 * RP_US_PER_SECOND)

/* One upstream. */
struct rp_upstream {
    struct rp_msg_announce last_announce;
    enum rp_upstream_state state; /* LOST once the lease has expired */
    int64_t lease_deadline;
    int64_t removal_deadline; /* when a LOST or GONE upstream is removed */
    /* The replica that the agent is connected to; empty: this replica. */
    struct rp_name source_replica;
};

enum rp_registry_change {
    RP_REGISTRY_STALE,   /* ignored: not newer than the stored announcement */
    RP_REGISTRY_RENEWED, /* stored; tables stay the same */
    RP_REGISTRY_CHANGED, /* stored; tables or other replicas need an update */
    RP_REGISTRY_REFUSED  /* ignored: invalid, or the registry is full */
};

struct rp_registry;

struct rp_registry *RpRegistry_Create(void);

void RpRegistry_Free(struct rp_registry *registry);

/* Decides what an announcement means that an agent sends before it has heard
 * its host (RP_UPSTREAM_UNHEARD): if the same upstream is known to serve or to
 * be lost, its host may live on beside a new agent, and it is draining until
 * the host is heard. Writes that announcement to `*resolved` and returns true.
 * Returns false if nothing is known, or if the upstream has signed off or
 * belonged to another service or address: an agent without a host is no
 * upstream. */
bool RpRegistry_ResolveUnheard(const struct rp_registry *registry,
                               const struct rp_msg_announce *announce,
                               struct rp_msg_announce *resolved);

/* Merges an announcement. `source_replica` is the replica that forwarded it,
 * or NULL if it came from the agent itself. */
enum rp_registry_change
RpRegistry_Merge(struct rp_registry *registry, int64_t now,
                 const struct rp_msg_announce *announce,
                 const struct rp_name *source_replica);

/* Records a message from another replica, which keeps the upstreams that it
 * forwarded valid. */
void RpRegistry_RecordReplicaMessage(struct rp_registry *registry, int64_t now,
                                     const struct rp_name *replica);

/* Sets whether this replica is cut off from the majority of replicas. While
 * it is, upstreams that other replicas forwarded do not expire, because
 * missing messages then do not mean that the upstreams are gone. */
void RpRegistry_SetCutOff(struct rp_registry *registry, int64_t now,
                          bool cut_off);

/* Tells the registry that this process did not run for the last `pause`
 * microseconds. Announcements of that time have not been read yet, so leases
 * that agents renew here, and the messages of other replicas, get that time in
 * addition. */
void RpRegistry_RecordPause(struct rp_registry *registry, int64_t now,
                            int64_t pause);

/* Handles at most one upstream whose deadline has passed and returns true if
 * there was one. `*expired` receives its latest announcement, with state LOST
 * if its lease expired and GONE if it was removed. Call it until it returns
 * false. */
bool RpRegistry_Expire(struct rp_registry *registry, int64_t now,
                       struct rp_msg_announce *expired);

/* Returns the upstream with this name, or NULL. The registry owns it. */
const struct rp_upstream *RpRegistry_Find(const struct rp_registry *registry,
                                          const struct rp_name *upstream);

/* Lists the upstreams of a service, or all if `service` is NULL, ordered by
 * name. The registry owns the elements; free the array with
 * g_ptr_array_unref. */
GPtrArray *RpRegistry_List(const struct rp_registry *registry,
                           const struct rp_name *service);

/* Compares two announcements of one upstream by incarnation, then sequence,
 * then state, then the remaining members. Returns a value below 0, 0, or
 * above 0 if `a` is older than, equal to, or newer than `b`. */
int RpAnnounce_Compare(const struct rp_msg_announce *a,
                       const struct rp_msg_announce *b);

#endif

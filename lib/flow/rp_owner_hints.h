/* What a balancer was told about owners of open flows.
 *
 * A packet of a flow goes from candidate to candidate until it meets the
 * owner, and is lost if one of them is stopped. The owner of a flow whose
 * packet took such a way tells the balancer that sent it, which then sends
 * the flow's packets to the owner first.
 *
 * This is soft state. The table has a fixed size, and a hint takes the place
 * of one that was not used for longer; a flow without a hint is routed as
 * ever. A hint is of one flow: a SYN with the same addresses and ports, a
 * packet whose sequence number is not near the flow's last one, or a reset
 * clears it. Times are microseconds on the monotonic clock. */
#ifndef RP_OWNER_HINTS_H
#define RP_OWNER_HINTS_H

#include <stdint.h>

#include "rp_endpoint.h"
#include "rp_geneve.h"
#include "rp_packet.h"
#include "rp_time.h"

/* Flows with a hint: a balancer of the target's size has about 30,000 open
 * flows, of which those that their first candidate owns need none. */
#define RP_OWNER_HINTS_MAX 16384
/* Hints with the same remainder of the hash. */
#define RP_OWNER_HINTS_BUCKET 4
/* How long a hint is kept without a packet of its flow. */
#define RP_OWNER_HINT_LIFETIME_US (120 * RP_US_PER_SECOND)
/* How far apart the sequence numbers of two successive packets of a flow may
 * be, in bytes: above what a caller has in flight, and far below what chance
 * gives for two flows with the same addresses and ports. */
#define RP_OWNER_HINT_SEQ_SPAN (INT32_C(1) << 20)

/* The agent that owns a flow, and the service of its host. */
struct rp_owner {
    struct rp_endpoint agent;
    uint32_t service_id;
};

struct rp_owner_hints;

struct rp_owner_hints *RpOwnerHints_Create(void);

/* Frees the hints; `hints` may be NULL. */
void RpOwnerHints_Free(struct rp_owner_hints *hints);

/* Stores a hint that the agent at `agent` has sent. `hash` is the hash of the
 * flow. */
void RpOwnerHints_Put(struct rp_owner_hints *hints, int64_t now, uint64_t hash,
                      const struct rp_owner_hint *hint,
                      struct rp_endpoint agent);

/* Returns the owner of a caller's packet's flow, or NULL if there is no hint.
 * The pointer is valid until the next call. `hash` is as above. */
const struct rp_owner *RpOwnerHints_Find(struct rp_owner_hints *hints,
                                         int64_t now, uint64_t hash,
                                         const struct rp_packet *packet);

#endif

/* When the former targets of virtual addresses may be forgotten.
 *
 * A former target is kept until no open flow can be left that was placed by a
 * table in which it was a target. Balancers place new flows, and one that was
 * paused or cut off goes on with the table that it had. So the lifetime of
 * flows counts from when every balancer has a table of the change.
 *
 * The leader of the replicas decides this, with a clock of its own; another
 * leader starts anew, which only makes it later.
 *
 * All times are microseconds on one monotonic clock.
 */
#ifndef RP_FORMER_EXPIRY_H
#define RP_FORMER_EXPIRY_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_time.h"

/* How long a SYN that a balancer sent by its previous table may wait at an
 * agent that is paused before it opens a flow. */
#define RP_FORMER_SYN_DELAY_US (10 * RP_US_PER_SECOND)

/* Zero it to start anew. */
struct rp_former_expiry {
    uint64_t revision; /* former targets up to it wait; 0: none */
    int64_t deadline;  /* when they may be forgotten */
};

/* Call it about once a second. `newest` is the highest revision at which a
 * former target was recorded (0: there is none), `routed` the lowest revision
 * that any balancer may still route by, and `flow_lifetime` how long a flow
 * may live. Returns the revision up to which former targets are to be
 * forgotten now, 0 if there are none. */
uint64_t RpFormerExpiry_Update(struct rp_former_expiry *expiry, int64_t now,
                               uint64_t newest, uint64_t routed,
                               int64_t flow_lifetime);

#endif

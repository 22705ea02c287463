/* The flow table of an agent: what it knows of each flow of its service.
 *
 * Open addressing in RP_FLOW_SHARDS separately growing parts, so that no
 * single growth step moves more than a small share of the entries. Entries
 * move when others are added or removed: a pointer is valid only until the
 * next RpFlowTable_Insert or RpFlowTable_Remove.
 */
#ifndef RP_FLOW_TABLE_H
#define RP_FLOW_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_packet.h"

#define RP_FLOW_SHARDS 64 /* a power of two */

/* Flag bits of a flow. */
#define RP_FLOW_KNOWS_CALLER_ISN 0x01
#define RP_FLOW_KNOWS_HOST_ISN 0x02
#define RP_FLOW_BUSY 0x04     /* a request is outstanding */
#define RP_FLOW_PROBED 0x08   /* both ends were probed, no answer yet */
#define RP_FLOW_OWNED 0x10    /* counts against the limits here */
#define RP_FLOW_RESERVED 0x20 /* busy for a request that has not come yet */
#define RP_FLOW_UNSURE 0x40   /* passed on, but may be the host's own */
#define RP_FLOW_ORPHAN 0x80   /* nobody has it, since `host_seen` */
#define RP_FLOW_GATED 0x100   /* its request waits at the gate */
#define RP_FLOW_INSIDE 0x200  /* its request is counted by the gate */
#define RP_FLOW_INSIDE_LONG 0x400 /* and counted as long */
#define RP_FLOW_LONG 0x800        /* its last answer took long */
#define RP_FLOW_AWAITED 0x1000    /* no byte of the answer has come yet */
#define RP_FLOW_UNQUEUED 0x2000   /* a slot was free when its request came */

/* One flow. Times are in microseconds on the monotonic clock. */
struct rp_flow {
    struct rp_flow_key caller;
    uint8_t state; /* enum rp_flow_state; 0 marks a free place */
    uint16_t flags;
    uint32_t caller_isn;
    uint32_t host_isn;
    uint32_t caller_next;  /* end of what the caller sent */
    uint32_t host_next;    /* end of what the host sent */
    uint32_t host_acked;   /* what the host acknowledged */
    uint32_t caller_acked; /* what the caller acknowledged */
    int64_t deadline;      /* of the state's timer */
    int64_t caller_seen;
    int64_t host_seen;
    int64_t request_since;       /* when the outstanding request went in */
    struct rp_endpoint next_hop; /* of a redirected flow */
};

struct rp_flow_table;

/* `seed` keys the table's own hash. */
struct rp_flow_table *RpFlowTable_Create(uint64_t seed);

void RpFlowTable_Free(struct rp_flow_table *table);

/* The flow of a caller, or NULL. */
struct rp_flow *RpFlowTable_Find(struct rp_flow_table *table,
                                 struct rp_flow_key caller);

/* A new zeroed entry for a caller that has none; the caller of this
 * function sets its state. */
struct rp_flow *RpFlowTable_Insert(struct rp_flow_table *table,
                                   struct rp_flow_key caller);

/* Removes an entry. */
void RpFlowTable_Remove(struct rp_flow_table *table, struct rp_flow *flow);

/* How many entries there are, and the bytes that the table takes. */
size_t RpFlowTable_Count(const struct rp_flow_table *table);
size_t RpFlowTable_Bytes(const struct rp_flow_table *table);

/* Copies the callers of up to `max` entries whose deadline has passed,
 * looking at up to `budget` places from where the last call ended. Returns
 * how many. */
size_t RpFlowTable_Due(struct rp_flow_table *table, int64_t now, size_t budget,
                       struct rp_flow_key *out, size_t max);

/* Appends the keys of the flows that have any of the flag bits to `out`, a
 * list of struct rp_flow_key. */
void RpFlowTable_Collect(const struct rp_flow_table *table, uint16_t flags,
                         GArray *out);

/* How many places there are, free ones included. */
size_t RpFlowTable_Places(const struct rp_flow_table *table);

#endif

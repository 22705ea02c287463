/* The flow table of an agent: the state of each flow of its service.
 *
 * The table uses open addressing in RP_FLOW_SHARDS shards that grow
 * separately, so that one growth step moves only a small part of the entries.
 * Entries move when others are added or removed: a pointer is valid only
 * until the next RpFlowTable_Insert or RpFlowTable_Remove.
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
/* The initial sequence numbers are known. */
#define RP_FLOW_KNOWS_CALLER_ISN 0x01
#define RP_FLOW_KNOWS_HOST_ISN 0x02
/* A request is outstanding. */
#define RP_FLOW_BUSY 0x04
/* Both ends were probed and have not answered yet. */
#define RP_FLOW_PROBED 0x08
/* The flow counts against the limits of this agent. */
#define RP_FLOW_OWNED 0x10
/* A slot is reserved for the first request, which has not arrived yet. The
 * flow also has RP_FLOW_BUSY. */
#define RP_FLOW_RESERVED 0x20
/* The flow is redirected to another agent, or the host has not answered its
 * SYN in time, but this agent's host may have it open. */
#define RP_FLOW_MAYBE_AT_HOST 0x40
/* No owner has been found since `host_seen`. */
#define RP_FLOW_OWNER_UNKNOWN 0x80
/* The request waits for a slot (rp_request_queue.h). */
#define RP_FLOW_QUEUED 0x100
/* The request was started (rp_request_queue.h). */
#define RP_FLOW_STARTED 0x200
/* The request was started as a long one. */
#define RP_FLOW_STARTED_LONG 0x400
/* The last answer was slow, so the next request counts as long. */
#define RP_FLOW_EXPECT_LONG 0x800
/* The first byte of the answer has not arrived yet. */
#define RP_FLOW_AWAITS_ANSWER 0x1000
/* A slot was free when the request arrived. */
#define RP_FLOW_FOUND_FREE_SLOT 0x2000

/* One flow. Times are in microseconds on the monotonic clock. */
struct rp_flow {
    struct rp_flow_key caller; /* the key; its source is the caller */
    uint8_t state;             /* enum rp_flow_state; 0 marks a free bucket */
    uint16_t flags;
    uint32_t caller_isn;
    uint32_t host_isn;
    uint32_t caller_next;  /* next sequence number of the caller */
    uint32_t host_next;    /* next sequence number of the host */
    uint32_t host_acked;   /* highest acknowledgement from the host */
    uint32_t caller_acked; /* highest acknowledgement from the caller */
    int64_t deadline;      /* of the state's timer */
    int64_t caller_seen;   /* time of the caller's last packet */
    int64_t host_seen;     /* time of the host's last packet */
    int64_t request_since; /* when the request arrived or, after it has waited
                            * in the request queue, when it started */
    struct rp_endpoint next_hop; /* agent that a redirected flow goes to */
};

struct rp_flow_table;

/* Creates an empty table. `seed` keys its hash function. Release it with
 * RpFlowTable_Free. */
struct rp_flow_table *RpFlowTable_Create(uint64_t seed);

void RpFlowTable_Free(struct rp_flow_table *table);

/* Returns the flow of `caller`, or NULL. */
struct rp_flow *RpFlowTable_Find(struct rp_flow_table *table,
                                 struct rp_flow_key caller);

/* Adds an entry for `caller`, which must not have one. All its members but
 * `caller` and `state` are zero; the calling function must set `state`. */
struct rp_flow *RpFlowTable_Insert(struct rp_flow_table *table,
                                   struct rp_flow_key caller);

/* Removes an entry of the table. */
void RpFlowTable_Remove(struct rp_flow_table *table, struct rp_flow *flow);

/* Returns the number of entries. */
size_t RpFlowTable_Count(const struct rp_flow_table *table);

/* Returns the memory that the table occupies, in bytes. */
size_t RpFlowTable_Bytes(const struct rp_flow_table *table);

/* Copies the keys of up to `max` entries whose deadline has passed to `out`.
 * Examines up to `budget` buckets, from where the last call ended, so that
 * repeated calls cover the whole table. Moving on to the next shard also
 * counts as one bucket. Returns the number of keys. */
size_t RpFlowTable_CollectExpired(struct rp_flow_table *table, int64_t now,
                                  size_t budget, struct rp_flow_key *out,
                                  size_t max);

/* Appends the keys of the flows that have any of `flags` to `out`, an array
 * of struct rp_flow_key. */
void RpFlowTable_CollectFlagged(const struct rp_flow_table *table,
                                uint16_t flags, GArray *out);

/* Returns the number of buckets, including free ones. */
size_t RpFlowTable_CountBuckets(const struct rp_flow_table *table);

#endif

/* Service tables: where a packet may go.
 *
 * A table holds, for each service, its members (upstreams and their
 * agents). The candidates of a flow are ranked by weighted rendezvous
 * hashing: each member's score depends only on the flow, the member's name
 * and its slots, so one member's change moves only its own flows, and every
 * instance with the same members ranks them alike.
 *
 * Configuration only goes upwards: a message with a lower revision than the
 * table's own is refused.
 */
#ifndef RP_TABLE_H
#define RP_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rp_endpoint.h"
#include "rp_error.h"
#include "rp_geneve.h"
#include "rp_msg.h"
#include "rp_packet.h"

#define RP_CHAIN_LENGTH 3 /* candidates that a balancer names */

/* Sets of member states, for RpService_Rank. */
#define RP_MEMBERS_READY (1u << RP_UPSTREAM_READY)
#define RP_MEMBERS_SERVING                                                    \
    (1u << RP_UPSTREAM_READY | 1u << RP_UPSTREAM_DRAINING)
#define RP_MEMBERS_LOST (1u << RP_UPSTREAM_LOST)

/* One upstream with its agent. */
struct rp_member {
    struct rp_name name;
    struct rp_endpoint agent;
    uint32_t slots;
    uint32_t inverse_slots; /* 2^32 / weighted slots, for the score */
    uint64_t seed;
    enum rp_upstream_state state;
    bool is_near; /* in the zone that is preferred */
};

/* A virtual address of the edition in force: a service takes flows there in
 * proportion to its weight. A service's own address leads to it alone and
 * needs no such entry. */
struct rp_vip {
    struct rp_endpoint address;
    enum rp_request_kind kind;
    uint32_t priority; /* 0 is the highest */
    uint32_t timeout_ms;
    uint32_t target_ms; /* latency that callers hope for */
    uint32_t weight_sum;
    size_t count;
    struct rp_msg_target *targets;
};

/* One service and its members. An address of port 0 is none: the service
 * is reached through virtual addresses only. */
struct rp_service {
    struct rp_name name;
    struct rp_endpoint address;
    struct rp_service_tag tag;
    uint32_t flows_per_upstream;
    uint32_t retries_percent;
    uint32_t silence_ms;
    uint32_t long_slots_percent;
    size_t count;
    struct rp_member *members;
};

struct rp_table;

/* An empty table. */
struct rp_table *RpTable_Create(void);

void RpTable_Free(struct rp_table *table);

/* Members in this zone count `weight` times as much as others when flows
 * are placed. To be set before the first table comes. */
void RpTable_PreferZone(struct rp_table *table, const struct rp_name *zone,
                        uint32_t weight);

/* Takes a whole table or a change from control. Refuses a lower revision
 * with RP_ERR_CONFLICT and then changes nothing. */
enum rp_code RpTable_Apply(struct rp_table *table,
                           const struct rp_msg_table *update);

/* Whether the table may lack members, since it comes from a replica that
 * has just started. */
bool RpTable_IsGathering(const struct rp_table *table);

/* The configuration revision in force; 0 before the first table. */
uint64_t RpTable_Revision(const struct rp_table *table);

/* How many services there are. */
size_t RpTable_Count(const struct rp_table *table);

/* The service at an address, or NULL. */
const struct rp_service *RpTable_Find(const struct rp_table *table,
                                      struct rp_endpoint address);

/* The virtual address, or NULL if there is none (a service may have the
 * address itself). */
const struct rp_vip *RpTable_FindVip(const struct rp_table *table,
                                     struct rp_endpoint address);

/* The service that a new flow to `address` goes to: the one that has the
 * address, else the one that the flow's hash draws from the virtual
 * address's targets. NULL if nothing is served there. */
const struct rp_service *RpTable_Resolve(const struct rp_table *table,
                                         struct rp_endpoint address,
                                         uint64_t flow_hash);

/* The service with this id, or NULL. */
const struct rp_service *RpTable_FindId(const struct rp_table *table,
                                        uint32_t id);

/* The service of a name, or NULL. */
const struct rp_service *RpTable_FindName(const struct rp_table *table,
                                          const struct rp_name *name);

/* The flow's keyed hash (SipHash-2-4), the same at every instance. `key` is
 * the flow as its caller names it. */
uint64_t RpTable_HashFlow(const struct rp_table *table,
                          struct rp_flow_key key);

/* Writes up to `max` members whose state is in `states`, best first.
 * Returns how many. */
size_t RpService_Rank(const struct rp_service *service, uint64_t flow_hash,
                      unsigned states, const struct rp_member **out,
                      size_t max);

#endif

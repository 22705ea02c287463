/* The service table of a balancer or an agent: services, virtual addresses
 * and the members that serve them.
 *
 * For each service the table holds its members (upstreams and their agents).
 * Weighted rendezvous hashing ranks the members for a flow: a member's score
 * depends only on the flow, the member's name and its weight. When one member
 * changes, only flows to or from that member move, and all instances with the
 * same members and the same preferred zone rank them alike.
 *
 * The revision of a table never decreases: a message with a lower revision is
 * refused.
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

/* Most candidates that a balancer lists for a flow. */
#define RP_ROUTE_MAX_CANDIDATES 3

/* Bit sets of member states, for RpService_RankMembers. Members in evacuated
 * data centres are ranked only with RP_MEMBERS_EVACUATED: they get no new
 * flows, and serve their open ones. */
#define RP_MEMBERS_EVACUATED (1u << 8)
#define RP_MEMBERS_READY (1u << RP_UPSTREAM_READY)
#define RP_MEMBERS_SERVING                                                    \
    (1u << RP_UPSTREAM_READY | 1u << RP_UPSTREAM_DRAINING |                   \
     RP_MEMBERS_EVACUATED)
#define RP_MEMBERS_LOST (1u << RP_UPSTREAM_LOST | RP_MEMBERS_EVACUATED)

/* One upstream of a service and the agent in front of it. */
struct rp_member {
    struct rp_name name;
    struct rp_endpoint agent;
    uint32_t slots;          /* requests that it serves at once */
    uint32_t inverse_weight; /* 2^32 / (slots * zone weight) */
    uint64_t name_hash;
    enum rp_upstream_state state;
    bool in_preferred_zone;
    bool evacuated; /* its data centre is */
    uint32_t zone;  /* index in the table's list of data centres */
};

/* A virtual address of the configuration in force. Flows to it are
 * divided among its target services in proportion to their weights. A target
 * with weight 0 gets no new flows, but may still have open ones from an
 * earlier configuration. The address of a service itself needs no such entry.
 */
struct rp_vip {
    struct rp_endpoint address;
    enum rp_request_kind kind;
    uint32_t priority; /* 0 is the highest */
    uint32_t timeout_ms;
    uint32_t target_ms; /* target latency of requests; 0: unknown */
    uint32_t weight_sum;
    size_t count;
    struct rp_msg_target *targets;
};

/* One service and its members. Port 0 means that the service has no address
 * of its own and is reached through virtual addresses only. */
struct rp_service {
    struct rp_name name;
    struct rp_endpoint address;
    struct rp_service_tag tag;
    uint32_t flows_per_upstream; /* most open flows of one upstream */
    uint32_t retries_percent;    /* retries per 100 admitted flows */
    uint32_t silence_ms; /* how long an end may owe an acknowledgement */
    uint32_t long_slots_percent; /* slots that long requests may occupy */
    uint32_t warmup_ms; /* cold start of hosts that do not report theirs */
    uint32_t cold_per_1000_s; /* new flows of a cold host per 1,000 s; 0: any
                               * number */
    size_t count;
    struct rp_member *members;
};

struct rp_table;

/* Creates an empty table. Release it with RpTable_Free. */
struct rp_table *RpTable_Create(void);

void RpTable_Free(struct rp_table *table);

/* Multiplies the weight of the members in `zone` by `weight` (at least 1)
 * when members are ranked. Call it before the first RpTable_Apply: members
 * that the table has already keep their weights. */
void RpTable_PreferZone(struct rp_table *table, const struct rp_name *zone,
                        uint32_t weight);

/* Applies a whole table or a change from control. Returns RP_ERR_CONFLICT
 * and changes nothing if the update's revision is lower than the table's.
 *
 * A service in the update replaces the service with the same id. If the
 * update is marked `gathering`, members that only the old service has are
 * kept. The evacuated data centres are replaced by those of the update, and
 * kept if it comes from a replica that does not know them. */
enum rp_code RpTable_Apply(struct rp_table *table,
                           const struct rp_msg_table *update);

/* Returns whether the table may lack members because the control replica
 * that sent it has just started and has not heard from all upstreams yet. */
bool RpTable_MayLackMembers(const struct rp_table *table);

/* Returns whether the table surely lists every upstream that may have open
 * flows. It does not if the control replica that sent it has just started or
 * is cut off from the others, or if a replica that lost its memory has not
 * heard again of an upstream that the table had before. */
bool RpTable_IsAuthoritative(const struct rp_table *table);

/* Returns whether the table may lack members and never was complete: this
 * process and the control replica have both just started. */
bool RpTable_IsFirst(const struct rp_table *table);

/* Returns how many members updates have added in all. */
uint64_t RpTable_CountAdditions(const struct rp_table *table);

/* Returns whether the operator has evacuated this data centre. */
bool RpTable_IsEvacuated(const struct rp_table *table,
                         const struct rp_name *zone);

/* Lists the evacuated data centres as struct rp_msg_zone; the table owns the
 * list. */
const GArray *RpTable_Evacuated(const struct rp_table *table);

/* Returns how many updates have changed the evacuated data centres. */
uint64_t RpTable_CountEvacuationChanges(const struct rp_table *table);

/* Returns the configuration revision in force; 0 before the first table. */
uint64_t RpTable_Revision(const struct rp_table *table);

/* Returns the number of services. */
size_t RpTable_CountServices(const struct rp_table *table);

/* Returns the service whose own address is `address`, or NULL. */
const struct rp_service *RpTable_FindByAddress(const struct rp_table *table,
                                               struct rp_endpoint address);

/* Returns the virtual address entry for `address`, or NULL. NULL does not
 * exclude that a service has this address as its own. */
const struct rp_vip *RpTable_FindVip(const struct rp_table *table,
                                     struct rp_endpoint address);

/* Returns the service that a flow to `address` goes to. If `address` is a
 * virtual address whose targets have weights, the flow's hash selects one of
 * them in proportion to the weights; else the service with that address is
 * returned. NULL if there is neither, or if the table lacks the selected
 * service. */
const struct rp_service *RpTable_SelectService(const struct rp_table *table,
                                               struct rp_endpoint address,
                                               uint64_t flow_hash);

/* Returns the service with this id, or NULL. */
const struct rp_service *RpTable_FindById(const struct rp_table *table,
                                          uint32_t id);

/* Returns the service with this name, or NULL. */
const struct rp_service *RpTable_FindByName(const struct rp_table *table,
                                            const struct rp_name *name);

/* Returns the member with this agent, or NULL. */
const struct rp_member *RpService_FindMember(const struct rp_service *service,
                                             struct rp_endpoint agent);

/* Returns whether members of the service are ready, but all of these in
 * evacuated data centres. */
bool RpService_IsEvacuated(const struct rp_service *service);

/* Returns the flow's keyed hash (SipHash-2-4). All instances with the same
 * hash key compute the same value. The source of `key` is the caller. */
uint64_t RpTable_HashFlow(const struct rp_table *table,
                          struct rp_flow_key key);

/* Returns a member's score for a flow; the lowest score ranks first. A score
 * divided by a factor is that of a member with that many times the weight. */
uint64_t RpMember_Score(const struct rp_member *member, uint64_t flow_hash);

/* Ranks the members whose state is in `states` for a flow and writes the
 * best `max` (at most RP_MAX_CHAIN) to `out`, best first. Returns their
 * number. The pointers are valid until the table changes. */
size_t RpService_RankMembers(const struct rp_service *service,
                             uint64_t flow_hash, unsigned states,
                             const struct rp_member **out, size_t max);

#endif

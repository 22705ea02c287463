/* The routing decision of a balancer: which agents may receive a packet.
 *
 * The decision depends only on the service table and the packet: a balancer
 * keeps no state per flow that matters. What it was told about owners of flows
 * (rp_owner_hints.h) only changes which candidate gets a packet first. */
#ifndef RP_BALANCER_H
#define RP_BALANCER_H

#include "rp_load_view.h"
#include "rp_owner_hints.h"
#include "rp_table.h"

enum rp_route_kind {
    RP_ROUTE_SEND,  /* send it to chain.hop[0], with the tag and the chain */
    RP_ROUTE_RESET, /* answer the caller with a reset */
    RP_ROUTE_DROP,
    RP_ROUTE_WAIT /* no route, but the next table may have one */
};

struct rp_route {
    enum rp_route_kind kind;
    enum rp_counter reason; /* the counter to increment */
    struct rp_service_tag tag;
    struct rp_chain chain; /* candidate agents, best first */
    uint64_t flow_hash;    /* 0 without a table */
};

/* What the order of a new flow's candidates depends on beside the table. */
struct rp_load_order {
    struct rp_load_view *view;
    int64_t now;
    bool spill; /* other zones take part by the load of the own one */
};

/* Decides where a caller's packet goes and fills `*route`.
 *
 * A packet that opens a flow gets only ready members as candidates, and none
 * in an evacuated data centre. Any other packet may belong to a flow on a
 * ready or a draining member; members whose lease has expired follow these as
 * candidates if the chain has room. If the address has former targets, its
 * flows may have been opened with these: their best members follow, and the
 * chain names the services.
 *
 * Without a table, or without candidates in a table that may still lack
 * members, the packet waits. Else, without candidates, a packet that opens a
 * flow is answered with a reset, and any other is dropped; so is a repeated
 * SYN if all ready members are evacuated. */
void RpBalancer_Route(const struct rp_table *table,
                      const struct rp_packet *packet, struct rp_route *route);

/* As RpBalancer_Route, but the candidates of a packet that opens a flow are
 * ordered by the loads of their hosts, too. `order` may be NULL. */
void RpBalancer_RouteByLoad(const struct rp_table *table,
                            const struct rp_load_order *order,
                            const struct rp_packet *packet,
                            struct rp_route *route);

/* Notes the first candidate of a new flow as its owner, if loads have put it
 * before the one at which the flow's later packets would begin. If the agent
 * passes the flow on, it passes later packets on, too, until the owner's own
 * hint comes. */
void RpBalancer_NoteChoice(struct rp_owner_hints *hints, int64_t now,
                           const struct rp_packet *packet,
                           const struct rp_route *route);

/* Makes the owner that a hint names the first candidate of the route of a
 * packet, if the table lists it as serving. The other candidates follow. */
void RpBalancer_PreferOwner(const struct rp_table *table,
                            struct rp_owner_hints *hints, int64_t now,
                            const struct rp_packet *packet,
                            struct rp_route *route);

#endif

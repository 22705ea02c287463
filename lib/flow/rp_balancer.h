/* What a balancer does with one packet. It keeps no state of flows: the
 * table and the packet decide. */
#ifndef RP_BALANCER_H
#define RP_BALANCER_H

#include "rp_table.h"

enum rp_route_kind {
    RP_ROUTE_SEND,  /* to chain.hop[0], with tag and chain */
    RP_ROUTE_RESET, /* answer the caller with a reset */
    RP_ROUTE_DROP
};

struct rp_route {
    enum rp_route_kind kind;
    enum rp_counter reason; /* what to count */
    struct rp_service_tag tag;
    struct rp_chain chain;
};

/* Decides where a caller's packet goes. A new flow gets ready members only;
 * an open flow may belong to any member that still serves, and to one out
 * of lease when there is room behind the others. */
void RpBalancer_Route(const struct rp_table *table,
                      const struct rp_packet *packet, struct rp_route *route);

#endif

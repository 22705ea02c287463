/* The steps of radishport route explain: where a packet would go now. */
#ifndef RP_ROUTE_TEXT_H
#define RP_ROUTE_TEXT_H

#include <stdbool.h>

#include "rp_msg.h"
#include "rp_packet.h"

/* Ports that are tried if no caller is given. */
#define RP_ROUTE_SAMPLE 2000

struct rp_route_question {
    struct rp_endpoint address; /* that the caller connects to */
    struct rp_endpoint from;    /* the caller; port 0: a sample of callers */
    bool open;                  /* a packet of an open flow, not a SYN */
    struct rp_name zone;        /* of the balancer; empty: any */
    uint32_t zone_weight;       /* of that balancer, at least 1 */
};

/* Answers the question with the code that balancers and agents decide by: from
 * the table of a balancer and the load that control knows, which may be NULL.
 * Returns the steps, each a line of text; free them with g_ptr_array_unref.
 * Sets `*served` to whether an agent would get the packet. */
GPtrArray *RpRouteText_Explain(const struct rp_msg_table *table,
                               const struct rp_msg_status *load,
                               const struct rp_route_question *question,
                               bool *served);

#endif

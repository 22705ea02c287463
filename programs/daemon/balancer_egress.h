/* The outgoing link of a balancer's machine: sends packets to agents at the
 * link's rate, and keeps what has to wait (lib/flow/rp_egress.h). Without a
 * rate, packets are sent as they come. */
#ifndef BALANCER_EGRESS_H
#define BALANCER_EGRESS_H

#include "rp_daemon.h"
#include "rp_packet.h"
#include "rp_table.h"
#include "rp_udp.h"

struct rp_balancer_egress;

/* `daemon` and `udp` are borrowed. */
struct rp_balancer_egress *RpBalancerEgress_Create(struct rp_daemon *daemon,
                                                   struct rp_udp *udp);

/* Sends what waits, and frees the queue. NULL does nothing. */
void RpBalancerEgress_Free(struct rp_balancer_egress *egress);

/* Sets the rate of the link: 0 for none, NAN for an invalid setting, which is
 * logged and counts as none. */
void RpBalancerEgress_SetRate(struct rp_balancer_egress *egress, double mbps);

/* Returns whether the link has room for the flow that `packet` opens. If not,
 * the caller may be refused: nothing was sent. */
bool RpBalancerEgress_Takes(struct rp_balancer_egress *egress,
                            const struct rp_table *table,
                            const struct rp_packet *packet);

/* Sends a caller's packet to an agent when the link has room. `stays_valid`
 * says that the packet stays valid until the end of the batch of received
 * datagrams. */
void RpBalancerEgress_Send(struct rp_balancer_egress *egress,
                           const struct rp_table *table,
                           const struct rp_packet *packet,
                           struct rp_endpoint to, const uint8_t *header,
                           size_t header_len, bool stays_valid);

/* Appends the gauges of the link; nothing without a rate. */
void RpBalancerEgress_WriteGauges(const struct rp_balancer_egress *egress,
                                  GString *out);

#endif

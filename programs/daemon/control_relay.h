/* The parts of a control instance without a disk (a relay). */
#ifndef RP_CONTROL_RELAY_H
#define RP_CONTROL_RELAY_H

#include "rp_contacts.h"
#include "rp_uplink.h"

struct rp_relay_nodes;

/* Listens for nodes and replicas, and answers them with the addresses of the
 * replicas that `uplink` was told. `daemon` and `uplink` are borrowed. Returns
 * NULL after printing the error; free with RpRelayNodes_Close. */
struct rp_relay_nodes *RpRelayNodes_Open(struct rp_daemon *daemon,
                                         struct rp_endpoint listen,
                                         const struct rp_uplink *uplink);

/* Stops listening and waits until the connections are closed, one second at
 * most. */
void RpRelayNodes_Close(struct rp_relay_nodes *nodes);

#endif

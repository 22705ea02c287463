/* A UDP socket on the main loop that receives and sends in batches.
 *
 * Each datagram that arrives is handed to the owner with its bytes, which
 * stay valid until the batch ends; what the owner sends meanwhile goes out
 * together. A body that does not outlive the call must be sent with
 * RpUdp_SendCopy.
 */
#ifndef RP_UDP_H
#define RP_UDP_H

#include <glib.h>

#include "rp_counters.h"
#include "rp_endpoint.h"
#include "rp_error.h"
#include "rp_geneve.h"

#define RP_UDP_BATCH 64 /* datagrams */

struct rp_udp;

/* One datagram. Longer ones than RP_DATAGRAM_MAX are dropped and counted
 * before this is called. */
typedef void (*RpUdp_Receive)(void *user, uint8_t *data, size_t len,
                              struct rp_endpoint from);

/* Opens a socket bound to `listen`. `counters` is borrowed. NULL with a
 * finding on failure. */
struct rp_udp *RpUdp_Open(struct rp_endpoint listen, RpUdp_Receive receive,
                          void *user, struct rp_counters *counters,
                          struct rp_error *error);

void RpUdp_Close(struct rp_udp *udp);

/* Sends header and body as one datagram. The header (at most
 * RP_GENEVE_HEADROOM bytes) is copied; the body must stay valid until the
 * batch ends. */
void RpUdp_Send(struct rp_udp *udp, struct rp_endpoint to,
                const uint8_t *header, size_t header_len, const uint8_t *body,
                size_t body_len);

/* As RpUdp_Send, at once, for a body that is about to go away. */
void RpUdp_SendCopy(struct rp_udp *udp, struct rp_endpoint to,
                    const uint8_t *header, size_t header_len,
                    const uint8_t *body, size_t body_len);

/* At the end of a batch received by `udp`, what is queued on `partner` is
 * sent, too, so that bodies received by one may be queued on the other. */
void RpUdp_SetPartner(struct rp_udp *udp, struct rp_udp *partner);

/* Sends what is queued. Called by itself at the end of a batch. */
void RpUdp_Flush(struct rp_udp *udp);

#endif

/* A UDP socket on the main loop that receives and sends in batches.
 *
 * Each received datagram is passed to the owner and stays valid until the end
 * of the batch. Datagrams that the owner sends meanwhile are queued and sent
 * together at that point. A body that does not stay valid until then must be
 * sent with RpUdp_SendCopy.
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

/* Called for each received datagram. Datagrams longer than RP_DATAGRAM_MAX are
 * counted and dropped before. */
typedef void (*RpUdp_Receive)(void *user, uint8_t *data, size_t len,
                              struct rp_endpoint from);

/* Opens a socket bound to `listen` and starts to receive. `counters` is
 * borrowed. Returns NULL and adds a finding on failure. */
struct rp_udp *RpUdp_Open(struct rp_endpoint listen, RpUdp_Receive receive,
                          void *user, struct rp_counters *counters,
                          struct rp_error *error);

/* Receives the datagrams that have arrived, as the main loop would, so that a
 * process that stops handles what it was sent before. Bounded: what arrives
 * meanwhile may be left. */
void RpUdp_ReceivePending(struct rp_udp *udp);

/* Sends the queued datagrams and closes the socket. NULL does nothing. */
void RpUdp_Close(struct rp_udp *udp);

/* Queues header and body as one datagram. The header (at most
 * RP_GENEVE_HEADROOM bytes) is copied; the body must stay valid until the
 * queue is sent. */
void RpUdp_Send(struct rp_udp *udp, struct rp_endpoint to,
                const uint8_t *header, size_t header_len, const uint8_t *body,
                size_t body_len);

/* As RpUdp_Send, but sends the whole queue at once, so the body needs to stay
 * valid only during the call. */
void RpUdp_SendCopy(struct rp_udp *udp, struct rp_endpoint to,
                    const uint8_t *header, size_t header_len,
                    const uint8_t *body, size_t body_len);

/* Also sends the queue of `partner` at the end of each batch that `udp`
 * receives, so that bodies received on one socket can be queued on the
 * other. */
void RpUdp_SetPartner(struct rp_udp *udp, struct rp_udp *partner);

/* Sends all queued datagrams. Called automatically at the end of a batch. */
void RpUdp_Flush(struct rp_udp *udp);

#endif

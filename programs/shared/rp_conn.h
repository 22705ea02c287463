/* A framed, authenticated TCP connection on the main loop.
 *
 * Carries the session of rp_session.h over GIO. Sends a ping when nothing
 * else was sent for RP_CONN_PING_US and ends the connection when nothing
 * came for RP_CONN_SILENCE_US, so that a frozen or cut-off peer is noticed.
 * A peer that does not take its messages is cut off at RP_CONN_QUEUE_MAX.
 */
#ifndef RP_CONN_H
#define RP_CONN_H

#include <gio/gio.h>

#include "rp_endpoint.h"
#include "rp_log.h"
#include "rp_session.h"
#include "rp_time.h"

/* A change must be in force everywhere 3 s after it was acknowledged. A node
 * whose control instance has just frozen needs one silence, one retry, one
 * failed attempt and one table for that: see test_budget.c. */
#define RP_CONN_PING_US (400 * RP_US_PER_MS)
#define RP_CONN_SILENCE_US (1200 * RP_US_PER_MS)
/* The longest that an attempt to connect waits for the peer's hello. A
 * machine without power does not answer, and its system repeats the attempt
 * only after a second; a frozen process is connected to by its system and
 * then says nothing. The farthest regions answer within 300 ms. */
#define RP_CONN_CONNECT_US (400 * RP_US_PER_MS)
#define RP_CONN_QUEUE_MAX (32u << 20) /* bytes not yet taken by the peer */

struct rp_conn;

/* What the owner of a connection is told. `closed` is the last call; the
 * connection frees itself after it. */
struct rp_conn_ops {
    /* The peer is authenticated; `hello` is what it says of itself. */
    void (*ready)(void *user, struct rp_conn *conn,
                  const struct rp_msg_hello *hello);
    /* A message other than hello and ping. The callee may take parts out
     * of it; it is cleared afterwards. */
    void (*message)(void *user, struct rp_conn *conn, struct rp_msg *msg);
    void (*closed)(void *user, struct rp_conn *conn);
};

/* What all connections of a process share. */
struct rp_conn_context {
    const struct rp_keyring *keyring;
    struct rp_msg_hello hello; /* what this process says of itself */
    struct rp_counters *counters;
    struct rp_log *log;
};

/* Opens a connection; both outcomes are told through `ops`. It ends unless
 * the peer has said hello after `patience_us`. */
struct rp_conn *RpConn_Open(const struct rp_conn_context *context,
                            struct rp_endpoint to, int64_t patience_us,
                            const struct rp_conn_ops *ops, void *user);

/* Takes over an accepted connection. */
struct rp_conn *RpConn_Accept(const struct rp_conn_context *context,
                              GSocketConnection *stream,
                              const struct rp_conn_ops *ops, void *user);

/* Sends a message; before the connection is ready it waits its turn. */
void RpConn_Send(struct rp_conn *conn, const struct rp_msg *msg);

/* Ends the connection; `closed` is called from the main loop. */
void RpConn_Close(struct rp_conn *conn);

/* A number that no other connection of this process has. */
uint64_t RpConn_Number(const struct rp_conn *conn);

/* The IPv4 address of the other side, host order; 0 if it is not known. */
uint32_t RpConn_PeerIp(const struct rp_conn *conn);

/* Bytes that the peer has not taken yet. */
size_t RpConn_Queued(const struct rp_conn *conn);

#endif

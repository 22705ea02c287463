/* A framed, authenticated TCP connection on the main loop.
 *
 * Carries the session of rp_session.h over GIO. It sends a ping when nothing
 * else was sent for RP_CONN_PING_INTERVAL_US and closes when nothing was
 * received for RP_CONN_SILENCE_TIMEOUT_US, so that a frozen or unreachable
 * peer is detected. It also closes when more than RP_CONN_QUEUE_MAX bytes wait
 * to be received by the peer.
 *
 * Each connection or attempt to connect that ends is counted by its reason and
 * logged as event=peer_closed, with the address at the other end.
 */
#ifndef RP_CONN_H
#define RP_CONN_H

#include <gio/gio.h>

#include "rp_endpoint.h"
#include "rp_log.h"
#include "rp_session.h"
#include "rp_time.h"

/* A change must be in force on every node 3 s after it was acknowledged. A
 * node whose control instance has just frozen needs one silence timeout, one
 * pause, one failed attempt to connect and one table for that: see
 * test_budget.c. */
#define RP_CONN_PING_INTERVAL_US (400 * RP_US_PER_MS)
#define RP_CONN_SILENCE_TIMEOUT_US (1200 * RP_US_PER_MS)
/* Longest wait for the peer's hello during an attempt to connect. A machine
 * without power does not answer, and the kernel repeats the first packet only
 * after a second, so the attempt is given up before. The kernel of a frozen
 * process accepts the connection, but no hello follows. The farthest regions
 * answer within 300 ms. */
#define RP_CONN_CONNECT_TIMEOUT_US (400 * RP_US_PER_MS)
/* A peer that is down is tried several times a second. */
#define RP_CONN_ATTEMPTS_LOG_US (1 * RP_US_PER_SECOND)
/* Bytes that may be queued for a peer. */
#define RP_CONN_QUEUE_MAX (32u << 20)

struct rp_conn;

/* Callbacks to the owner of a connection. `closed` is the last one; the
 * connection frees itself after it. */
struct rp_conn_ops {
    /* The peer is authenticated; `hello` is the hello that it sent. */
    void (*ready)(void *user, struct rp_conn *conn,
                  const struct rp_msg_hello *hello);
    /* A message other than hello and ping arrived. The callee may take parts
     * out of it; it is cleared afterwards. */
    void (*message)(void *user, struct rp_conn *conn, struct rp_msg *msg);
    /* The connection could not be opened or has ended. */
    void (*closed)(void *user, struct rp_conn *conn);
};

/* State that all connections of a process share. */
struct rp_conn_context {
    const struct rp_keyring *keyring;
    struct rp_msg_hello hello; /* the hello that this process sends */
    struct rp_counters *counters;
    struct rp_log *log;
    /* From RpConn_NewAttempts; NULL: each failed attempt is logged. */
    GHashTable *attempts;
};

/* Creates the table of failed attempts to connect, by address. With it, the
 * attempts to one address that fail for the same reason are logged once in
 * RP_CONN_ATTEMPTS_LOG_US. Free it with g_hash_table_destroy. */
GHashTable *RpConn_NewAttempts(void);

/* Opens a connection. The result is reported through `ops`: `ready` on
 * success, `closed` on failure or if the peer's hello has not arrived after
 * `timeout_us` microseconds. `context`, `ops` and `user` are borrowed until
 * `closed`. */
struct rp_conn *RpConn_Open(const struct rp_conn_context *context,
                            struct rp_endpoint to, int64_t timeout_us,
                            const struct rp_conn_ops *ops, void *user);

/* Starts a session on an accepted connection and keeps a reference to it. The
 * rest is as for RpConn_Open. */
struct rp_conn *RpConn_Accept(const struct rp_conn_context *context,
                              GSocketConnection *stream,
                              const struct rp_conn_ops *ops, void *user);

/* Queues a message for sending. Messages sent before the peer's hello has
 * arrived are sent after it, in order. */
void RpConn_Send(struct rp_conn *conn, const struct rp_msg *msg);

/* Closes the connection in order and logs that this process did it. `closed`
 * is called later, from the main loop. */
void RpConn_Close(struct rp_conn *conn);

/* Returns the connection's number, which is unique in this process. */
uint64_t RpConn_Number(const struct rp_conn *conn);

/* Returns the peer's IPv4 address in host byte order; 0 if unknown. */
uint32_t RpConn_PeerIp(const struct rp_conn *conn);

/* Returns the number of bytes queued for sending. */
size_t RpConn_Queued(const struct rp_conn *conn);

#endif

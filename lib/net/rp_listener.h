/* A TCP port on the main loop: accepts connections and outlives every error of
 * accept. */
#ifndef RP_LISTENER_H
#define RP_LISTENER_H

#include <gio/gio.h>

#include "rp_counters.h"
#include "rp_endpoint.h"
#include "rp_error.h"
#include "rp_log.h"

/* Where the ports of a process count and log. */
struct rp_net_context {
    struct rp_counters *counters;
    struct rp_log *log; /* NULL: no lines */
};

struct rp_listener;

/* Callbacks to the owner of a port. */
struct rp_listener_ops {
    /* A connection was accepted. The callee keeps its own reference to
     * `stream`; the connection is closed when the last one is dropped. */
    void (*accepted)(void *user, GSocketConnection *stream);
    /* A new connection waits, but all that the port may have are open, or no
     * descriptor is free. The callee may close one; returns whether it has.
     * The new one waits in any case until one is closed. NULL: beyond the
     * bound, new connections are closed at once. */
    bool (*make_room)(void *user);
};

/* Listens on `listen` and keeps at most `bound` connections open. `context`,
 * `ops` and `user` are borrowed until RpListener_Close. Returns NULL and adds
 * a finding if the port cannot be opened. */
struct rp_listener *RpListener_Open(struct rp_endpoint listen, unsigned bound,
                                    const struct rp_net_context *context,
                                    const struct rp_listener_ops *ops,
                                    void *user, struct rp_error *error);

/* Stops listening; accepted connections stay open. NULL does nothing. */
void RpListener_Close(struct rp_listener *listener);

#endif

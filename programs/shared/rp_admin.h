/* Serves the admin pages of a process over HTTP: /metrics in the Prometheus
 * text format, and /healthz. */
#ifndef RP_ADMIN_H
#define RP_ADMIN_H

#include <glib.h>

#include "rp_endpoint.h"
#include "rp_error.h"
#include "rp_listener.h"

struct rp_admin;

/* Callbacks that add a role's own data to the admin pages. */
struct rp_admin_ops {
    /* Returns whether the process can serve now, and appends the reason as one
     * line. */
    bool (*healthy)(void *user, GString *why);
    /* Appends one "name value" line for each gauge, without the metric
     * prefix. */
    void (*gauges)(void *user, GString *out);
};

/* Starts the HTTP server. All pointers but `error` are borrowed until
 * RpAdmin_Close. Returns NULL and adds a finding on failure. */
struct rp_admin *RpAdmin_Open(struct rp_endpoint listen, const char *role,
                              const struct rp_net_context *context,
                              const struct rp_admin_ops *ops, void *user,
                              struct rp_error *error);

/* Stops the server. NULL does nothing. */
void RpAdmin_Close(struct rp_admin *admin);

#endif

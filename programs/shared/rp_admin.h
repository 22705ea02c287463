/* The admin page of a process: /metrics in the Prometheus text format and
 * /healthz, over HTTP. */
#ifndef RP_ADMIN_H
#define RP_ADMIN_H

#include <glib.h>

#include "rp_counters.h"
#include "rp_endpoint.h"
#include "rp_error.h"

struct rp_admin;

/* What a process shows besides its counters. */
struct rp_admin_ops {
    /* Whether the process can do its job now; adds one line on why. */
    bool (*healthy)(void *user, GString *why);
    /* Adds gauges, a "name value" pair a line, names without prefix. */
    void (*gauges)(void *user, GString *out);
};

/* Starts serving; NULL with a finding on failure. */
struct rp_admin *RpAdmin_Open(struct rp_endpoint listen, const char *role,
                              const struct rp_counters *counters,
                              const struct rp_admin_ops *ops, void *user,
                              struct rp_error *error);

void RpAdmin_Close(struct rp_admin *admin);

#endif

/* The HTTP server of a process, for the operator's configuration, reports from
 * hosts, metrics and health checks. */
#ifndef RP_HTTP_H
#define RP_HTTP_H

#include <libsoup/soup.h>

#include "rp_endpoint.h"
#include "rp_error.h"
#include "rp_listener.h"

/* Creates a server that listens on `listen` and has no handlers yet. It
 * serves while the main loop runs; release it with g_object_unref. Of a
 * request whose body is longer than `body_max` bytes, the body is discarded
 * while it arrives. `context` is borrowed until then. Returns NULL and adds a
 * finding to `error` if it cannot listen there. */
SoupServer *RpHttp_Serve(struct rp_endpoint listen, goffset body_max,
                         const struct rp_net_context *context,
                         struct rp_error *error);

/* Returns whether the request's body was discarded because of its length. */
bool RpHttp_IsTooLong(SoupServerMessage *message);

/* Answers a request with status code `status` and a body of media type
 * `type`. Takes ownership of `body`. */
void RpHttp_Answer(SoupServerMessage *message, guint status, const char *type,
                   GString *body);

#endif

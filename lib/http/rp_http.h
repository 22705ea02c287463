/* Serving HTTP, for what a process offers on its own: the operator's
 * configurations, the platform's reports, metrics and health. */
#ifndef RP_HTTP_H
#define RP_HTTP_H

#include <libsoup/soup.h>

#include "rp_endpoint.h"
#include "rp_error.h"

/* A server on `listen` without handlers; release it with g_object_unref. It
 * serves once the main loop runs. NULL with a finding at the address if that
 * cannot be listened on. */
SoupServer *RpHttp_Serve(struct rp_endpoint listen, struct rp_error *error);

/* Answers a request with a body of the given media type; frees `body`. */
void RpHttp_Answer(SoupServerMessage *message, guint status, const char *type,
                   GString *body);

#endif

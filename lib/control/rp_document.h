/* Service documents: what a team writes about its service.
 *
 * A document is a key file:
 *
 *     [service]
 *     name = thumbnails
 *     address = 10.80.0.1:7000
 *
 *     [limits]
 *     flows-per-upstream = 2000    # open flows that one upstream may hold
 *     retries-percent = 10         # retries per 100 new flows
 *
 *     [recovery]
 *     silence-seconds = 30         # unanswered data before a flow is probed
 *
 * Only name and address are required. All findings of a document are
 * collected, each with the line it belongs to.
 */
#ifndef RP_DOCUMENT_H
#define RP_DOCUMENT_H

#include "rp_endpoint.h"
#include "rp_error.h"

#define RP_DOCUMENT_MAX 65536 /* bytes */

/* A checked document. */
struct rp_document {
    struct rp_name name;
    struct rp_endpoint address;
    unsigned address_line; /* where the address stands */
    uint32_t flows_per_upstream;
    uint32_t retries_percent;
    uint32_t silence_ms;
    uint32_t long_slots_percent;
};

/* Reads and checks a document. On failure every finding is in `error`, its
 * place being "line N". */
enum rp_code RpDocument_Parse(struct rp_str text, struct rp_document *document,
                              struct rp_error *error);

/* The document of a service that says no more than its name: no address of
 * its own, all limits at their defaults. */
void RpDocument_InitPlain(struct rp_document *document,
                          const struct rp_name *name);

#endif

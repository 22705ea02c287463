/* Service documents: the configuration of one service, written by the team
 * that owns the service.
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
 *     [placement]
 *     long-slots-percent = 50      # slots that long requests may occupy
 *
 * Only name and address are required. RpDocument_Parse reports all errors of
 * a document, each with its line number.
 */
#ifndef RP_DOCUMENT_H
#define RP_DOCUMENT_H

#include "rp_endpoint.h"
#include "rp_error.h"

#define RP_DOCUMENT_MAX 65536 /* bytes */

/* A parsed and checked document. */
struct rp_document {
    struct rp_name name;
    struct rp_endpoint address;
    unsigned address_line; /* line number of the address; 0: none */
    uint32_t flows_per_upstream;
    uint32_t retries_percent;
    uint32_t silence_ms;
    uint32_t long_slots_percent;
    uint32_t warmup_ms; /* cold start of hosts that do not report theirs */
    uint32_t cold_per_1000_s; /* new flows of a cold host per 1,000 s; 0: any
                               * number */
};

/* The highest rate of new flows of a cold host, per 1,000 s; higher ones are
 * stored as this one. */
#define RP_DOCUMENT_MAX_COLD_PER_1000_S UINT32_C(10000000)
#define RP_DOCUMENT_MAX_WARMUP_MS UINT32_C(86400000)

/* Parses and checks a document. Returns RP_OK, RP_ERR_LIMIT if the text is
 * larger than RP_DOCUMENT_MAX, or RP_ERR_DOCUMENT. `error` receives a finding
 * for each error; its place is "line N", or "document" if the error concerns
 * the whole text. `error` may be NULL. */
enum rp_code RpDocument_Parse(struct rp_str text, struct rp_document *document,
                              struct rp_error *error);

/* Initialises the document of a service that has only a name: no address of
 * its own, and the default for each limit. */
void RpDocument_InitDefaults(struct rp_document *document,
                             const struct rp_name *name);

#endif

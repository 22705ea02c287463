/* Builds the replies to operators' queries from the control state. The caller
 * clears each message with RpMsg_Clear. */
#ifndef RP_STATUS_H
#define RP_STATUS_H

#include "rp_catalog.h"
#include "rp_distribution.h"
#include "rp_registry.h"

/* Fills a SERVICES message: one row per service, with the number of upstreams
 * in each state. */
void RpStatus_FillServices(const struct rp_catalog *catalog,
                           const struct rp_registry *registry,
                           struct rp_msg *msg);

/* Fills a DOCUMENT message with the service's document as it was accepted, or
 * with the code RP_ERR_NOT_FOUND. */
void RpStatus_FillDocument(const struct rp_catalog *catalog,
                           const struct rp_name *service, struct rp_msg *msg);

/* Fills a STATUS message with services, upstreams and nodes. If `service` is
 * given, includes only that service and its upstreams. The list of replicas
 * stays empty; the caller fills it. */
void RpStatus_FillStatus(const struct rp_catalog *catalog,
                         const struct rp_registry *registry,
                         const struct rp_distribution *distribution,
                         int64_t now, const struct rp_name *service,
                         struct rp_msg *msg);

#endif

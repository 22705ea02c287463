/* Answers to operators' questions, built from the control state. */
#ifndef RP_STATUS_H
#define RP_STATUS_H

#include "rp_catalog.h"
#include "rp_distribution.h"
#include "rp_registry.h"

/* Fills a SERVICES message: one row a service, upstreams counted by state.
 * Clear the message afterwards, as with the others here. */
void RpStatus_Services(const struct rp_catalog *catalog,
                       const struct rp_registry *registry, struct rp_msg *msg);

/* Fills a DOCUMENT message with a service's accepted document. */
void RpStatus_Document(const struct rp_catalog *catalog,
                       const struct rp_name *service, struct rp_msg *msg);

/* Fills a STATUS message; with a service, only its rows and the nodes. The
 * replicas are left to the caller. */
void RpStatus_Status(const struct rp_catalog *catalog,
                     const struct rp_registry *registry,
                     const struct rp_distribution *distribution, int64_t now,
                     const struct rp_name *service, struct rp_msg *msg);

#endif

/* Editions: complete configurations, with version numbers that the operator
 * chooses.
 *
 * An edition holds services, the virtual addresses that distribute flows to
 * them, and the content as the operator sent it, which can be read back. The
 * edition with the highest version is in force. An edition with an equal or
 * lower version is accepted but changes nothing. `struct rp_edition` is in
 * rp_msg.h because it is part of the replicated log.
 */
#ifndef RP_EDITION_H
#define RP_EDITION_H

#include "rp_error.h"
#include "rp_msg.h"

/* Maximum number of virtual addresses in an edition. A balancer's table holds
 * all of them. */
#define RP_EDITION_MAX_VIPS 20000

/* Checks an edition and adds a finding for each error: a service or an address
 * that is listed twice, a target service that the edition does not list,
 * target weights with an invalid sum, a missing port or timeout, or too many
 * virtual addresses. Returns the code of one of the findings, or RP_OK. */
enum rp_code RpEdition_Check(const struct rp_edition *edition,
                             struct rp_error *error);

/* Initialises an empty edition; free its contents with RpEdition_Clear. */
void RpEdition_Init(struct rp_edition *edition);

/* Frees the edition's contents and zeroes it. */
void RpEdition_Clear(struct rp_edition *edition);

#endif

/* Editions: a whole configuration at once, under a version that its operator
 * chose.
 *
 * An edition holds services, the virtual addresses that lead to them and the
 * content as it was sent, to be read back. The edition with the highest
 * version is in force; an equal or lower version changes nothing and is
 * accepted all the same. `struct rp_edition` is in rp_msg.h, for it travels
 * in the replicated log.
 */
#ifndef RP_EDITION_H
#define RP_EDITION_H

#include "rp_error.h"
#include "rp_msg.h"

/* Virtual addresses of one edition; a balancer's table holds them all. */
#define RP_EDITION_MAX_VIPS 20000

/* Checks what an edition says as a whole, and adds a finding for each thing
 * that is wrong: a virtual address that leads to an unknown service, or that
 * stands there twice, without a share of flows, or with no time at all. */
enum rp_code RpEdition_Check(const struct rp_edition *edition,
                             struct rp_error *error);

/* An edition without content; clear it with RpEdition_Clear. */
void RpEdition_Init(struct rp_edition *edition);

void RpEdition_Clear(struct rp_edition *edition);

#endif

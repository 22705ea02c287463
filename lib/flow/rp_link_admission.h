/* Whether a balancer takes a new flow, by the room on its outgoing link.
 *
 * A flow that could not be through in time is refused at once, before it
 * opens: its caller's next try comes from another port, and so mostly to
 * another balancer, whose link may have room. Taken in, it would be late, and
 * make others late.
 *
 * Short requests are never refused: they leave before bulk, and a try more
 * costs the link more than they do. An address without a target latency is not
 * refused either, nor one whose requests are not known yet.
 *
 * A refusal costs the caller one of its few tries, and the balancer does not
 * know how full the others are. So it refuses a caller once within the
 * caller's deadline, and takes the next try if that can be through by its
 * target at all; only what would be late in any case is refused again. */
#ifndef RP_LINK_ADMISSION_H
#define RP_LINK_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_egress.h"
#include "rp_link_flows.h"
#include "rp_table.h"

/* The part of the target latency that the way over the link may take, in
 * percent. The rest is for the host and for requests larger than the mean. */
#define RP_LINK_SHARE_PERCENT 50
/* The same for a caller that was refused here before. */
#define RP_LINK_LAST_SHARE_PERCENT 100
/* The share of the link that bulk gets at least in the estimate, however much
 * the urgent packets took lately. */
#define RP_LINK_MIN_BULK_PERCENT 25
/* Callers that were refused lately, in places by the caller's address. A
 * caller whose place another one took may be refused once more. */
#define RP_LINK_REFUSED_MAX 1024

struct rp_link_admission;

/* What is passed is borrowed. */
struct rp_link_admission *RpLinkAdmission_Create(struct rp_link *link,
                                                 struct rp_egress *egress,
                                                 struct rp_link_flows *flows);

/* NULL does nothing. */
void RpLinkAdmission_Free(struct rp_link_admission *admission);

/* Returns whether the flow that `packet` opens is taken. `vip` is the entry of
 * its address, or NULL. A repeated SYN is always taken: an earlier copy may
 * have opened the flow, and a refusal would not be true. */
bool RpLinkAdmission_Takes(struct rp_link_admission *admission, int64_t now,
                           const struct rp_packet *packet,
                           const struct rp_vip *vip);

/* Returns when a usual request to the address would be through if it came now,
 * in microseconds from now. */
int64_t RpLinkAdmission_Estimate(struct rp_link_admission *admission,
                                 int64_t now, const struct rp_vip *vip);

#endif

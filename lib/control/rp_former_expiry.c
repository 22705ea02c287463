/* When the former targets of virtual addresses may be forgotten. */
#include "rp_former_expiry.h"

uint64_t
RpFormerExpiry_Update(struct rp_former_expiry *expiry, int64_t now,
                      uint64_t newest, uint64_t routed, int64_t flow_lifetime)
{
    uint64_t due = expiry->revision;

    if (due == 0) {
        expiry->revision = newest;
    }
    if (due == 0 || routed < due) {
        expiry->deadline = now + flow_lifetime + RP_FORMER_SYN_DELAY_US;
        return 0;
    }
    if (now < expiry->deadline) {
        return 0;
    }
    expiry->revision = 0;
    return due;
}

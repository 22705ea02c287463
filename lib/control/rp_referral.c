/* Where the operator is sent; see rp_referral.h for the rules. */
#include "rp_referral.h"

struct rp_referral
RpReferral_Choose(const struct rp_referral_view *view)
{
    if (view->replica.port == 0) {
        return (struct rp_referral){.kind = RP_REFERRAL_NOT_CONNECTED};
    }
    return (struct rp_referral){.kind = RP_REFERRAL_TO_REPLICA,
                                .ip = view->replica.ip};
}

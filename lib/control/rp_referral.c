/* Where the operator is sent; see rp_referral.h for the rules. */
#include "rp_referral.h"

static struct rp_referral
send_to(const struct rp_referral_view *view, enum rp_referral_kind kind,
        struct rp_endpoint to)
{
    if (to.port == 0 || to.ip == view->self_ip) {
        /* This instance would send the operator to itself. */
        return (struct rp_referral){.kind = RP_REFERRAL_NO_LEADER};
    }
    return (struct rp_referral){.kind = kind, .ip = to.ip};
}

struct rp_referral
RpReferral_Choose(const struct rp_referral_view *view)
{
    if (!view->connected) {
        return (struct rp_referral){.kind = RP_REFERRAL_NOT_CONNECTED};
    }
    switch ((enum rp_leader_known)view->leader_known) {
    case RP_LEADER_KNOWN:
        return send_to(view, RP_REFERRAL_TO_LEADER, view->leader);
    case RP_LEADER_NOT_TOLD:
        return send_to(view, RP_REFERRAL_TO_REPLICA, view->replica);
    default:
        return (struct rp_referral){.kind = RP_REFERRAL_NO_LEADER};
    }
}

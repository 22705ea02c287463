/* Whether a replica keeps its nodes; see rp_disconnect_policy.h for the rules.
 */
#include "rp_disconnect_policy.h"

#include <glib.h>

void
RpDisconnectPolicy_Init(struct rp_disconnect_policy *policy, int64_t now)
{
    *policy = (struct rp_disconnect_policy){
        .cut_off_since = now,
        .next_disconnect = now + RP_DISCONNECT_WAIT_MIN_US};
}

bool
RpDisconnectPolicy_Update(struct rp_disconnect_policy *policy, int64_t now,
                          bool has_log, bool fresh)
{
    policy->has_log = has_log;
    if (fresh == policy->fresh) {
        return false;
    }
    policy->fresh = fresh;
    policy->cut_off_since = now;
    policy->next_disconnect = now + RP_DISCONNECT_WAIT_MIN_US;
    return true;
}

bool
RpDisconnectPolicy_AcceptsNodes(const struct rp_disconnect_policy *policy)
{
    return policy->has_log;
}

bool
RpDisconnectPolicy_ShouldDisconnect(struct rp_disconnect_policy *policy,
                                    int64_t now)
{
    if (!RpDisconnectPolicy_AcceptsNodes(policy)) {
        return true;
    }
    if (policy->fresh || now < policy->next_disconnect) {
        return false;
    }
    int64_t wait = CLAMP(now - policy->cut_off_since,
                         RP_DISCONNECT_WAIT_MIN_US, RP_DISCONNECT_WAIT_MAX_US);
    policy->next_disconnect = now + wait;
    return true;
}

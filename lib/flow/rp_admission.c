#include "rp_admission.h"

#include <glib.h>

bool
RpAdmission_Admit(struct rp_admission *policy, const struct rp_load *load,
                  enum rp_counter *reason)
{
    if (load->flows >= load->flow_limit) {
        *reason = RP_COUNT_PASS_FLOW_LIMIT;
        return false;
    }
    return policy->ops->admit(policy, load, reason);
}

void
RpAdmission_Free(struct rp_admission *policy)
{
    if (policy) {
        policy->ops->free(policy);
    }
}

static bool
bound_admit(struct rp_admission *policy, const struct rp_load *load,
            enum rp_counter *reason)
{
    (void)policy;
    if (load->busy < load->slots) {
        *reason = RP_COUNT_FLOW_ADMITTED;
        return true;
    }
    *reason = load->last ? RP_COUNT_FLOW_ADMITTED_LAST : RP_COUNT_PASS_BUSY;
    return load->last;
}

static void
bound_free(struct rp_admission *policy)
{
    g_free(policy);
}

struct rp_admission *
RpAdmission_CreateBound(void)
{
    static const struct rp_admission_ops ops = {
        .name = "bound", .admit = bound_admit, .free = bound_free};
    struct rp_admission *policy = g_new0(struct rp_admission, 1);

    policy->ops = &ops;
    return policy;
}

#include "rp_admission.h"

#include <glib.h>

#define ALL_PERCENT 100

uint8_t
RpLoad_Share(const struct rp_load *load)
{
    uint64_t share = (uint64_t)load->busy * RP_SHARE_UNIT / load->slots;

    return (uint8_t)MIN(share, RP_SHARE_MAX - 1);
}

enum rp_verdict
RpAdmission_Decide(struct rp_admission *policy, const struct rp_load *load,
                   enum rp_counter *reason)
{
    if (load->flows >= load->flow_limit) {
        *reason = RP_COUNT_PASS_FLOW_LIMIT;
        return RP_VERDICT_PASS;
    }
    return policy->ops->decide(policy, load, reason);
}

void
RpAdmission_Free(struct rp_admission *policy)
{
    if (policy) {
        policy->ops->free(policy);
    }
}

static void
free_plain(struct rp_admission *policy)
{
    g_free(policy);
}

static struct rp_admission *
create_plain(const struct rp_admission_ops *ops)
{
    struct rp_admission *policy = g_new0(struct rp_admission, 1);

    policy->ops = ops;
    return policy;
}

static enum rp_verdict
bound_decide(struct rp_admission *policy, const struct rp_load *load,
             enum rp_counter *reason)
{
    (void)policy;
    if (load->busy < load->slots) {
        *reason = RP_COUNT_FLOW_ADMITTED;
        return RP_VERDICT_TAKE;
    }
    *reason = load->last ? RP_COUNT_FLOW_ADMITTED_LAST : RP_COUNT_PASS_BUSY;
    return load->last ? RP_VERDICT_TAKE : RP_VERDICT_PASS;
}

struct rp_admission *
RpAdmission_CreateBound(void)
{
    static const struct rp_admission_ops ops = {
        .name = "bound", .decide = bound_decide, .free = free_plain};

    return create_plain(&ops);
}

static enum rp_verdict
least_decide(struct rp_admission *policy, const struct rp_load *load,
             enum rp_counter *reason)
{
    enum rp_verdict verdict = bound_decide(policy, load, reason);

    if (*reason == RP_COUNT_FLOW_ADMITTED_LAST &&
        load->best_share < RpLoad_Share(load)) {
        *reason = RP_COUNT_PASS_BACK;
        return RP_VERDICT_BACK;
    }
    return verdict;
}

uint32_t
RpLoad_FullShare(const struct rp_load *load)
{
    bool important = load->priority <= RP_IMPORTANT_PRIORITY;

    if (load->target_us > 0 && load->waited_us >= load->target_us) {
        return RP_FULL_SHARE_LATE;
    }
    if (load->target_us == 0 || load->work_us == 0) {
        return important ? RP_FULL_SHARE_IMPORTANT : RP_FULL_SHARE_OTHERS;
    }
    /* A request behind `n` slots' worth of others waits n - 1 times the mean
     * work. */
    uint64_t percent = important ? RP_WAIT_PERCENT_IMPORTANT
                                 : RP_WAIT_PERCENT_OTHERS;
    uint64_t wait_us = load->target_us * percent / ALL_PERCENT;
    wait_us -= MIN(wait_us, load->waited_us);
    uint64_t share = RP_SHARE_UNIT + wait_us * RP_SHARE_UNIT / load->work_us;
    return (uint32_t)CLAMP(share, RP_FULL_SHARE_LEAST, RP_SHARE_MAX - 1);
}

static enum rp_verdict
bounded_decide(struct rp_admission *policy, const struct rp_load *load,
               enum rp_counter *reason)
{
    if (load->last &&
        MIN(load->best_share, RpLoad_Share(load)) >= RpLoad_FullShare(load)) {
        *reason = RP_COUNT_REFUSED_BUSY;
        return RP_VERDICT_REFUSE;
    }
    return least_decide(policy, load, reason);
}

struct rp_admission *
RpAdmission_CreateBounded(void)
{
    static const struct rp_admission_ops ops = {
        .name = "bounded", .decide = bounded_decide, .free = free_plain};

    return create_plain(&ops);
}

struct rp_admission *
RpAdmission_CreateLeast(void)
{
    static const struct rp_admission_ops ops = {
        .name = "least", .decide = least_decide, .free = free_plain};

    return create_plain(&ops);
}

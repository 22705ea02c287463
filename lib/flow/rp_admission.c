#include "rp_admission.h"

#include <glib.h>

#define ALL_PERCENT 100

uint8_t
RpLoad_Share(const struct rp_load *load)
{
    uint64_t utilisation = (uint64_t)load->busy * RP_SHARE_UNIT / load->slots;

    return (uint8_t)MIN(utilisation, RP_SHARE_MAX - 1);
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
free_policy(struct rp_admission *policy)
{
    g_free(policy);
}

static struct rp_admission *
create_policy(const struct rp_admission_ops *ops)
{
    struct rp_admission *policy = g_new0(struct rp_admission, 1);

    policy->ops = ops;
    return policy;
}

static enum rp_verdict
decide_by_free_slot(struct rp_admission *policy, const struct rp_load *load,
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
    static const struct rp_admission_ops ops = {.name = "free-slot",
                                                .decide = decide_by_free_slot,
                                                .free = free_policy};

    return create_policy(&ops);
}

static enum rp_verdict
decide_by_least_busy(struct rp_admission *policy, const struct rp_load *load,
                     enum rp_counter *reason)
{
    enum rp_verdict decision = decide_by_free_slot(policy, load, reason);

    if (*reason == RP_COUNT_FLOW_ADMITTED_LAST &&
        load->best_share < RpLoad_Share(load)) {
        *reason = RP_COUNT_PASS_BACK;
        return RP_VERDICT_BACK;
    }
    return decision;
}

uint32_t
RpLoad_FullShare(const struct rp_load *load)
{
    bool is_high_priority = load->priority <= RP_IMPORTANT_PRIORITY;

    if (load->target_us > 0 && load->waited_us >= load->target_us) {
        return RP_FULL_SHARE_LATE;
    }
    if (load->target_us == 0 || load->work_us == 0) {
        return is_high_priority ? RP_FULL_SHARE_IMPORTANT
                                : RP_FULL_SHARE_OTHERS;
    }
    /* At a utilisation of n (n >= 1), a new request waits for a slot for
     * n - 1 times the mean service time. */
    uint64_t percent = is_high_priority ? RP_WAIT_PERCENT_IMPORTANT
                                        : RP_WAIT_PERCENT_OTHERS;
    uint64_t wait_us = load->target_us * percent / ALL_PERCENT;
    wait_us -= MIN(wait_us, load->waited_us);
    uint64_t limit = RP_SHARE_UNIT + wait_us * RP_SHARE_UNIT / load->work_us;
    return (uint32_t)CLAMP(limit, RP_FULL_SHARE_LEAST, RP_SHARE_MAX - 1);
}

static enum rp_verdict
decide_by_latency_target(struct rp_admission *policy,
                         const struct rp_load *load, enum rp_counter *reason)
{
    if (load->last &&
        MIN(load->best_share, RpLoad_Share(load)) >= RpLoad_FullShare(load)) {
        *reason = RP_COUNT_REFUSED_BUSY;
        return RP_VERDICT_REFUSE;
    }
    return decide_by_least_busy(policy, load, reason);
}

struct rp_admission *
RpAdmission_CreateBounded(void)
{
    static const struct rp_admission_ops ops = {
        .name = "latency-target",
        .decide = decide_by_latency_target,
        .free = free_policy};

    return create_policy(&ops);
}

struct rp_admission *
RpAdmission_CreateLeast(void)
{
    static const struct rp_admission_ops ops = {.name = "least-busy",
                                                .decide = decide_by_least_busy,
                                                .free = free_policy};

    return create_policy(&ops);
}

/* The admission policies. See rp_admission.h. */
#include "rp_admission.h"

#include <glib.h>

#define ALL_PERCENT 100

uint8_t
RpLoad_Utilisation(const struct rp_load *load)
{
    uint64_t utilisation = load->unhealthy
                               ? RP_UTILISATION_MAX
                               : (uint64_t)load->busy * RP_UTILISATION_UNIT /
                                     load->slots;

    return (uint8_t)MIN(utilisation, RP_UTILISATION_MAX - 1);
}

enum rp_decision
RpAdmission_Decide(struct rp_admission *policy, const struct rp_load *load,
                   enum rp_counter *reason)
{
    if (load->flows >= load->flow_limit) {
        *reason = RP_COUNT_PASS_FLOW_LIMIT;
        return RP_DECISION_PASS_ON;
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

static enum rp_decision
decide_by_free_slot(struct rp_admission *policy, const struct rp_load *load,
                    enum rp_counter *reason)
{
    (void)policy;
    if (load->busy < load->slots && !load->unhealthy) {
        *reason = RP_COUNT_FLOW_ADMITTED;
        return RP_DECISION_ADMIT;
    }
    *reason = load->last ? RP_COUNT_FLOW_ADMITTED_LAST : RP_COUNT_PASS_BUSY;
    return load->last ? RP_DECISION_ADMIT : RP_DECISION_PASS_ON;
}

struct rp_admission *
RpAdmission_CreateFreeSlot(void)
{
    static const struct rp_admission_ops ops = {.name = "free-slot",
                                                .decide = decide_by_free_slot,
                                                .free = free_policy};

    return create_policy(&ops);
}

static enum rp_decision
decide_by_least_busy(struct rp_admission *policy, const struct rp_load *load,
                     enum rp_counter *reason)
{
    enum rp_decision decision = decide_by_free_slot(policy, load, reason);

    if (*reason == RP_COUNT_FLOW_ADMITTED_LAST &&
        load->lowest_utilisation < RpLoad_Utilisation(load)) {
        *reason = RP_COUNT_PASS_BACK;
        return RP_DECISION_PASS_BACK;
    }
    return decision;
}

uint32_t
RpLoad_RefusalThreshold(const struct rp_load *load)
{
    bool is_high_priority = load->priority <= RP_HIGH_PRIORITY_MAX;

    if (load->target_us > 0 && load->waited_us >= load->target_us) {
        return RP_REFUSAL_THRESHOLD_PAST_TARGET;
    }
    if (load->target_us == 0 || load->service_time_us == 0) {
        return is_high_priority ? RP_REFUSAL_THRESHOLD_HIGH_PRIORITY
                                : RP_REFUSAL_THRESHOLD_LOW_PRIORITY;
    }
    /* At a utilisation of n (n >= 1), a new request waits for a slot for
     * n - 1 times the mean service time. */
    uint64_t percent = is_high_priority ? RP_WAIT_PERCENT_HIGH_PRIORITY
                                        : RP_WAIT_PERCENT_LOW_PRIORITY;
    uint64_t wait_us = load->target_us * percent / ALL_PERCENT;
    wait_us -= MIN(wait_us, load->waited_us);
    uint64_t limit = RP_UTILISATION_UNIT +
                     wait_us * RP_UTILISATION_UNIT / load->service_time_us;
    return (uint32_t)CLAMP(limit, RP_REFUSAL_THRESHOLD_MIN,
                           RP_UTILISATION_MAX - 1);
}

static enum rp_decision
decide_by_latency_target(struct rp_admission *policy,
                         const struct rp_load *load, enum rp_counter *reason)
{
    if (load->last &&
        MIN(load->lowest_utilisation, RpLoad_Utilisation(load)) >=
            RpLoad_RefusalThreshold(load)) {
        *reason = RP_COUNT_REFUSED_BUSY;
        return RP_DECISION_REFUSE;
    }
    return decide_by_least_busy(policy, load, reason);
}

struct rp_admission *
RpAdmission_CreateLatencyTarget(void)
{
    static const struct rp_admission_ops ops = {
        .name = "latency-target",
        .decide = decide_by_latency_target,
        .free = free_policy};

    return create_policy(&ops);
}

struct rp_admission *
RpAdmission_CreateLeastBusy(void)
{
    static const struct rp_admission_ops ops = {.name = "least-busy",
                                                .decide = decide_by_least_busy,
                                                .free = free_policy};

    return create_policy(&ops);
}

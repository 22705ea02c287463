/* Admission: whether this upstream takes a new flow or leaves it to the
 * next candidate.
 *
 * A policy is a small vtable in the first member of its struct. It sees the
 * upstream's own load as its agent counts it, which neither lags nor lies.
 */
#ifndef RP_ADMISSION_H
#define RP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_counters.h"

/* The upstream's load at the moment of a decision. */
struct rp_load {
    uint32_t slots;      /* requests it serves at once, after cold start */
    uint32_t busy;       /* flows with a request outstanding */
    uint32_t flows;      /* open flows */
    uint32_t flow_limit; /* most flows it may hold */
    uint32_t position;   /* how many candidates passed the flow on already */
    bool last;           /* no candidate comes after this one */
};

struct rp_admission;

struct rp_admission_ops {
    const char *name;
    /* Whether to take the flow. If not, `*reason` is the counter. Hard
     * limits hold for the last candidate too. */
    bool (*admit)(struct rp_admission *policy, const struct rp_load *load,
                  enum rp_counter *reason);
    void (*free)(struct rp_admission *policy);
};

struct rp_admission {
    const struct rp_admission_ops *ops;
};

/* Takes a flow while fewer than all slots are busy; the last candidate
 * takes it in any case. */
struct rp_admission *RpAdmission_CreateBound(void);

void RpAdmission_Free(struct rp_admission *policy);

/* Asks the policy, after the hard limit on flows. */
bool RpAdmission_Admit(struct rp_admission *policy, const struct rp_load *load,
                       enum rp_counter *reason);

#endif

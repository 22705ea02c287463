/* Admission: whether this upstream takes a new flow or leaves it to the
 * next candidate.
 *
 * A policy is a small vtable in the first member of its struct. It sees the
 * upstream's own load as its agent counts it, which neither lags nor lies,
 * and the lowest load of the candidates that passed the flow on before.
 */
#ifndef RP_ADMISSION_H
#define RP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_counters.h"

#define RP_SHARE_UNIT 16 /* a share of 16 means: all slots are busy */
#define RP_SHARE_MAX 255 /* also: no candidate before this one */

/* How much of the latency that callers hope for a request may spend waiting
 * for a slot, in percent: the rest is for its own work, whose tail is several
 * times its mean, and for the network. Important requests may use more. */
#define RP_WAIT_PERCENT_IMPORTANT 70
#define RP_WAIT_PERCENT_OTHERS 50
/* The share at which requests are refused while the work or the wanted
 * latency is not known, and the least one that the two may lead to. */
#define RP_FULL_SHARE_IMPORTANT (4 * RP_SHARE_UNIT)
#define RP_FULL_SHARE_OTHERS (3 * RP_SHARE_UNIT)
#define RP_FULL_SHARE_LEAST (2 * RP_SHARE_UNIT)
/* The share at which a request is left waiting whose caller has waited longer
 * than the wanted latency already: it goes in where a slot is free. Behind
 * others it would only make those late, too. */
#define RP_FULL_SHARE_LATE (1 * RP_SHARE_UNIT)
/* Priorities up to this one count as important. */
#define RP_IMPORTANT_PRIORITY 1

/* The upstream's load at the moment of a decision. */
struct rp_load {
    uint32_t slots;      /* requests it serves at once, after cold start */
    uint32_t busy;       /* requests outstanding or about to come */
    uint32_t flows;      /* open flows */
    uint32_t flow_limit; /* most flows it may hold */
    uint32_t position;   /* how many candidates passed the flow on already */
    uint8_t best_share;  /* lowest share of those, or RP_SHARE_MAX */
    bool last;           /* no candidate comes after this one */
    uint32_t priority;   /* of the requests behind the address; 0 highest */
    uint32_t target_us;  /* latency that their callers hope for; 0: unknown */
    uint32_t work_us;    /* mean time of a request in a slot; 0: unknown */
    uint32_t waited_us;  /* since the caller asked first; 0: just now */
};

enum rp_verdict {
    RP_VERDICT_TAKE,
    RP_VERDICT_PASS,  /* to the next candidate */
    RP_VERDICT_BACK,  /* to the earlier candidate with the lowest share */
    RP_VERDICT_REFUSE /* nobody in reach can serve it in time */
};

struct rp_admission;

struct rp_admission_ops {
    const char *name;
    /* Decides; `*reason` is what to count. Only for the last candidate may
     * it be RP_VERDICT_BACK or RP_VERDICT_REFUSE, and never
     * RP_VERDICT_PASS. */
    enum rp_verdict (*decide)(struct rp_admission *policy,
                              const struct rp_load *load,
                              enum rp_counter *reason);
    void (*free)(struct rp_admission *policy);
};

struct rp_admission {
    const struct rp_admission_ops *ops;
};

/* Takes a flow while a slot is free. When all candidates are busy, the one
 * with the lowest share takes it. */
struct rp_admission *RpAdmission_CreateLeast(void);

/* Takes a flow while a slot is free; the last candidate takes it anyway. */
struct rp_admission *RpAdmission_CreateBound(void);

/* As RpAdmission_CreateLeast, but refuses when even the least busy candidate
 * has so much work that a request would spend too much of the latency that
 * its callers hope for in the queue. More important requests may wait longer
 * than others. */
struct rp_admission *RpAdmission_CreateBounded(void);

void RpAdmission_Free(struct rp_admission *policy);

/* Asks the policy, after the hard limit on flows. */
enum rp_verdict RpAdmission_Decide(struct rp_admission *policy,
                                   const struct rp_load *load,
                                   enum rp_counter *reason);

/* The share of the least busy candidate at which a request is refused. */
uint32_t RpLoad_FullShare(const struct rp_load *load);

/* The load as a share: busy / slots in units of 1 / RP_SHARE_UNIT, at most
 * RP_SHARE_MAX - 1. */
uint8_t RpLoad_Share(const struct rp_load *load);

#endif

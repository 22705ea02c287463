/* Admission control: whether this upstream takes a new flow, or the agent
 * passes the flow on to another candidate or refuses it.
 *
 * A policy is a small vtable in the first member of its struct. It decides by
 * the upstream's own load, which its agent counts exactly and without delay,
 * and by the lowest utilisation among the candidates that passed the flow on
 * before.
 */
#ifndef RP_ADMISSION_H
#define RP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_counters.h"

/* The utilisation of an upstream is busy / slots in fixed point: a value of
 * RP_UTILISATION_UNIT means that all slots are busy, and a higher one that
 * requests wait for a slot. */
#define RP_UTILISATION_UNIT 16
/* As the lowest utilisation of earlier candidates: none has recorded its own
 * yet. */
#define RP_UTILISATION_MAX 255

/* The part of the target latency that a request may spend waiting for a slot,
 * in percent. The rest is for the network and for the request's own service
 * time, whose tail is several times its mean. Requests of high priority may
 * wait longer. */
#define RP_WAIT_PERCENT_HIGH_PRIORITY 70
#define RP_WAIT_PERCENT_LOW_PRIORITY 50
/* The utilisation from which requests are refused while the service time or
 * the target latency is unknown; and, where both are known, the lowest
 * threshold that is computed from them. */
#define RP_REFUSAL_THRESHOLD_HIGH_PRIORITY (4 * RP_UTILISATION_UNIT)
#define RP_REFUSAL_THRESHOLD_LOW_PRIORITY (3 * RP_UTILISATION_UNIT)
#define RP_REFUSAL_THRESHOLD_MIN (2 * RP_UTILISATION_UNIT)
/* The utilisation from which a request is refused whose caller has already
 * waited for the target latency: it is admitted only to a free slot. In a
 * queue, it would also delay the requests behind it. */
#define RP_REFUSAL_THRESHOLD_PAST_TARGET (1 * RP_UTILISATION_UNIT)
/* Highest priority number that counts as high priority. */
#define RP_HIGH_PRIORITY_MAX 1

/* The upstream's load at the moment of a decision. */
struct rp_load {
    uint32_t slots;      /* concurrent requests; fewer during a cold start */
    uint32_t busy;       /* requests outstanding, or expected on new flows */
    uint32_t flows;      /* open flows */
    uint32_t flow_limit; /* most open flows */
    uint32_t position;   /* number of candidates that passed the flow on */
    uint8_t lowest_utilisation; /* among these candidates */
    bool last;                  /* no candidate follows this one */
    bool unhealthy;             /* counts as busier than any other candidate */
    uint32_t priority;          /* of the flow's address; 0 is the highest */
    uint32_t target_us;         /* target latency of requests; 0: unknown */
    uint32_t service_time_us;   /* mean of recent requests; 0: unknown */
    uint32_t waited_us;         /* since the caller's first SYN; 0: unknown */
};

enum rp_decision {
    RP_DECISION_ADMIT,   /* admit the flow here */
    RP_DECISION_PASS_ON, /* pass it on to the next candidate */
    /* Pass it back to the least busy candidate, which admits it unless it is
     * at its flow limit. */
    RP_DECISION_PASS_BACK,
    RP_DECISION_REFUSE /* reset it: no candidate can serve it in time */
};

struct rp_admission;

struct rp_admission_ops {
    const char *name;
    /* Decides about a new flow and sets `*reason` to the counter to
     * increment. Only the last candidate may get RP_DECISION_PASS_BACK or
     * RP_DECISION_REFUSE; it never gets RP_DECISION_PASS_ON. */
    enum rp_decision (*decide)(struct rp_admission *policy,
                               const struct rp_load *load,
                               enum rp_counter *reason);
    void (*free)(struct rp_admission *policy);
};

struct rp_admission {
    const struct rp_admission_ops *ops;
};

/* The Create functions return a policy that the caller releases with
 * RpAdmission_Free. */

/* Admits a flow while a slot is free. If all candidates are busy, the one
 * with the lowest utilisation admits it. */
struct rp_admission *RpAdmission_CreateLeastBusy(void);

/* Admits a flow while a slot is free; the last candidate always admits it. */
struct rp_admission *RpAdmission_CreateFreeSlot(void);

/* Like RpAdmission_CreateLeastBusy, but the last candidate refuses a flow if
 * even the least busy candidate has reached RpLoad_RefusalThreshold, so that a
 * request would spend too much of its target latency in the queue. */
struct rp_admission *RpAdmission_CreateLatencyTarget(void);

void RpAdmission_Free(struct rp_admission *policy);

/* Decides about a new flow and sets `*reason` to the counter to increment. At
 * the flow limit the flow is passed on, even by the last candidate; else the
 * policy decides. */
enum rp_decision RpAdmission_Decide(struct rp_admission *policy,
                                    const struct rp_load *load,
                                    enum rp_counter *reason);

/* Returns the utilisation from which a request is refused, if the least busy
 * candidate has reached it. */
uint32_t RpLoad_RefusalThreshold(const struct rp_load *load);

/* Returns busy / slots in units of 1 / RP_UTILISATION_UNIT, at most
 * RP_UTILISATION_MAX - 1. */
uint8_t RpLoad_Utilisation(const struct rp_load *load);

#endif

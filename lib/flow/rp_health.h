/* Health of a host by evidence: what became of the flows given to it, not
 * what it says of itself. The states are in charts/upstream.chart. */
#ifndef RP_HEALTH_H
#define RP_HEALTH_H

#include "rp_chart.h"
#include "rp_time.h"

#define RP_HEALTH_FAILURES 3 /* in a row, and the host counts as ill */
/* How long an ill host is left alone before one flow tries it. */
#define RP_HEALTH_TRIAL_US (1 * RP_US_PER_SECOND)

enum rp_health_state { RP_HEALTH_HEALTHY, RP_HEALTH_ILL, RP_HEALTH_TRIAL };

struct rp_health {
    struct rp_chart chart;
    uint8_t state; /* enum rp_health_state */
    uint32_t failures;
    int64_t trial_deadline;
};

/* Starts healthy. */
enum rp_code RpHealth_Init(struct rp_health *health, struct rp_error *error);

/* Whether the host may get a new flow now. For an ill host this is true
 * once each RP_HEALTH_TRIAL_US. */
bool RpHealth_Allows(struct rp_health *health, int64_t now);

/* The host answered a SYN; or it refused or did not answer one. */
void RpHealth_Answered(struct rp_health *health, int64_t now);
void RpHealth_Failed(struct rp_health *health, int64_t now);

#endif

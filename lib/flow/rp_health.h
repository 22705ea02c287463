/* Health of a host, judged by how it answers the SYNs of new flows, or the
 * requests on flows, and not by its own reports. The state chart is
 * charts/upstream.chart. */
#ifndef RP_HEALTH_H
#define RP_HEALTH_H

#include "rp_chart.h"
#include "rp_time.h"

/* Failures in a row that make a host unhealthy. */
#define RP_HEALTH_FAILURE_LIMIT 3
/* Time between two trial flows to an unhealthy host. */
#define RP_HEALTH_TRIAL_INTERVAL_US (1 * RP_US_PER_SECOND)

enum rp_health_state {
    RP_HEALTH_HEALTHY,
    RP_HEALTH_UNHEALTHY,
    RP_HEALTH_TRIAL
};

struct rp_health {
    struct rp_chart chart;
    uint8_t state;          /* enum rp_health_state */
    uint32_t failures;      /* in a row */
    int64_t trial_deadline; /* when the next trial flow may come */
};

/* Initialises `health` as healthy. Fails if the built-in chart cannot be
 * parsed; `error` may be NULL. */
enum rp_code RpHealth_Init(struct rp_health *health, struct rp_error *error);

/* Whether the host may get a new flow at `now`. For an unhealthy host this is
 * true once in RP_HEALTH_TRIAL_INTERVAL_US: that flow is the trial. */
bool RpHealth_AllowsNewFlow(struct rp_health *health, int64_t now);

/* Record the result of a new flow or of a request: the host answered it, or
 * refused, reset or did not answer it. */
void RpHealth_RecordSuccess(struct rp_health *health, int64_t now);
void RpHealth_RecordFailure(struct rp_health *health, int64_t now);

#endif

/* A moving mean of service times. See rp_service_time.h. */
#include "rp_service_time.h"

#include <glib.h>

static void
update_mean(struct rp_service_time *estimate, int64_t sample_us)
{
    estimate->samples = MIN(estimate->samples + 1, RP_SERVICE_TIME_WINDOW);
    estimate->mean_us += (sample_us - estimate->mean_us) /
                         (int64_t)estimate->samples;
}

void
RpServiceTime_AddSample(struct rp_service_time *estimate, int64_t took_us)
{
    update_mean(estimate, took_us);
}

void
RpServiceTime_OnAnswer(struct rp_service_time *estimate, int64_t now,
                       uint32_t busy, uint32_t slots)
{
    if (estimate->was_full) {
        update_mean(estimate, (now - estimate->last_answer) * slots);
    }
    estimate->last_answer = now;
    estimate->was_full = busy > slots;
}

/* Estimates how long a request occupies a slot of the host (its service
 * time) from the times of the host's answers.
 *
 * There are two kinds of samples. A request that found a free slot gives the
 * time until its answer. A host with requests waiting gives the time between
 * two answers, multiplied by its number of slots. Without the second kind,
 * nothing would be learned while requests queue, which is when admission
 * needs the estimate: of a host that starts cold under load, only the
 * shortest of its first requests would be known.
 */
#ifndef RP_SERVICE_TIME_H
#define RP_SERVICE_TIME_H

#include <stdbool.h>
#include <stdint.h>

/* A sample's weight in the mean is 1 / RP_SERVICE_TIME_WINDOW. At 30 requests
 * per second the mean follows a cold start within a second, and a single
 * outlier hardly moves it. The first samples all weigh the same. */
#define RP_SERVICE_TIME_WINDOW 32

struct rp_service_time {
    int64_t mean_us;     /* 0: no sample yet */
    uint32_t samples;    /* at most RP_SERVICE_TIME_WINDOW */
    int64_t last_answer; /* time of the last answer, in microseconds */
    bool was_full;       /* a request waited for the slot that the last answer
                          * freed */
};

/* Adds the time from a request that found a free slot to its answer. */
void RpServiceTime_AddSample(struct rp_service_time *estimate,
                             int64_t took_us);

/* Records an answer at `now`, in microseconds. `busy` is the number of
 * outstanding requests, including the answered one; `slots` is the host's
 * number of slots. If requests waited at the previous answer, adds the time
 * since then as a sample. */
void RpServiceTime_OnAnswer(struct rp_service_time *estimate, int64_t now,
                            uint32_t busy, uint32_t slots);

#endif

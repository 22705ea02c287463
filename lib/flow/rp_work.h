/* How long a request occupies a slot of the host, learned from its answers.
 *
 * Two things tell: a request that found a free slot, by the time until its
 * answer; and a host all of whose slots are busy, by the time between two
 * answers, which is a slot's share of the work. Without the second, nothing
 * is learned while requests queue, which is when it is needed: of a host that
 * starts cold under load, only the shortest of its first requests would be
 * known.
 */
#ifndef RP_WORK_H
#define RP_WORK_H

#include <stdbool.h>
#include <stdint.h>

/* A new time counts for 1/32 of the mean: enough to follow a cold start
 * within a second at 30 requests a second, and few enough that one in the
 * tail does not move it. The first ones count for as much as those before. */
#define RP_WORK_SHARE 32

struct rp_work {
    int64_t mean_us;  /* 0: nothing is known */
    uint32_t samples; /* up to RP_WORK_SHARE */
    int64_t last_answer;
    bool was_full; /* requests waited for a slot after the last answer */
};

/* A request that had found a free slot took `took_us`. */
void RpWork_Took(struct rp_work *work, int64_t took_us);

/* An answer came at `now`; `busy` requests, with that one, were at the host,
 * which has `slots`. */
void RpWork_Answered(struct rp_work *work, int64_t now, uint32_t busy,
                     uint32_t slots);

#endif

#include "rp_work.h"

#include <glib.h>

static void
learn(struct rp_work *work, int64_t sample)
{
    work->samples = MIN(work->samples + 1, RP_WORK_SHARE);
    work->mean_us += (sample - work->mean_us) / (int64_t)work->samples;
}

void
RpWork_Took(struct rp_work *work, int64_t took_us)
{
    learn(work, took_us);
}

void
RpWork_Answered(struct rp_work *work, int64_t now, uint32_t busy,
                uint32_t slots)
{
    if (work->was_full) {
        learn(work, (now - work->last_answer) * slots);
    }
    work->last_answer = now;
    work->was_full = busy > slots;
}

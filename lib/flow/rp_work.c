#include "rp_work.h"

#include <glib.h>

/* Updates the moving mean. */
static void
add_sample(struct rp_work *work, int64_t sample_us)
{
    work->samples = MIN(work->samples + 1, RP_WORK_SHARE);
    work->mean_us += (sample_us - work->mean_us) / (int64_t)work->samples;
}

void
RpWork_Took(struct rp_work *work, int64_t took_us)
{
    add_sample(work, took_us);
}

void
RpWork_Answered(struct rp_work *work, int64_t now, uint32_t busy,
                uint32_t slots)
{
    if (work->was_full) {
        add_sample(work, (now - work->last_answer) * slots);
    }
    work->last_answer = now;
    work->was_full = busy > slots;
}

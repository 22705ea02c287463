/* The times of the latest flows of a host. See rp_cold_start.h. */
#include "rp_cold_start.h"

#include <glib.h>

#define FLOWS_PER_RATE_UNIT 1000 /* a rate of 1 is a flow per 1,000 s */
#define LONG_AGO (INT64_MIN / 2)
/* The places of a window are spread over about this many parts. */
#define PARTS 8

void
RpColdStart_Init(struct rp_cold_start *cold, int64_t now)
{
    *cold = (struct rp_cold_start){.cold_until = LONG_AGO,
                                   .unseen_until = now};
}

void
RpColdStart_Clear(struct rp_cold_start *cold)
{
    g_free(cold->opened);
    cold->opened = NULL;
}

void
RpColdStart_SetSeenFromStart(struct rp_cold_start *cold)
{
    if (cold->count == 0) {
        cold->unseen_until = LONG_AGO;
    }
}

void
RpColdStart_Record(struct rp_cold_start *cold, int64_t now)
{
    if (cold->limit == 0) {
        cold->unseen_until = now;
        return;
    }
    if (cold->count == cold->limit) {
        cold->unseen_until = cold->opened[cold->oldest];
        cold->opened[cold->oldest] = now;
        cold->oldest = (cold->oldest + 1) % cold->limit;
        return;
    }
    cold->opened[(cold->oldest + cold->count) % cold->limit] = now;
    cold->count++;
}

void
RpColdStart_SetRate(struct rp_cold_start *cold, uint32_t per_1000_s)
{
    uint32_t limit = per_1000_s / FLOWS_PER_RATE_UNIT +
                     (per_1000_s % FLOWS_PER_RATE_UNIT > 0);
    const struct rp_cold_start old = *cold;

    if (per_1000_s > 0) {
        /* Rounded up: a window that is too short would exceed the rate. */
        cold->window = (limit * FLOWS_PER_RATE_UNIT * RP_US_PER_SECOND +
                        per_1000_s - 1) /
                       per_1000_s;
    }
    if (limit == old.limit) {
        return;
    }
    cold->limit = limit;
    cold->burst = (limit + PARTS - 1) / PARTS;
    cold->opened = limit > 0 ? g_new(int64_t, limit) : NULL;
    cold->count = 0;
    cold->oldest = 0;
    for (uint32_t i = 0; i < old.count; i++) {
        RpColdStart_Record(cold, old.opened[(old.oldest + i) % old.limit]);
    }
    g_free(old.opened);
}

void
RpColdStart_SetColdUntil(struct rp_cold_start *cold, int64_t deadline)
{
    cold->cold_until = deadline;
}

bool
RpColdStart_IsLimited(const struct rp_cold_start *cold, int64_t now)
{
    return cold->limit > 0 && now < cold->cold_until;
}

/* Returns when the flow was opened that `back` - 1 others have followed. */
static int64_t
find_opened(const struct rp_cold_start *cold, uint32_t back)
{
    if (cold->count < back) {
        return cold->unseen_until;
    }
    return cold->opened[(cold->oldest + cold->count - back) % cold->limit];
}

int64_t
RpColdStart_NextPlace(const struct rp_cold_start *cold)
{
    if (cold->limit == 0) {
        return LONG_AGO;
    }
    int64_t part = cold->window * cold->burst / cold->limit;
    return MAX(find_opened(cold, cold->limit) + cold->window,
               find_opened(cold, cold->burst) + part);
}

bool
RpColdStart_Allows(const struct rp_cold_start *cold, int64_t now)
{
    return !RpColdStart_IsLimited(cold, now) ||
           now >= RpColdStart_NextPlace(cold);
}

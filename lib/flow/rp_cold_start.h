/* Limits the new flows of a host during its cold start.
 *
 * A host that has just started serves only so many requests a second for a
 * while. Until then it gets at most `limit` flows in every window of time: the
 * rate, rounded up to a whole flow, in the time that the rate takes for as
 * many. The mean is thus exactly the rate, and no second has more flows than
 * the rate, rounded up.
 *
 * Within a window, the flows are spread: at most `burst` in the same part of
 * the window. A crowd would else take all places at once, and every caller
 * that comes later in the window would be refused.
 *
 * The flows of the last window are known one by one. Those that may be
 * missing, because an earlier process opened them or because the limit was
 * lower, count as opened at the latest possible time.
 *
 * Nothing here does I/O or reads a clock. All times are microseconds on one
 * monotonic clock. */
#ifndef RP_COLD_START_H
#define RP_COLD_START_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_time.h"

struct rp_cold_start {
    int64_t cold_until;   /* the host is cold before this time */
    int64_t window;       /* with `limit` > 0 */
    uint32_t limit;       /* flows in each window; 0: any number */
    uint32_t burst;       /* flows in each `burst` / `limit` of a window */
    uint32_t count;       /* flows in `opened` */
    uint32_t oldest;      /* index of the earliest flow in `opened` */
    int64_t *opened;      /* ring of `limit` times */
    int64_t unseen_until; /* flows that are not in `opened` may have been
                           * opened up to this time */
};

/* Initialises a host that is not cold and has no limit. An earlier process may
 * have opened flows until `now`. Free its memory with RpColdStart_Clear. */
void RpColdStart_Init(struct rp_cold_start *cold, int64_t now);

void RpColdStart_Clear(struct rp_cold_start *cold);

/* Tells that no earlier process has opened flows to this run of the host. Has
 * no effect once a flow has been recorded. */
void RpColdStart_SetSeenFromStart(struct rp_cold_start *cold);

/* Sets the rate, in flows per 1,000 s; 0 means no limit. Flows that were
 * recorded before still count. */
void RpColdStart_SetRate(struct rp_cold_start *cold, uint32_t per_1000_s);

/* Sets the end of the cold start; a time that has passed ends it. */
void RpColdStart_SetColdUntil(struct rp_cold_start *cold, int64_t deadline);

/* Returns whether the host is cold and its flows are limited. */
bool RpColdStart_IsLimited(const struct rp_cold_start *cold, int64_t now);

/* Returns the earliest time at which the host may get the next flow, which
 * may have passed. */
int64_t RpColdStart_NextPlace(const struct rp_cold_start *cold);

/* Returns whether the host may get one more flow now. */
bool RpColdStart_Allows(const struct rp_cold_start *cold, int64_t now);

/* Records that a flow has been opened, whether the host is cold or not: it may
 * have started without having said so yet. */
void RpColdStart_Record(struct rp_cold_start *cold, int64_t now);

#endif

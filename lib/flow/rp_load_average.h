/* The utilisation of a host averaged over about the last second.
 *
 * A host with many long flows may be idle at the moment at which a new flow
 * opens. What it is busy with over time says more about how much the flow
 * will find free, and is still of use when it is known a second later. */
#ifndef RP_LOAD_AVERAGE_H
#define RP_LOAD_AVERAGE_H

#include <stdint.h>

#include "rp_time.h"

/* A utilisation of RP_LOAD_UNIT means that all slots are busy; a higher one
 * that requests wait for a slot. It fits into one byte. */
#define RP_LOAD_UNIT 128
#define RP_LOAD_MAX 255
/* The time over which the utilisation is averaged. */
#define RP_LOAD_WINDOW_US (1 * RP_US_PER_SECOND)

struct rp_load_average {
    int64_t updated; /* time of the last update */
    int64_t value;   /* the mean, in fixed point */
};

/* Starts at `now` as if the host had been full: a host that has just come gets
 * its part of the new flows within a second or two, and not at once. */
void RpLoadAverage_Init(struct rp_load_average *average, int64_t now);

/* Accounts for the time since the last update, in which `busy` of `slots` (at
 * least 1) slots were busy. Call it before either changes. */
void RpLoadAverage_Update(struct rp_load_average *average, int64_t now,
                          uint32_t busy, uint32_t slots);

/* Returns the mean utilisation at the last update, at most RP_LOAD_MAX. */
uint8_t RpLoadAverage_Utilisation(const struct rp_load_average *average);

#endif

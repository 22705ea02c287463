/* The clock for deadlines, leases and ages, in microseconds.
 *
 * It is never set back and is unrelated to the wall clock. It continues while
 * the machine is suspended, so that data from before a suspension counts as
 * old after it.
 */
#ifndef RP_CLOCK_H
#define RP_CLOCK_H

#include <stdint.h>
#include <time.h>

#include "rp_time.h"

/* Returns the current time of this clock, in microseconds. */
static inline int64_t
RpClock_Now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * RP_US_PER_SECOND + now.tv_nsec / 1000;
}

#endif

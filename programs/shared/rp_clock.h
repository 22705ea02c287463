/* The clock of deadlines, leases and ages: microseconds that go on while the
 * machine is suspended, so that what was learned before counts as old after
 * it. Never stepped; unrelated to the time of day. */
#ifndef RP_CLOCK_H
#define RP_CLOCK_H

#include <stdint.h>
#include <time.h>

#include "rp_time.h"

static inline int64_t
RpClock_Now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * RP_US_PER_SECOND + now.tv_nsec / 1000;
}

#endif

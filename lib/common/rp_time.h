/* Units of time. All points in time and deadlines are microseconds on the
 * monotonic clock, as int64_t. Libraries do not read the clock: their callers
 * pass `now`. */
#ifndef RP_TIME_H
#define RP_TIME_H

#include <stdint.h>

#define RP_US_PER_MS INT64_C(1000)
#define RP_US_PER_SECOND INT64_C(1000000)
#define RP_NEVER INT64_MAX /* a deadline that never expires */

#endif

/* Units of time. Every instant and deadline is an int64_t count of
 * microseconds on the monotonic clock; libraries get `now` passed in. */
#ifndef RP_TIME_H
#define RP_TIME_H

#include <stdint.h>

#define RP_US_PER_MS INT64_C(1000)
#define RP_US_PER_SECOND INT64_C(1000000)
#define RP_NEVER INT64_MAX /* a deadline that does not come */

#endif

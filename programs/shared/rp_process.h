/* What a process knows of itself: its open descriptors, how long its main loop
 * keeps its sources waiting, and the connections that wait to be accepted. It
 * costs no wake-ups, and what cannot be read is left out. */
#ifndef RP_PROCESS_H
#define RP_PROCESS_H

#include <glib.h>

#include "rp_counters.h"

/* Called when the loop was late by `pause_us` microseconds. */
typedef void (*RpProcess_Paused)(void *user, int64_t pause_us);

/* Measures the default main loop from now on, in the histogram
 * loop_held_seconds of `counters`, and calls `paused` (may be NULL) after each
 * pause of at least RP_PROCESS_PAUSE_US. Call it once. `counters` and `user`
 * are borrowed until the process ends. */
void RpProcess_WatchLoop(struct rp_counters *counters, RpProcess_Paused paused,
                         void *user);

/* A loop that is late by this much was stopped, or its machine suspended, or a
 * handler took too long. */
#define RP_PROCESS_PAUSE_US (300 * RP_US_PER_MS)

/* Appends the gauges in the Prometheus text format, with `role` as a label,
 * and starts the measurement of the longest pause anew. */
void RpProcess_FormatGauges(const char *role, GString *out);

#endif

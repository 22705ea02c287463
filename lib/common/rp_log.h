/* Structured logs: one line of key=value pairs for each event.
 *
 * A line reads
 *
 *     time=… level=info role=agent name=lens-1 event=flow_refused reason=…
 *
 * Each event name may write RP_LOG_BURST lines (or a budget of its own)
 * within one RP_LOG_WINDOW_US; what is over that is counted and reported by
 * the next line of that event as suppressed=N, or by RpLog_Report.
 *
 * A log never waits: while nobody reads what it writes, lines are lost and
 * counted.
 */
#ifndef RP_LOG_H
#define RP_LOG_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "rp_str.h"

#define RP_LOG_BURST 20                   /* lines per event and window */
#define RP_LOG_WINDOW_US INT64_C(1000000) /* microseconds */

enum rp_log_level {
    RP_LOG_DEBUG,
    RP_LOG_INFO,
    RP_LOG_WARN,
    RP_LOG_ERROR,
    RP_LOG_LEVEL_COUNT
};

struct rp_log;

/* A log that writes lines at or above `level` to `out` (borrowed). `role`
 * and `name` are written on each line. Free it with RpLog_Free. */
struct rp_log *RpLog_Create(FILE *out, enum rp_log_level level,
                            const char *role, const char *name);

void RpLog_Free(struct rp_log *log);

/* Writes one event. `format` gives the pairs after event=…, already in
 * key=value form; use RpLog_Quote for values that may hold blanks. A NULL
 * `log` writes nothing. */
void RpLog_Event(struct rp_log *log, enum rp_log_level level,
                 const char *event, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

/* Gives an event a budget of its own, in lines a window. */
void RpLog_SetBudget(struct rp_log *log, const char *event, uint64_t lines);

/* Writes a line for each event of which lines were left out in a window that
 * is over: event=lines_left_out of=EVENT count=N. */
void RpLog_Report(struct rp_log *log);

/* Lines lost because nobody read them. */
uint64_t RpLog_Lost(const struct rp_log *log);

/* Appends `value` to `out`, in double quotes with escapes if it needs them. */
void RpLog_Quote(GString *out, struct rp_str value);

/* Parses "debug", "info", "warn" or "error". */
bool RpLog_ParseLevel(struct rp_str text, enum rp_log_level *level);

#endif

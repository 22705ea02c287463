/* Structured logs: one line of key=value pairs for each event, such as
 *
 *     time=… level=info role=agent name=lens-1 event=flow_refused reason=…
 *
 * The rate of each event is limited: in a window of RP_LOG_WINDOW_US, an event
 * name may write RP_LOG_BURST lines, or the number that RpLog_SetBudget set.
 * Further lines are suppressed and counted. The count is written with the next
 * line of that event as suppressed=N, or by RpLog_ReportSuppressed.
 *
 * Writing never blocks: a line that the output cannot take at once is lost and
 * counted.
 */
#ifndef RP_LOG_H
#define RP_LOG_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "rp_str.h"

#define RP_LOG_BURST 20 /* lines per event name and window */
#define RP_LOG_WINDOW_US INT64_C(1000000)

enum rp_log_level {
    RP_LOG_DEBUG,
    RP_LOG_INFO,
    RP_LOG_WARN,
    RP_LOG_ERROR,
    RP_LOG_LEVEL_COUNT
};

struct rp_log;

/* Creates a log that writes events of at least `level` to `out`, which it
 * borrows. Each line contains `role` and `name`. Free it with RpLog_Free. */
struct rp_log *RpLog_Create(FILE *out, enum rp_log_level level,
                            const char *role, const char *name);

/* Frees a log; `log` may be NULL. */
void RpLog_Free(struct rp_log *log);

/* Writes a line for an event. `format` produces the pairs after event=… in
 * key=value form; quote values that may contain blanks with RpLog_Quote. Does
 * nothing if `log` is NULL. */
void RpLog_Event(struct rp_log *log, enum rp_log_level level,
                 const char *event, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

/* Sets how many lines an event may write in each window. */
void RpLog_SetBudget(struct rp_log *log, const char *event, uint64_t lines);

/* Writes event=lines_left_out of=EVENT count=N for each event that had lines
 * suppressed in a window that is over. */
void RpLog_ReportSuppressed(struct rp_log *log);

/* Returns the number of lines that were lost because the output could not take
 * them at once, or because they were longer than PIPE_BUF. */
uint64_t RpLog_Lost(const struct rp_log *log);

/* Appends `value` to `out`, with double quotes and escapes if it contains
 * blanks or special characters, or is empty. */
void RpLog_Quote(GString *out, struct rp_str value);

/* Parses "debug", "info", "warn" or "error"; returns false for other texts. */
bool RpLog_ParseLevel(struct rp_str text, enum rp_log_level *level);

#endif

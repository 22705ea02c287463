/* Log lines, their rate limit and their output. */
#include "rp_log.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>

/* Rate limit of one event name. */
struct event_rate {
    int64_t window_end_us; /* on the monotonic clock */
    uint64_t budget;       /* lines allowed in each window */
    uint64_t written;      /* lines in the current window */
    uint64_t suppressed;   /* lines that are not reported yet */
};

struct rp_log {
    FILE *out;
    enum rp_log_level level;
    GString *prefix;   /* the role and name pairs of each line */
    GHashTable *rates; /* event name -> struct event_rate */
    uint64_t lost;     /* lines */
};

static const char *const level_names[RP_LOG_LEVEL_COUNT] = {
    [RP_LOG_DEBUG] = "debug",
    [RP_LOG_INFO] = "info",
    [RP_LOG_WARN] = "warn",
    [RP_LOG_ERROR] = "error",
};

struct rp_log *
RpLog_Create(FILE *out, enum rp_log_level level, const char *role,
             const char *name)
{
    struct rp_log *log = g_new0(struct rp_log, 1);

    log->out = out;
    log->level = level;
    log->prefix = g_string_new("role=");
    RpLog_Quote(log->prefix, RpStr_FromC(role));
    g_string_append(log->prefix, " name=");
    RpLog_Quote(log->prefix, RpStr_FromC(name));
    log->rates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       g_free);
    return log;
}

void
RpLog_Free(struct rp_log *log)
{
    if (!log) {
        return;
    }
    g_hash_table_destroy(log->rates);
    g_string_free(log->prefix, TRUE);
    g_free(log);
}

/* Returns the rate limit of an event; creates it with the default budget. */
static struct event_rate *
get_rate(struct rp_log *log, const char *event)
{
    struct event_rate *rate = g_hash_table_lookup(log->rates, event);

    if (!rate) {
        rate = g_new0(struct event_rate, 1);
        rate->budget = RP_LOG_BURST;
        g_hash_table_insert(log->rates, g_strdup(event), rate);
    }
    return rate;
}

void
RpLog_SetBudget(struct rp_log *log, const char *event, uint64_t lines)
{
    get_rate(log, event)->budget = lines;
}

/* Counts a line of the event and returns whether it may be written. With the
 * first line of a window, sets `*suppressed` to the number of lines that were
 * suppressed before; else to 0. */
static bool
spend_budget(struct rp_log *log, const char *event, uint64_t *suppressed)
{
    int64_t now = g_get_monotonic_time();
    struct event_rate *rate = get_rate(log, event);

    *suppressed = 0;
    if (now >= rate->window_end_us) {
        *suppressed = rate->suppressed;
        rate->suppressed = 0;
        rate->written = 0;
        rate->window_end_us = now + RP_LOG_WINDOW_US;
    }
    if (rate->written >= rate->budget) {
        rate->suppressed++;
        return false;
    }
    rate->written++;
    return true;
}

/* Returns whether a line can be written without blocking. Regular files can
 * always be written, and so can a memory stream, which has no descriptor. */
static bool
can_write(struct rp_log *log)
{
    struct pollfd output = {.fd = fileno(log->out), .events = POLLOUT};

    return output.fd < 0 || poll(&output, 1, 0) == 1;
}

/* Writes a line, or counts it as lost. poll() promises a pipe at least
 * PIPE_BUF bytes of space, so a longer line could block. */
static void
write_line(struct rp_log *log, const GString *line)
{
    if (line->len > PIPE_BUF || !can_write(log)) {
        log->lost++;
        return;
    }
    fwrite(line->str, 1, line->len, log->out);
    fflush(log->out);
}

uint64_t
RpLog_Lost(const struct rp_log *log)
{
    return log->lost;
}

void
RpLog_ReportSuppressed(struct rp_log *log)
{
    int64_t now = g_get_monotonic_time();
    GList *events = g_hash_table_get_keys(log->rates);

    for (GList *link = events; link; link = link->next) {
        struct event_rate *rate = get_rate(log, link->data);
        uint64_t count = rate->suppressed;
        if (count > 0 && now >= rate->window_end_us) {
            rate->suppressed = 0;
            RpLog_Event(log, RP_LOG_WARN, "lines_left_out",
                        "of=%s count=%" G_GUINT64_FORMAT,
                        (const char *)link->data, count);
        }
    }
    g_list_free(events);
}

void
RpLog_Event(struct rp_log *log, enum rp_log_level level, const char *event,
            const char *format, ...)
{
    uint64_t suppressed;

    if (!log || level < log->level || !spend_budget(log, event, &suppressed)) {
        return;
    }
    GDateTime *now = g_date_time_new_now_utc();
    gchar *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
    GString *line = g_string_new(NULL);
    g_string_append_printf(line, "time=%s.%03dZ level=%s %s event=%s", stamp,
                           g_date_time_get_microsecond(now) / 1000,
                           level_names[level], log->prefix->str, event);
    if (suppressed) {
        g_string_append_printf(line, " suppressed=%" G_GUINT64_FORMAT,
                               suppressed);
    }
    if (format[0]) {
        va_list args;
        g_string_append_c(line, ' ');
        va_start(args, format);
        g_string_append_vprintf(line, format, args);
        va_end(args);
    }
    g_string_append_c(line, '\n');
    write_line(log, line);
    g_string_free(line, TRUE);
    g_free(stamp);
    g_date_time_unref(now);
}

static bool
needs_quotes(struct rp_str value)
{
    for (size_t i = 0; i < value.len; i++) {
        unsigned char c = (unsigned char)value.data[i];
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127) {
            return true;
        }
    }
    return value.len == 0;
}

void
RpLog_Quote(GString *out, struct rp_str value)
{
    if (!needs_quotes(value)) {
        g_string_append_len(out, value.data, (gssize)value.len);
        return;
    }
    g_string_append_c(out, '"');
    for (size_t i = 0; i < value.len; i++) {
        unsigned char c = (unsigned char)value.data[i];
        if (c == '"' || c == '\\') {
            g_string_append_printf(out, "\\%c", c);
        }
        else if (c < ' ' || c == 127) {
            g_string_append_printf(out, "\\x%02x", c);
        }
        else {
            g_string_append_c(out, (gchar)c);
        }
    }
    g_string_append_c(out, '"');
}

bool
RpLog_ParseLevel(struct rp_str text, enum rp_log_level *level)
{
    for (int i = 0; i < RP_LOG_LEVEL_COUNT; i++) {
        if (RpStr_Equal(text, RpStr_FromC(level_names[i]))) {
            *level = (enum rp_log_level)i;
            return true;
        }
    }
    return false;
}

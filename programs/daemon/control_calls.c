/* What the log tells about each read and write of the operator: who called,
 * what the answer was, and after how long. */
#include <string.h>

#include "control.h"
#include "rp_clock.h"

struct control_call
RpControlCall_Begin(bool is_write, uint64_t version, struct rp_endpoint caller)
{
    static uint64_t last;

    return (struct control_call){.number = ++last,
                                 .is_write = is_write,
                                 .caller = caller,
                                 .version = version,
                                 .received_at = RpClock_Now()};
}

struct control_call
RpControlCall_BeginOrder(const struct rp_name *zone, bool evacuate,
                         struct rp_endpoint caller)
{
    struct control_call call = RpControlCall_Begin(true, 0, caller);

    call.zone = *zone;
    call.evacuate = evacuate;
    return call;
}

static void
log_order_answer(const struct rp_daemon *daemon,
                 const struct control_call *call, const char *result,
                 const char *pairs)
{
    char caller[RP_ENDPOINT_TEXT_MAX];

    RpLog_Event(daemon->log, RP_LOG_INFO, "zone_answered",
                "what=%s zone=%s number=%" G_GUINT64_FORMAT
                " caller=%s result=%s ms=%" G_GINT64_FORMAT " %s",
                call->evacuate ? "evacuate" : "restore", call->zone.data,
                call->number, RpEndpoint_Format(call->caller, caller), result,
                (RpClock_Now() - call->received_at) / RP_US_PER_MS, pairs);
}

void
RpControlCall_LogAnswer(const struct rp_daemon *daemon,
                        const struct control_call *call, uint64_t version,
                        const char *result, const char *pairs)
{
    char caller[RP_ENDPOINT_TEXT_MAX];

    if (call->zone.len > 0) {
        log_order_answer(daemon, call, result, pairs);
        return;
    }
    RpLog_Event(daemon->log, RP_LOG_INFO, "edition_answered",
                "what=%s number=%" G_GUINT64_FORMAT
                " caller=%s result=%s version=%" G_GUINT64_FORMAT
                " ms=%" G_GINT64_FORMAT " %s",
                call->is_write ? "write" : "read", call->number,
                RpEndpoint_Format(call->caller, caller), result, version,
                (RpClock_Now() - call->received_at) / RP_US_PER_MS, pairs);
}

void
RpControlCall_RefuseUnreadable(struct rp_daemon *daemon, const char *message,
                               struct rp_endpoint caller,
                               const struct rp_error *error, const char *pairs)
{
    const struct control_call call = RpControlCall_Begin(true, 0, caller);
    gchar *what = g_strdup_printf("what=%s ", message);

    if (!strcmp(message, RP_PLATFORM_ORDER)) {
        RpCounters_Add(&daemon->counters, RP_COUNT_ZONE_BAD_ORDER);
        RpDaemon_LogFindings(daemon, RP_LOG_WARN, "zone_order_refused", what,
                             error);
        g_free(what);
        return;
    }
    RpCounters_Add(&daemon->counters, RP_COUNT_CHANGE_BAD_DOCUMENT);
    RpDaemon_LogFindings(daemon, RP_LOG_WARN, "edition_refused", what, error);
    RpControlCall_LogAnswer(daemon, &call, 0, "refused", pairs);
    g_free(what);
}

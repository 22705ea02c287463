/* Ordering of host reports: which are stale, and which start a new run. */
#include "rp_host.h"

void
RpHost_Init(struct rp_host *host, const struct rp_name *service,
            int64_t report_interval)
{
    *host = (struct rp_host){.service = *service,
                             .report_interval = report_interval};
}

int64_t
RpHost_SilenceDeadline(const struct rp_host *host)
{
    return host->heard + RP_HOST_MISSED_REPORTS * host->report_interval;
}

bool
RpHost_IsHeard(const struct rp_host *host, int64_t now)
{
    return host->known && !host->left && now < RpHost_SilenceDeadline(host);
}

/* Returns whether the report belongs to another run than the last report. The
 * ids decide if one of the start times is unknown. */
static bool
is_other_run(const struct rp_host *host, const struct rp_host_report *report)
{
    if (report->born_ms != 0 && host->last.born_ms != 0) {
        return report->born_ms != host->last.born_ms;
    }
    return !RpName_Equal(&report->id, &host->last.id);
}

/* Returns whether a report of another run belongs to a later run. The host's
 * wall clock may have been set back between two runs, so that the later run
 * has the earlier start time. Such a report is accepted if the known run has
 * timed out or said goodbye and the report has another id. */
static bool
is_later_run(const struct rp_host *host, int64_t now,
             const struct rp_host_report *report)
{
    if (report->born_ms > host->last.born_ms || host->last.born_ms == 0) {
        return true;
    }
    return !RpHost_IsHeard(host, now) &&
           !RpName_Equal(&report->id, &host->last.id);
}

static void
accept_report(struct rp_host *host, int64_t now,
              const struct rp_host_report *report)
{
    host->known = true;
    host->last = *report;
    host->heard = now;
}

enum rp_host_news
RpHost_Report(struct rp_host *host, int64_t now,
              const struct rp_host_report *report)
{
    if (!RpName_Equal(&report->service, &host->service)) {
        return RP_HOST_NEWS_FOREIGN;
    }
    if (!host->known) {
        accept_report(host, now, report);
        return RP_HOST_NEWS_STARTED;
    }
    if (is_other_run(host, report)) {
        if (!is_later_run(host, now, report)) {
            return RP_HOST_NEWS_STALE;
        }
        host->left = false;
        accept_report(host, now, report);
        return RP_HOST_NEWS_STARTED;
    }
    if (host->left || report->sequence <= host->last.sequence) {
        return RP_HOST_NEWS_STALE;
    }
    bool unchanged = report->draining == host->last.draining &&
                     report->slots == host->last.slots &&
                     (report->cold_left_ms > 0) ==
                         (host->last.cold_left_ms > 0);
    accept_report(host, now, report);
    return unchanged ? RP_HOST_NEWS_SAME : RP_HOST_NEWS_CHANGED;
}

bool
RpHost_Leave(struct rp_host *host, int64_t now, const struct rp_name *id)
{
    if (!host->known || !RpName_Equal(&host->last.id, id)) {
        return false;
    }
    host->left = true;
    host->heard = now;
    return true;
}

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

/* Whether a report is of another life than the one that is known. */
static bool
is_other_life(const struct rp_host *host, const struct rp_host_report *report)
{
    if (report->born_ms != 0 && host->last.born_ms != 0) {
        return report->born_ms != host->last.born_ms;
    }
    return !RpName_Equal(&report->id, &host->last.id);
}

/* Whether a report of another life is of a later one. The time of day may
 * have been stepped back between the two: a host that is not heard any more
 * is followed by whoever reports. */
static bool
is_later_life(const struct rp_host *host, int64_t now,
              const struct rp_host_report *report)
{
    if (report->born_ms > host->last.born_ms || host->last.born_ms == 0) {
        return true;
    }
    return !RpHost_IsHeard(host, now) &&
           !RpName_Equal(&report->id, &host->last.id);
}

static void
take(struct rp_host *host, int64_t now, const struct rp_host_report *report)
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
        take(host, now, report);
        return RP_HOST_NEWS_STARTED;
    }
    if (is_other_life(host, report)) {
        if (!is_later_life(host, now, report)) {
            return RP_HOST_NEWS_STALE;
        }
        host->left = false;
        take(host, now, report);
        return RP_HOST_NEWS_STARTED;
    }
    if (host->left || report->sequence <= host->last.sequence) {
        return RP_HOST_NEWS_STALE;
    }
    bool same = report->draining == host->last.draining &&
                report->slots == host->last.slots &&
                (report->cold_left_ms > 0) == (host->last.cold_left_ms > 0);
    take(host, now, report);
    return same ? RP_HOST_NEWS_SAME : RP_HOST_NEWS_CHANGED;
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
